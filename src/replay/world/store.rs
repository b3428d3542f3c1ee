//! The simulated table: rows of jobs, conditional writes of leaders, and faults of the table.

use std::collections::VecDeque;

use super::*;
use crate::job::JobState;
use crate::replay::measure::end_name;
use crate::scheduler::WriteResult;

/// Interval at which a client retries a write while the table is down, in milliseconds.
const WRITE_RETRY_INTERVAL_MS: u64 = 500;
/// Time after which a write whose first answer was lost is answered, because the client repeats it, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// Rows of the table and pending writes.
#[derive(Debug, Default)]
pub(super) struct Rows {
    pub(super) jobs: BTreeMap<JobId, Row>,
    /// Pending writes by leader and job, in order. A write is sent after the one before it was answered.
    queues: BTreeMap<(usize, JobId), VecDeque<PendingWrite>>,
}

/// The row of a job.
#[derive(Debug)]
pub(super) struct Row {
    pub(super) spec: JobSpec,
    pub(super) group: usize,
    pub(super) state: JobState,
    pub(super) attempts: u32,
    pub(super) saved_ms: u64,
}

#[derive(Debug)]
struct PendingWrite {
    output: Output,
    result: Option<WriteResult>,
}

impl Rows {
    /// Records the progress that the object store holds, which never decreases.
    pub(super) fn record_saved(&mut self, job: &JobId, saved_ms: u64) {
        if let Some(row) = self.jobs.get_mut(job) {
            row.saved_ms = row.saved_ms.max(saved_ms);
        }
    }
}

impl World {
    /// Queues a conditional write of a leader.
    pub(super) fn write(&mut self, leader: usize, output: Output) {
        let job = match &output {
            Output::WriteIntent { gang } | Output::WriteQueued { gang, .. } => gang.job.clone(),
            Output::WriteEnd { job, .. } => job.clone(),
            _ => return,
        };
        let queue = self.rows.queues.entry((leader, job.clone())).or_default();
        queue.push_back(PendingWrite { output, result: None });
        if queue.len() == 1 {
            self.send_write(leader, job);
        }
    }

    fn send_write(&mut self, leader: usize, job: JobId) {
        let delay_ms = self.table_delay_ms();
        self.queue.after(delay_ms, SimEvent::WriteArrives { leader, job });
    }

    fn table_delay_ms(&mut self) -> u64 {
        match self.table {
            TableMode::Slow => self.network.random_range(500..=1_500),
            TableMode::Up | TableMode::Down | TableMode::LosesAnswers => {
                self.network.random_range(2..=5)
            }
        }
    }

    pub(super) fn write_arrives(&mut self, leader: usize, job: JobId) {
        if self.leaders[leader].status == leader::Status::Dead {
            self.rows.queues.remove(&(leader, job));
            return;
        }
        if self.table == TableMode::Down {
            return self
                .queue
                .after(WRITE_RETRY_INTERVAL_MS, SimEvent::WriteArrives { leader, job });
        }
        let key = (leader, job.clone());
        let Some(pending) = self.rows.queues.get(&key).and_then(|queue| queue.front()) else {
            return;
        };
        let output = pending.output.clone();
        let result = self.commit(leader, &output);
        if let Some(pending) = self.rows.queues.get_mut(&key).and_then(|q| q.front_mut()) {
            pending.result = Some(result);
        }
        let answer_ms = match self.table {
            TableMode::LosesAnswers => CALL_TIMEOUT_MS,
            _ => self.table_delay_ms(),
        };
        self.queue.after(answer_ms, SimEvent::WriteAnswered { leader, job });
    }

    pub(super) fn write_answered(&mut self, leader: usize, job: JobId) {
        if self.leaders[leader].status == leader::Status::Dead {
            self.rows.queues.remove(&(leader, job));
            return;
        }
        let key = (leader, job.clone());
        let Some(queue) = self.rows.queues.get_mut(&key) else { return };
        let answered = queue.pop_front();
        if queue.is_empty() {
            self.rows.queues.remove(&key);
        } else {
            self.send_write(leader, job);
        }
        if let Some(PendingWrite { output: Output::WriteIntent { gang }, result: Some(result) }) =
            answered
        {
            self.deliver(leader, Input::IntentWritten { gang, result });
        }
    }

    /// Applies a write if its leader's epoch is the group's and the row allows it.
    fn commit(&mut self, leader: usize, output: &Output) -> WriteResult {
        let leader = &self.leaders[leader];
        if self.groups[leader.group].epoch != leader.epoch {
            return WriteResult::Conflict;
        }
        let (Output::WriteIntent { gang: GangId { job, .. } }
        | Output::WriteQueued { gang: GangId { job, .. }, .. }
        | Output::WriteEnd { job, .. }) = output
        else {
            return WriteResult::Conflict;
        };
        if self.rows.jobs.get(job).is_none_or(|row| row.group != leader.group) {
            return WriteResult::Conflict;
        }
        match output {
            Output::WriteIntent { gang } => self.commit_intent(gang),
            Output::WriteQueued { gang, saved_ms } => self.commit_queued(gang, *saved_ms),
            Output::WriteEnd { job, end } => self.commit_end(job, end),
            _ => WriteResult::Conflict,
        }
    }

    fn commit_intent(&mut self, gang: &GangId) -> WriteResult {
        let Some(row) = self.rows.jobs.get_mut(&gang.job) else { return WriteResult::Conflict };
        // After a takeover, the row may still name an earlier attempt that no worker runs any more.
        if matches!(row.state, JobState::Ended { .. }) || gang.number <= row.attempts {
            return WriteResult::Conflict;
        }
        row.state = JobState::Running { attempt: gang.number };
        row.attempts = gang.number;
        WriteResult::Durable
    }

    fn commit_queued(&mut self, gang: &GangId, saved_ms: u64) -> WriteResult {
        let Some(row) = self.rows.jobs.get_mut(&gang.job) else { return WriteResult::Conflict };
        if matches!(row.state, JobState::Ended { .. }) {
            return WriteResult::Conflict;
        }
        row.state = JobState::Queued;
        row.saved_ms = saved_ms;
        self.log(format!("queue   {gang} again, {saved_ms} ms saved"));
        self.move_job(&gang.job);
        WriteResult::Durable
    }

    fn commit_end(&mut self, job: &JobId, end: &JobEnd) -> WriteResult {
        let now_ms = self.now_ms();
        let Some(row) = self.rows.jobs.get_mut(job) else { return WriteResult::Conflict };
        if matches!(row.state, JobState::Ended { .. }) {
            return WriteResult::Conflict;
        }
        row.state = JobState::Ended { end: end.clone() };
        self.open_jobs.remove(job);
        self.checker.record_reported_end(now_ms, job, end);
        self.meter.record_end(job, end);
        let reason = match end {
            JobEnd::Failed { reason } | JobEnd::NotRun { reason } | JobEnd::Unknown { reason } => {
                format!(": {reason}")
            }
            JobEnd::Succeeded | JobEnd::Cancelled => String::new(),
        };
        self.log(format!("end     {job} {}{reason}", end_name(end)));
        WriteResult::Durable
    }

    /// Writes the row of a job submitted to the entry. A job that no group can hold is refused, and every job while the
    /// table is down.
    pub(super) fn accept(&mut self, job: JobSpec, actual: ActualOutcome, group: Option<GroupId>) {
        self.pending_submissions -= 1;
        if self.table == TableMode::Down {
            self.meter.record_refused();
            return self.log(format!("refuse  {}, the table is down", job.id));
        }
        if !(0..self.groups.len()).any(|group| self.can_hold(group, &job)) {
            self.meter.record_refused();
            return self.log(format!("refuse  {}, no group can hold it", job.id));
        }
        let class = self.bundle.as_ref().and_then(|b| b.kind(&job.kind)).map(|kind| kind.class);
        let class = class.unwrap_or(Class::Batch);
        let group = group.and_then(|id| self.group_index(&id)).unwrap_or_else(|| self.route(&job));
        let id = &self.groups[group].id;
        let need = format!("{}x{}", job.tasks, job.task.accelerators);
        self.log(format!("submit  {} {class} {need} to {id}", job.id));
        self.checker.record_accepted(&job);
        self.meter.record_submitted(&job, class, actual);
        self.actual_outcomes.insert(job.id.clone(), actual);
        self.open_jobs.insert(job.id.clone());
        let row =
            Row { spec: job.clone(), group, state: JobState::Queued, attempts: 0, saved_ms: 0 };
        self.rows.jobs.insert(job.id.clone(), row);
        let leader = self.groups[group].leader;
        self.deliver(leader, Input::Submit { job, saved_ms: 0, attempts: 0 });
    }

    /// Submits the jobs of a group that have not ended to its new leader; the members report which of them run.
    pub(super) fn scan_open(&mut self, leader: usize) {
        self.scan(leader, |state| !matches!(state, JobState::Ended { .. }));
    }

    /// Submits the queued jobs of a group to its leader, in case it missed one.
    pub(super) fn scan_queued(&mut self, leader: usize) {
        if self.table != TableMode::Down {
            self.scan(leader, |state| *state == JobState::Queued);
        }
    }

    fn scan<F>(&mut self, leader: usize, has_state: F)
    where
        F: Fn(&JobState) -> bool,
    {
        let group = self.leaders[leader].group;
        let rows = self.open_jobs.iter().map(|job| &self.rows.jobs[job]);
        let found = rows.filter(|row| row.group == group && has_state(&row.state));
        let inputs: Vec<Input> = found.map(Row::submit).collect();
        for input in inputs {
            self.deliver(leader, input);
        }
    }

    /// Moves the queued jobs out of data centres that are out of service.
    pub(super) fn move_jobs(&mut self) {
        for job in self.open_jobs.clone() {
            self.move_job(&job);
        }
    }

    /// Moves a queued job out of a data centre that is out of service, if a group in service can hold it.
    ///
    /// The write is conditional on the row, so the old leader's next intent for the job conflicts.
    fn move_job(&mut self, job: &JobId) {
        let Some(row) = self.rows.jobs.get(job) else { return };
        if row.state != JobState::Queued || !self.is_out(row.group) {
            return;
        }
        let target = self.route(&row.spec);
        if self.is_out(target) {
            return;
        }
        let Some(row) = self.rows.jobs.get_mut(job) else { return };
        row.group = target;
        let input = row.submit();
        self.log(format!("move    {job} to {}", self.groups[target].id));
        self.deliver(self.groups[target].leader, input);
    }
}

impl Row {
    fn submit(&self) -> Input {
        Input::Submit { job: self.spec.clone(), saved_ms: self.saved_ms, attempts: self.attempts }
    }
}
