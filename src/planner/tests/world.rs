//! Simulated workers that behave like those of the platform, a store, and a planner. The world checks the invariants
//! with each start.

use std::collections::{BTreeMap, BTreeSet};

use super::*;
use crate::workflow::{AssembledRecord, StoredParts, TaskRecord, WorkerIncarnation};

/// Attempt on a simulated worker.
#[derive(Clone, Debug)]
pub struct FakeAttempt {
    pub attempt: u32,
    pub need: Resources,
    pub percent: u8,
    pub is_stopping: bool,
}

/// Simulated worker, which executes each order that it receives.
#[derive(Clone, Debug)]
pub struct FakeWorker {
    pub incarnation: WorkerIncarnation,
    pub data_centre: String,
    pub rack: String,
    pub labels: Vec<String>,
    pub attempts: BTreeMap<TaskId, FakeAttempt>,
    pub ended: Vec<EndedAttempt>,
    pub end_count: u64,
    /// Highest number of an attempt that was stopped or ended, by task.
    pub closed: BTreeMap<TaskId, u32>,
    pub is_connected: bool,
    /// The worker has restarted, and its host does not know that yet: orders for the earlier incarnation reach this one.
    pub is_restart_unknown: bool,
    pub draining: bool,
    pub leaves_in_ms: Option<u64>,
}

/// Simulated store.
#[derive(Clone, Debug, Default)]
pub struct FakeStore {
    pub jobs: BTreeMap<JobId, JobRecord>,
    pub cancelled: BTreeSet<JobId>,
    /// First part of each occurrence.
    pub occurrences: BTreeMap<(JobId, u32), OccurrenceRecord>,
    /// Other parts.
    pub parts: BTreeMap<(JobId, u32, u16), OccurrenceRecord>,
    /// Records of this job are refused.
    pub refuses: Option<JobId>,
    /// Size of the largest record that was written, in bytes.
    pub largest_record_bytes: usize,
}

/// Simulation of a planner with its workers and its store.
pub struct World {
    pub planner: Planner,
    pub store: FakeStore,
    pub workers: BTreeMap<WorkerId, FakeWorker>,
    pub now: PlannerTime,
    pub progress: BTreeMap<JobId, JobProgress>,
    /// Tasks whose end as done was acknowledged.
    pub done: BTreeSet<TaskId>,
    pub starts: Vec<StartOrder>,
    pub stops: Vec<(TaskId, u32)>,
    /// While the store is unavailable, batches are held back.
    pub is_store_unavailable: bool,
    pub directives: Directives,
    /// Attempts make one percent of progress per half second, and start again from 0 at 98.
    pub makes_progress: bool,
    /// Checkpoint that workers list for each running attempt.
    pub checkpoint: Option<String>,
    pending_batch: Option<Batch>,
}

pub fn id(name: &str) -> JobId {
    JobId::from(name)
}

pub fn task(job: &str, step: u16, index: u32) -> TaskId {
    TaskId { job: id(job), occurrence: 0, step, index }
}

impl World {
    /// Creates a world with three workers per rack and one rack per data centre.
    pub fn new(workers: usize) -> Self {
        Self::with_directives(workers, guarantees(&[]))
    }

    pub fn with_directives(workers: usize, directives: Directives) -> Self {
        let now = PlannerTime { steady_ms: 1_000, wall_ms: BEGIN_WALL_MS };
        let mut world = Self {
            planner: Planner::new(now, SETTINGS, directives.clone()),
            store: FakeStore::default(),
            workers: BTreeMap::new(),
            now,
            progress: BTreeMap::new(),
            done: BTreeSet::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            is_store_unavailable: false,
            directives,
            makes_progress: true,
            checkpoint: None,
            pending_batch: None,
        };
        for number in 0..workers {
            let worker = WorkerId::from(format!("w{number:02}").as_str());
            let fake = FakeWorker {
                incarnation: WorkerIncarnation { worker: worker.clone(), born_ms: 1 },
                data_centre: format!("dc{}", number / 3),
                rack: format!("rack{}", number / 3),
                labels: vec!["a".to_owned(), format!("rack{}", number / 3)],
                attempts: BTreeMap::new(),
                ended: Vec::new(),
                end_count: 0,
                closed: BTreeMap::new(),
                is_connected: true,
                is_restart_unknown: false,
                draining: false,
                leaves_in_ms: None,
            };
            world.workers.insert(worker, fake);
        }
        world.report_all();
        world.advance(1_000);
        world
    }

    pub fn worker(&mut self, number: usize) -> &mut FakeWorker {
        let worker = WorkerId::from(format!("w{number:02}").as_str());
        self.workers.get_mut(&worker).expect("the worker exists")
    }

    pub fn submit(&mut self, name: &str, record: JobRecord) {
        self.store.jobs.insert(id(name), record.clone());
        self.handle(&Input::Submitted { job: id(name), record });
    }

    pub fn cancel(&mut self, name: &str) {
        self.store.cancelled.insert(id(name));
        self.handle(&Input::Cancelled { job: id(name) });
    }

    pub fn handle(&mut self, input: &Input) {
        let outputs = self.planner.handle(self.now, input);
        self.execute(outputs);
        self.flush();
    }

    /// Makes the batches durable and then executes their effects, unless the store is unavailable.
    pub fn flush(&mut self) {
        while !self.is_store_unavailable {
            let Some(batch) = self.pending_batch.take().or_else(|| self.planner.take_batch())
            else {
                return;
            };
            if batch.changes.iter().any(|change| Some(change.job()) == self.store.refuses.as_ref())
            {
                let (_, outputs) = self.planner.take_back_refused(self.now, batch);
                self.execute(outputs);
                continue;
            }
            for change in &batch.changes {
                self.store.apply(change);
            }
            let outputs = self.planner.release(self.now, batch.effects);
            self.execute(outputs);
        }
        if self.pending_batch.is_none() {
            self.pending_batch = self.planner.take_batch();
        }
    }

    fn execute(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Order(WorkerOrder::Start(order)) => self.start(order),
                Output::Order(WorkerOrder::Stop { incarnation, task, attempt }) => {
                    self.stop(&incarnation, &task, attempt);
                }
                Output::Order(WorkerOrder::AcknowledgeEnds { incarnation, up_to }) => {
                    self.acknowledge(&incarnation, up_to);
                }
                Output::Progress { job, progress: Some(progress), .. } => {
                    self.progress.insert(job, progress);
                }
                Output::Progress { job, progress: None, .. } => {
                    self.progress.remove(&job);
                }
                Output::Decision { .. } | Output::StandingChanged { .. } => {}
            }
        }
    }

    fn start(&mut self, order: StartOrder) {
        let record = &self.store.jobs[&order.task.job];
        let need = record.spec.steps[usize::from(order.task.step)].need;
        let stored = self.record(&order.task).attempt;
        assert!(stored >= order.attempt, "{}: started before its intent was durable", order.task);
        assert!(!self.done.contains(&order.task), "{}: started after it was done", order.task);
        self.starts.push(order.clone());
        let worker = self.workers.get_mut(&order.incarnation.worker).expect("the worker exists");
        let is_target = worker.incarnation == order.incarnation || worker.is_restart_unknown;
        if !worker.is_connected || !is_target {
            return;
        }
        assert!(!worker.draining, "{}: started on a draining worker", order.task);
        let is_closed =
            worker.closed.get(&order.task).is_some_and(|closed| *closed >= order.attempt);
        if is_closed
            || worker
                .attempts
                .get(&order.task)
                .is_some_and(|attempt| attempt.attempt >= order.attempt)
        {
            return;
        }
        let attempt = FakeAttempt { attempt: order.attempt, need, percent: 0, is_stopping: false };
        worker.attempts.insert(order.task.clone(), attempt);
        let used = worker
            .attempts
            .values()
            .fold(Resources::default(), |sum, attempt| sum.saturating_add(&attempt.need));
        assert!(
            worker_resources().can_hold(&used),
            "{}: exceeds its resources",
            worker.incarnation.worker
        );
        self.check_single(&order.task);
        let (incarnation, attempt) = (order.incarnation, order.attempt);
        self.handle(&Input::Worker(WorkerEvent::Started {
            incarnation,
            task: order.task,
            attempt,
        }));
    }

    /// Checks that at most one attempt of a task runs at a time.
    fn check_single(&self, task: &TaskId) {
        let running =
            self.workers.values().filter(|worker| worker.attempts.contains_key(task)).count();
        assert!(running <= 1, "{task}: {running} attempts at the same time");
    }

    fn stop(&mut self, incarnation: &WorkerIncarnation, task: &TaskId, attempt: u32) {
        self.stops.push((task.clone(), attempt));
        let worker = self.workers.get_mut(&incarnation.worker).expect("the worker exists");
        if !worker.is_connected || worker.incarnation != *incarnation {
            return;
        }
        let closed = worker.closed.entry(task.clone()).or_default();
        *closed = attempt.max(*closed);
        if let Some(running) =
            worker.attempts.get_mut(task).filter(|running| running.attempt <= attempt)
        {
            running.is_stopping = true;
        }
    }

    fn acknowledge(&mut self, incarnation: &WorkerIncarnation, up_to: u64) {
        let worker = self.workers.get_mut(&incarnation.worker).expect("the worker exists");
        if !worker.is_connected || worker.incarnation != *incarnation {
            return;
        }
        for end in worker.ended.iter().filter(|end| end.number <= up_to) {
            let spec = &self.store.jobs[&end.task.job].spec;
            let is_long_running = spec.steps[usize::from(end.task.step)].long_running;
            if end.kind == AttemptEnd::Done && !is_long_running {
                self.done.insert(end.task.clone());
            }
        }
        worker.ended.retain(|end| end.number > up_to);
    }

    /// Ends the attempt of a task on the worker where it runs, and reports the end.
    pub fn end(&mut self, task: &TaskId, kind: AttemptEnd) {
        let host = self.workers.values().find(|worker| worker.attempts.contains_key(task));
        let worker = host.expect("the task runs").incarnation.worker.clone();
        self.end_on(&worker, task, kind);
        self.report(&worker);
    }

    pub fn end_on(&mut self, worker: &WorkerId, task: &TaskId, kind: AttemptEnd) {
        let worker = self.workers.get_mut(worker).expect("the worker exists");
        let ended = worker.attempts.remove(task).expect("the task runs");
        worker.end_count += 1;
        let closed = worker.closed.entry(task.clone()).or_default();
        *closed = ended.attempt.max(*closed);
        worker.ended.push(EndedAttempt {
            number: worker.end_count,
            task: task.clone(),
            attempt: ended.attempt,
            kind,
            checkpoint: (kind == AttemptEnd::Stopped).then(|| format!("saved-{}", ended.attempt)),
        });
    }

    /// Ends all attempts whose stop was ordered, and reports the ends.
    pub fn finish_stops(&mut self) {
        let stopping: Vec<(WorkerId, TaskId)> = self
            .workers
            .iter()
            .flat_map(|(id, worker)| {
                let stopping = worker.attempts.iter().filter(|(_, attempt)| attempt.is_stopping);
                stopping.map(|(task, _)| (id.clone(), task.clone())).collect::<Vec<_>>()
            })
            .collect();
        for (worker, task) in stopping {
            self.end_on(&worker, &task, AttemptEnd::Stopped);
        }
        self.report_all();
    }

    pub fn report_all(&mut self) {
        let workers: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for worker in workers {
            self.report(&worker);
        }
    }

    /// Sends the description and the attempts of a worker to the planner, if the worker is connected.
    pub fn report(&mut self, worker: &WorkerId) {
        let fake = &self.workers[worker];
        if !fake.is_connected || fake.is_restart_unknown {
            return;
        }
        let report = WorkerReport {
            incarnation: fake.incarnation.clone(),
            service: SERVICE.to_owned(),
            data_centre: DataCentreId::from(fake.data_centre.as_str()),
            rack: Some(RackId::from(fake.rack.as_str())),
            labels: fake.labels.clone(),
            room: worker_resources(),
            draining: fake.draining,
            leaves_in_ms: fake.leaves_in_ms,
        };
        self.handle(&Input::Worker(WorkerEvent::Reported(report)));
        // Handling the description may start attempts, which a list from before would lack.
        let fake = &self.workers[worker];
        let running = fake.attempts.iter().map(|(task, fake_attempt)| RunningAttempt {
            task: task.clone(),
            attempt: fake_attempt.attempt,
            checkpoint: self.checkpoint.clone(),
            percent: fake_attempt.percent,
        });
        let attempts = AttemptsReport {
            incarnation: fake.incarnation.clone(),
            running: running.collect(),
            ended: fake.ended.clone(),
            starting: Vec::new(),
            stopped: fake.closed.iter().map(|(task, attempt)| (task.clone(), *attempt)).collect(),
        };
        self.handle(&Input::Runs(attempts));
    }

    /// Advances the time; workers report every half second.
    pub fn advance(&mut self, duration_ms: u64) {
        let mut remaining_ms = duration_ms;
        while remaining_ms > 0 {
            let step_ms = remaining_ms.min(500);
            self.now.steady_ms += step_ms;
            self.now.wall_ms += step_ms;
            remaining_ms -= step_ms;
            if self.makes_progress {
                let attempts =
                    self.workers.values_mut().flat_map(|worker| worker.attempts.values_mut());
                attempts.for_each(|attempt| attempt.percent = (attempt.percent + 1) % 98);
            }
            self.handle(&Input::Tick);
            self.report_all();
        }
    }

    /// Replaces the planner by one that restores its state from the store. Batches that are not durable are lost.
    pub fn take_over(&mut self) {
        self.pending_batch = None;
        self.planner = Planner::new(self.now, SETTINGS, self.directives.clone());
        for (job, record) in self.store.jobs.clone() {
            let occurrences = self.store.occurrences_of(&job);
            let undivided = occurrences.iter().filter(|(_, stored)| stored.is_in_one_part);
            let undivided: Vec<u32> = undivided.map(|(number, _)| *number).collect();
            let records = occurrences.into_iter().map(|(number, stored)| (number, stored.record));
            self.planner.restore(self.now, &job, record, records.collect());
            for number in undivided {
                self.planner.rewrite(&job, number);
            }
        }
        for job in self.store.cancelled.clone() {
            self.handle(&Input::Cancelled { job });
        }
        self.handle(&Input::Tick);
    }

    /// Restarts a worker in a new incarnation without its attempts.
    pub fn restart(&mut self, number: usize) {
        let worker = self.worker(number);
        worker.incarnation.born_ms += 1;
        worker.attempts.clear();
        worker.ended.clear();
        worker.closed.clear();
        worker.end_count = 0;
        worker.is_connected = true;
        worker.draining = false;
        worker.leaves_in_ms = None;
    }

    /// Returns the running tasks of a job with their workers.
    pub fn placements(&self, job: &str) -> Vec<(TaskId, WorkerId)> {
        let mut places = Vec::new();
        for (worker, fake) in &self.workers {
            let tasks = fake.attempts.keys().filter(|task| task.job == id(job));
            places.extend(tasks.map(|task| (task.clone(), worker.clone())));
        }
        places.sort();
        places
    }

    pub fn record(&self, task: &TaskId) -> TaskRecord {
        let stored = self.store.occurrence(&task.job, task.occurrence).record;
        let steps = &self.store.jobs[&task.job].spec.steps[..usize::from(task.step)];
        let before: u32 = steps.iter().map(|step| step.tasks).sum();
        stored.tasks[(before + task.index) as usize].clone()
    }
}

impl FakeStore {
    fn apply(&mut self, change: &RecordChange) {
        match change {
            RecordChange::Occurrence { job, occurrence, part, record, obsolete_parts } => {
                self.largest_record_bytes = self.largest_record_bytes.max(record.len());
                let record =
                    OccurrenceRecord::decode(record).expect("encoded record can be decoded");
                match part {
                    0 => self.occurrences.insert((job.clone(), *occurrence), record),
                    _ => self.parts.insert((job.clone(), *occurrence, *part), record),
                };
                for part in obsolete_parts.clone() {
                    self.parts.remove(&(job.clone(), *occurrence, part));
                }
            }
            RecordChange::Remove { job, occurrences, is_complete, .. } => {
                if *is_complete {
                    self.jobs.remove(job);
                    self.cancelled.remove(job);
                }
                let is_removed = |key: &(JobId, u32)| key.0 == *job && occurrences.contains(&key.1);
                self.occurrences.retain(|key, _| !is_removed(key));
                self.parts
                    .retain(|(job, occurrence, _), _| !is_removed(&(job.clone(), *occurrence)));
            }
        }
    }

    /// Returns the stored state of an occurrence. One that does not match the job has its first part only.
    fn occurrence(&self, job: &JobId, number: u32) -> AssembledRecord {
        let first = self.occurrences.get(&(job.clone(), number)).cloned().unwrap_or_default();
        let mut parts = StoredParts::default();
        parts.insert(0, first.clone());
        for ((_, _, part), record) in
            self.parts.range((job.clone(), number, 0)..=(job.clone(), number, u16::MAX))
        {
            parts.insert(*part, record.clone());
        }
        let tasks = self.jobs[job].spec.tasks_per_occurrence();
        let undivided = AssembledRecord { record: first, is_in_one_part: false };
        parts.assemble(tasks).unwrap_or(undivided)
    }

    fn occurrences_of(&self, job: &JobId) -> Vec<(u32, AssembledRecord)> {
        let first = self.occurrences.keys().map(|(job, number)| (job, *number));
        let others = self.parts.keys().map(|(job, number, _)| (job, *number));
        let numbers: BTreeSet<u32> = first
            .chain(others)
            .filter(|(stored, _)| *stored == job)
            .map(|(_, number)| number)
            .collect();
        numbers.into_iter().map(|number| (number, self.occurrence(job, number))).collect()
    }
}
