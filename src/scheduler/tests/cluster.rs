//! Simulated agents and job table that lose, delay, duplicate and refuse messages, and that record which tasks ran.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt;

use super::*;

/// Maximum delay of a message, in milliseconds.
const MAX_DELAY_MS: u64 = 300;
/// Time between two scans of the table, in milliseconds.
const SCAN_INTERVAL_MS: u64 = 10_000;

/// State of one worker's agent: its reservations and its running tasks.
#[derive(Default)]
struct Agent {
    up: bool,
    reserved: BTreeMap<GangId, (JobSpec, ShareRequest)>,
    /// Running shares with the tasks that have ended.
    running: BTreeMap<GangId, (JobSpec, ShareRequest, BTreeSet<u32>)>,
}

/// Row of a job in the table.
struct Row {
    spec: JobSpec,
    attempts: u32,
    saved_ms: u64,
    end: Option<JobEnd>,
}

/// Group of agents under one leader.
pub(super) struct Cluster {
    pub bench: Bench,
    rules: GroupRules,
    policy: Policy,
    agents: BTreeMap<WorkerId, Agent>,
    rows: BTreeMap<JobId, Row>,
    /// Inputs in transit, with their arrival times.
    inbox: Vec<(u64, Input)>,
    /// Numbers of each job's attempts that ran any task.
    ran: BTreeMap<JobId, BTreeSet<u32>>,
    /// Whether faults are injected.
    pub faulty: bool,
    permitted: bool,
}

impl Cluster {
    pub fn new(policy: Policy, workers: u32, guarantees: Vec<GroupGuarantee>, seed: u64) -> Self {
        let mut bench = Bench::new(policy, workers, guarantees.clone());
        bench.random = ChaCha8Rng::seed_from_u64(seed);
        let up = |number| (worker(number).id, Agent { up: true, ..Agent::default() });
        Self {
            bench,
            rules: super::rules(guarantees),
            policy,
            agents: (0..workers).map(up).collect(),
            rows: BTreeMap::new(),
            inbox: Vec::new(),
            ran: BTreeMap::new(),
            faulty: true,
            permitted: true,
        }
    }

    fn chance(&mut self, per_cent: u32) -> bool {
        self.faulty && self.bench.random.random_range(0..100) < per_cent
    }

    pub fn submit(&mut self, spec: JobSpec) {
        let row = Row { spec: spec.clone(), attempts: 0, saved_ms: 0, end: None };
        if self.rows.insert(spec.id.clone(), row).is_none() {
            self.input(Input::Submit { job: spec, saved_ms: 0, attempts: 0 });
        }
    }

    pub fn cancel(&mut self, jobs: Vec<JobId>) {
        self.input(Input::Cancel { jobs });
    }

    pub fn permit(&mut self, permitted: bool) {
        self.permitted = permitted;
        self.input(Input::StartsPermitted { permitted, leaving: !permitted });
    }

    /// Takes a worker down with all its tasks, or brings it back without any.
    pub fn toggle(&mut self, number: u32) {
        let id = worker(number).id;
        let agent = self.agents.get_mut(&id).expect("the worker exists");
        agent.up = !agent.up;
        agent.reserved.clear();
        agent.running.clear();
        let input = match agent.up {
            true => Input::WorkerUp { worker: worker(number), running: Vec::new() },
            false => Input::WorkerLost { worker: id },
        };
        // Messages in transit from the agent are lost with its connection.
        let lost = worker(number).id;
        self.inbox.retain(|(_, input)| !is_from(input, &lost));
        self.input(input);
    }

    pub fn bring_all_up(&mut self) {
        for number in 0..self.agents.len() as u32 {
            if !self.agents[&worker(number).id].up {
                self.toggle(number);
            }
        }
    }

    /// Replaces the leader; messages in transit are dropped, except for ends of tasks.
    pub fn take_over(&mut self) {
        // Agents repeat the end of a task until a leader acknowledges it.
        self.inbox.retain(|(_, input)| matches!(input, Input::TaskEnded { .. }));
        self.bench.scheduler = Scheduler::new(self.policy);
        for agent in self.agents.values_mut() {
            agent.reserved.clear();
        }
        self.input(Input::Rules { rules: Box::new(self.rules.clone()) });
        self.input(Input::StartsPermitted { permitted: self.permitted, leaving: false });
        let mut inputs = self.open_rows();
        for number in 0..self.agents.len() as u32 {
            let spec = worker(number);
            let agent = &self.agents[&spec.id];
            let running =
                agent.running.iter().map(|(gang, (job, share, ended_tasks))| RunningShare {
                    gang: gang.clone(),
                    job: job.clone(),
                    tasks: share
                        .tasks
                        .iter()
                        .filter(|cell| !ended_tasks.contains(&cell.task))
                        .copied()
                        .collect(),
                });
            if agent.up {
                inputs.push(Input::WorkerUp { worker: spec.clone(), running: running.collect() });
            }
        }
        for last in (1..inputs.len()).rev() {
            let other = self.bench.random.random_range(0..=last);
            inputs.swap(last, other);
        }
        for input in inputs {
            self.input(input);
        }
    }

    /// Advances the clock; messages arrive and running tasks end at random.
    pub fn pass(&mut self, time_ms: u64) {
        let end_ms = self.bench.now_ms + time_ms;
        while self.bench.now_ms < end_ms {
            self.bench.now_ms += MAX_TICK_INTERVAL_MS / 2;
            self.deliver();
            self.end_some_tasks();
            if self.bench.now_ms.is_multiple_of(SCAN_INTERVAL_MS) {
                self.scan();
            }
            self.input(Input::Tick);
        }
    }

    /// Submits all jobs that have not ended again, as a leader does when it scans the table.
    fn scan(&mut self) {
        for submit in self.open_rows() {
            self.input(submit);
        }
    }

    fn open_rows(&self) -> Vec<Input> {
        let rows = self.rows.values().filter(|row| row.end.is_none());
        rows.map(|row| Input::Submit {
            job: row.spec.clone(),
            saved_ms: row.saved_ms,
            attempts: row.attempts,
        })
        .collect()
    }

    fn deliver(&mut self) {
        let now_ms = self.bench.now_ms;
        let due: Vec<(u64, Input)> =
            self.inbox.extract_if(.., |(at_ms, _)| *at_ms <= now_ms).collect();
        for (_, input) in due {
            self.input(input);
        }
    }

    fn end_some_tasks(&mut self) {
        let mut ends = Vec::new();
        for (id, agent) in &self.agents {
            for (gang, (_, share, ended_tasks)) in &agent.running {
                for cell in share.tasks.iter().filter(|cell| !ended_tasks.contains(&cell.task)) {
                    ends.push((id.clone(), gang.clone(), cell.task));
                }
            }
        }
        for (id, gang, task) in ends {
            if self.bench.random.random_range(0..100) < 3 {
                let failed = self.chance(30);
                self.end_task(
                    &id,
                    &gang,
                    task,
                    if failed { TaskEnd::Failed } else { TaskEnd::Succeeded },
                );
            }
        }
    }

    fn end_task(&mut self, id: &WorkerId, gang: &GangId, task: u32, end: TaskEnd) {
        let agent = self.agents.get_mut(id).expect("the worker exists");
        let Some((_, share, ended_tasks)) = agent.running.get_mut(gang) else { return };
        if !ended_tasks.insert(task) {
            return;
        }
        if ended_tasks.len() == share.tasks.len() {
            agent.running.remove(gang);
        }
        self.send(Input::TaskEnded { gang: gang.clone(), worker: id.clone(), task, end });
    }

    /// Sends a message to the leader with a delay, and with faults sometimes twice.
    fn send(&mut self, input: Input) {
        let delay_ms =
            if self.faulty { self.bench.random.random_range(0..MAX_DELAY_MS) } else { 1 };
        if self.chance(10) {
            let again_ms = self.bench.now_ms + delay_ms + MAX_DELAY_MS;
            self.inbox.push((again_ms, input.clone()));
        }
        self.inbox.push((self.bench.now_ms + delay_ms, input));
    }

    /// Applies one input to the leader, carries out its outputs and checks the workers.
    fn input(&mut self, input: Input) {
        let outputs = self.bench.send(input);
        for output in outputs {
            self.carry_out(output);
        }
        self.check_workers();
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Reserve { gang, job, share } => self.reserve(gang, *job, share),
            Output::Release { gang, worker } => {
                if let Some(agent) = self.agents.get_mut(&worker) {
                    agent.reserved.remove(&gang);
                }
            }
            Output::WriteIntent { gang } => self.write_intent(gang),
            Output::Start { gang, worker, .. } => self.start(gang, worker),
            Output::Checkpoint { gang, worker } => {
                let runs = self.agents[&worker].running.contains_key(&gang);
                if runs && !self.chance(30) {
                    self.send(Input::Checkpointed { gang, worker, saved_ms: 10 });
                }
            }
            Output::Stop { gang, worker } => self.stop(gang, worker),
            Output::Fence { worker } => self.fence(worker),
            Output::Probe { worker } => self.send(Input::Probed { worker, succeeded: true }),
            Output::WriteQueued { gang, saved_ms } => {
                let row = self.rows.get_mut(&gang.job).expect("a queued job has a row");
                row.saved_ms = saved_ms;
            }
            Output::WriteEnd { job, end } => self.write_end(job, end),
        }
    }

    fn reserve(&mut self, gang: GangId, job: JobSpec, share: ShareRequest) {
        let worker = share.worker.clone();
        let refuses = self.chance(8);
        let agent = self.agents.get_mut(&worker).expect("the worker exists");
        if !agent.up {
            return;
        }
        let result = if refuses {
            ReserveResult::Refused { reason: "no room".to_owned() }
        } else {
            agent.reserved.insert(gang.clone(), (job, share));
            ReserveResult::Held
        };
        if !self.chance(4) {
            self.send(Input::Reserved { gang, worker, result });
        }
    }

    fn write_intent(&mut self, gang: GangId) {
        let conflict = self.chance(5);
        let row = self.rows.get_mut(&gang.job).expect("an intent is for a job with a row");
        assert!(row.end.is_none(), "an intent for {gang}, which ended");
        assert!(
            row.spec.repeat == Repeat::Allowed || row.attempts == 0,
            "a second durable start of {gang}, which may not be repeated"
        );
        let result = match conflict {
            true => WriteResult::Conflict,
            false => {
                row.attempts = row.attempts.max(gang.number);
                WriteResult::Durable
            }
        };
        self.send(Input::IntentWritten { gang, result });
    }

    fn start(&mut self, gang: GangId, worker: WorkerId) {
        let row = &self.rows[&gang.job];
        assert!(row.attempts >= gang.number, "{gang} started without a durable intent");
        assert!(self.permitted, "{gang} started without a permit");
        let refuses = self.chance(5);
        let agent = self.agents.get_mut(&worker).expect("the worker exists");
        if !agent.up {
            return;
        }
        let Some((job, share)) = agent.reserved.remove(&gang) else { return };
        if refuses {
            for cell in &share.tasks {
                let (gang, worker, task) = (gang.clone(), worker.clone(), cell.task);
                self.send(Input::TaskEnded { gang, worker, task, end: TaskEnd::Refused });
            }
            return;
        }
        agent.running.insert(gang.clone(), (job, share, BTreeSet::new()));
        self.ran.entry(gang.job.clone()).or_default().insert(gang.number);
        self.check_attempts(&gang);
        self.send(Input::Started { gang, worker });
    }

    /// Checks that no other attempt of the job is running, and that a job that may not be repeated ran only one.
    fn check_attempts(&self, gang: &GangId) {
        let running = self.agents.values().flat_map(|agent| agent.running.keys());
        for other in running.filter(|other| other.job == gang.job) {
            assert_eq!(other, gang, "two attempts run at once");
        }
        let once = self.rows[&gang.job].spec.repeat == Repeat::Never;
        assert!(!once || self.ran[&gang.job].len() == 1, "{gang} ran twice");
    }

    fn stop(&mut self, gang: GangId, worker: WorkerId) {
        if self.chance(10) {
            return;
        }
        let agent = self.agents.get_mut(&worker).expect("the worker exists");
        let Some((_, share, ended_tasks)) = agent.running.remove(&gang) else { return };
        for cell in share.tasks.iter().filter(|cell| !ended_tasks.contains(&cell.task)) {
            let (gang, worker, task) = (gang.clone(), worker.clone(), cell.task);
            self.send(Input::TaskEnded { gang, worker, task, end: TaskEnd::Stopped });
        }
    }

    /// Ends all tasks and reservations of a fenced worker, and announces the worker again.
    fn fence(&mut self, worker: WorkerId) {
        let agent = self.agents.get_mut(&worker).expect("the worker exists");
        agent.reserved.clear();
        agent.running.clear();
        self.inbox.retain(|(_, input)| !is_from(input, &worker));
        let number = worker.as_str().trim_start_matches('w').parse().expect("workers are numbered");
        if self.agents[&worker].up {
            let at_ms = self.bench.now_ms + MAX_DELAY_MS;
            let worker = super::worker(number);
            self.inbox.push((at_ms, Input::WorkerUp { worker, running: Vec::new() }));
        }
    }

    fn write_end(&mut self, job: JobId, end: JobEnd) {
        let ran = self.ran.contains_key(&job);
        let row = self.rows.get_mut(&job).expect("a job that ends has a row");
        assert_eq!(row.end, None, "{job} ended twice");
        assert!(
            !(ran && matches!(end, JobEnd::NotRun { .. })),
            "{job} ran, but its outcome is NotRun"
        );
        assert!(ran || end != JobEnd::Succeeded, "{job} never ran, but its outcome is Succeeded");
        let still_running =
            self.agents.values().flat_map(|agent| agent.running.keys()).find(|g| g.job == job);
        assert_eq!(still_running, None, "tasks still run after the end of {job}");
        row.end = Some(end);
    }

    /// Checks that running gangs on a worker do not share accelerators.
    fn check_workers(&self) {
        for (id, agent) in &self.agents {
            let mut seen = 0;
            for (gang, (_, share, ended_tasks)) in &agent.running {
                let running = share.tasks.iter().filter(|cell| !ended_tasks.contains(&cell.task));
                let mask = running.fold(0, |all, cell| all | cell.accelerator_mask);
                assert_eq!(
                    seen & mask,
                    0,
                    "two gangs on the same accelerators of {id}, one is {gang}"
                );
                seen |= mask;
            }
        }
    }

    /// Returns the jobs that have not ended, with their state in the scheduler.
    pub fn unended(&self) -> Vec<(JobId, Option<JobView>)> {
        let open = self.rows.iter().filter(|(_, row)| row.end.is_none());
        open.map(|(id, _)| (id.clone(), self.bench.scheduler.job(id))).collect()
    }
}

fn is_from(input: &Input, id: &WorkerId) -> bool {
    match input {
        Input::Reserved { worker, .. }
        | Input::Started { worker, .. }
        | Input::TaskEnded { worker, .. }
        | Input::Checkpointed { worker, .. }
        | Input::Probed { worker, .. } => worker == id,
        Input::WorkerUp { worker, .. } => &worker.id == id,
        _ => false,
    }
}
