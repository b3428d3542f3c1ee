//! Workers that behave as the platform's, a store, and a planner between them. The world checks the rules as it goes.

use std::collections::{BTreeMap, BTreeSet};

use super::*;
use crate::workflow::{TaskRecord, WorkerIncarnation};

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: u32,
    pub need: Resources,
    pub percent: u8,
    pub is_stopping: bool,
}

/// A worker of the platform: it starts whatever it is told to.
#[derive(Clone, Debug)]
pub struct FakeWorker {
    pub incarnation: WorkerIncarnation,
    pub data_centre: String,
    pub rack: String,
    pub runs: BTreeMap<TaskId, Run>,
    pub ended: Vec<EndedAttempt>,
    pub ends: u64,
    /// The highest run that was stopped or ended, by task.
    pub closed: BTreeMap<TaskId, u32>,
    pub is_connected: bool,
    pub draining: bool,
    pub leaves_in_ms: Option<u64>,
}

/// What the store has.
#[derive(Clone, Debug, Default)]
pub struct FakeStore {
    pub jobs: BTreeMap<JobId, JobRecord>,
    pub cancelled: BTreeSet<JobId>,
    pub occurrences: BTreeMap<(JobId, u32), OccurrenceRecord>,
}

/// The whole world.
pub struct World {
    pub planner: Planner,
    pub store: FakeStore,
    pub workers: BTreeMap<WorkerId, FakeWorker>,
    pub now: PlannerTime,
    pub progress: BTreeMap<JobId, JobProgress>,
    /// The tasks that ended as done and whose end was acknowledged.
    pub done: BTreeSet<TaskId>,
    pub starts: Vec<StartOrder>,
    pub stops: Vec<(TaskId, u32)>,
    /// Batches are kept back while the store is away.
    pub store_is_away: bool,
    pub directives: Directives,
    /// Runs make one percent of progress with each report, up to 98.
    pub makes_progress: bool,
    waiting: Option<Batch>,
}

pub fn id(name: &str) -> JobId {
    JobId::from(name)
}

pub fn task(job: &str, step: u16, index: u32) -> TaskId {
    TaskId { job: id(job), occurrence: 0, step, index }
}

impl World {
    /// Creates workers, three to a rack, one data centre a rack.
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
            store_is_away: false,
            directives,
            makes_progress: true,
            waiting: None,
        };
        for number in 0..workers {
            let worker = WorkerId::from(format!("w{number:02}").as_str());
            let fake = FakeWorker {
                incarnation: WorkerIncarnation { worker: worker.clone(), born_ms: 1 },
                data_centre: format!("dc{}", number / 3),
                rack: format!("rack{}", number / 3),
                runs: BTreeMap::new(),
                ended: Vec::new(),
                ends: 0,
                closed: BTreeMap::new(),
                is_connected: true,
                draining: false,
                leaves_in_ms: None,
            };
            world.workers.insert(worker, fake);
        }
        world.report_all();
        world.pass(1_000);
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
        self.carry_out(outputs);
        self.flush();
    }

    /// Makes batches durable, and then lets their effects happen.
    pub fn flush(&mut self) {
        while !self.store_is_away {
            let Some(batch) = self.waiting.take().or_else(|| self.planner.take_batch()) else {
                return;
            };
            for change in &batch.changes {
                self.store.apply(change);
            }
            let outputs = self.planner.release(self.now, batch.effects);
            self.carry_out(outputs);
        }
        if self.waiting.is_none() {
            self.waiting = self.planner.take_batch();
        }
    }

    fn carry_out(&mut self, outputs: Vec<Output>) {
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
                Output::Decision { .. } => {}
            }
        }
    }

    fn start(&mut self, order: StartOrder) {
        let record = &self.store.jobs[&order.task.job];
        let need = record.spec.steps[usize::from(order.task.step)].need;
        let stored = self.store.occurrences.get(&(order.task.job.clone(), order.task.occurrence));
        assert!(stored.is_some(), "{}: started before its intent was durable", order.task);
        assert!(!self.done.contains(&order.task), "{}: started after it was done", order.task);
        self.starts.push(order.clone());
        let worker = self.workers.get_mut(&order.incarnation.worker).expect("the worker exists");
        if !worker.is_connected || worker.incarnation != order.incarnation {
            return;
        }
        assert!(!worker.draining, "{}: started on a worker that drains", order.task);
        let is_closed =
            worker.closed.get(&order.task).is_some_and(|closed| *closed >= order.attempt);
        if is_closed || worker.runs.get(&order.task).is_some_and(|run| run.attempt >= order.attempt)
        {
            return;
        }
        let run = Run { attempt: order.attempt, need, percent: 0, is_stopping: false };
        worker.runs.insert(order.task.clone(), run);
        let used = worker.runs.values().fold(Resources::default(), |sum, run| sum.plus(&run.need));
        assert!(worker_room().holds(&used), "{}: over its room", worker.incarnation.worker);
        self.check_single(&order.task);
        let (incarnation, attempt) = (order.incarnation, order.attempt);
        self.handle(&Input::Worker(WorkerEvent::Started {
            incarnation,
            task: order.task,
            attempt,
        }));
    }

    /// Checks that no task runs twice at the same time.
    fn check_single(&self, task: &TaskId) {
        let running = self.workers.values().filter(|worker| worker.runs.contains_key(task)).count();
        assert!(running <= 1, "{task}: {running} runs at the same time");
    }

    fn stop(&mut self, incarnation: &WorkerIncarnation, task: &TaskId, attempt: u32) {
        self.stops.push((task.clone(), attempt));
        let worker = self.workers.get_mut(&incarnation.worker).expect("the worker exists");
        if !worker.is_connected || worker.incarnation != *incarnation {
            return;
        }
        let closed = worker.closed.entry(task.clone()).or_default();
        *closed = attempt.max(*closed);
        if let Some(running) = worker.runs.get_mut(task).filter(|one| one.attempt <= attempt) {
            running.is_stopping = true;
        }
    }

    fn acknowledge(&mut self, incarnation: &WorkerIncarnation, up_to: u64) {
        let worker = self.workers.get_mut(&incarnation.worker).expect("the worker exists");
        if worker.incarnation != *incarnation {
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

    /// Ends a run on the worker where it is, and reports it.
    pub fn end(&mut self, task: &TaskId, kind: AttemptEnd) {
        let at = self.workers.values().find(|worker| worker.runs.contains_key(task));
        let worker = at.expect("the task runs").incarnation.worker.clone();
        self.end_on(&worker, task, kind);
        self.report(&worker);
    }

    pub fn end_on(&mut self, worker: &WorkerId, task: &TaskId, kind: AttemptEnd) {
        let worker = self.workers.get_mut(worker).expect("the worker exists");
        let run = worker.runs.remove(task).expect("the task runs");
        worker.ends += 1;
        let closed = worker.closed.entry(task.clone()).or_default();
        *closed = run.attempt.max(*closed);
        worker.ended.push(EndedAttempt {
            number: worker.ends,
            task: task.clone(),
            attempt: run.attempt,
            kind,
            checkpoint: (kind == AttemptEnd::Stopped).then(|| format!("saved-{}", run.attempt)),
        });
    }

    /// Ends all runs that were told to stop, and reports them.
    pub fn finish_stops(&mut self) {
        let stopping: Vec<(WorkerId, TaskId)> = self
            .workers
            .iter()
            .flat_map(|(id, worker)| {
                let stopping = worker.runs.iter().filter(|(_, run)| run.is_stopping);
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

    /// Lets a worker say what it is and what it runs.
    pub fn report(&mut self, worker: &WorkerId) {
        let fake = &self.workers[worker];
        if !fake.is_connected {
            return;
        }
        let report = WorkerReport {
            incarnation: fake.incarnation.clone(),
            service: SERVICE.to_owned(),
            data_centre: DataCentreId::from(fake.data_centre.as_str()),
            rack: Some(RackId::from(fake.rack.as_str())),
            labels: vec!["a".to_owned(), fake.rack.clone()],
            room: worker_room(),
            draining: fake.draining,
            leaves_in_ms: fake.leaves_in_ms,
        };
        let running = fake.runs.iter().map(|(task, run)| RunningAttempt {
            task: task.clone(),
            attempt: run.attempt,
            checkpoint: None,
            percent: run.percent,
        });
        let runs = AttemptsReport {
            incarnation: fake.incarnation.clone(),
            running: running.collect(),
            ended: fake.ended.clone(),
            starting: Vec::new(),
            stopped: fake.closed.iter().map(|(task, attempt)| (task.clone(), *attempt)).collect(),
        };
        self.handle(&Input::Worker(WorkerEvent::Reported(report)));
        self.handle(&Input::Runs(runs));
    }

    /// Lets time pass; workers go on reporting each half second.
    pub fn pass(&mut self, duration_ms: u64) {
        let mut left_ms = duration_ms;
        while left_ms > 0 {
            let part_ms = left_ms.min(500);
            self.now.steady_ms += part_ms;
            self.now.wall_ms += part_ms;
            left_ms -= part_ms;
            if self.makes_progress {
                let runs = self.workers.values_mut().flat_map(|worker| worker.runs.values_mut());
                runs.for_each(|run| run.percent = (run.percent + 1) % 98);
            }
            self.handle(&Input::Tick);
            self.report_all();
        }
    }

    /// A new leader reads the store. Batches that were not durable are lost.
    pub fn take_over(&mut self) {
        self.waiting = None;
        self.planner = Planner::new(self.now, SETTINGS, self.directives.clone());
        for (job, record) in self.store.jobs.clone() {
            let occurrences = self.store.occurrences_of(&job);
            self.planner.restore(self.now, &job, record, occurrences);
        }
        for job in self.store.cancelled.clone() {
            self.handle(&Input::Cancelled { job });
        }
        self.handle(&Input::Tick);
    }

    /// A worker crashes and begins a new incarnation.
    pub fn restart(&mut self, number: usize) {
        let worker = self.worker(number);
        worker.incarnation.born_ms += 1;
        worker.runs.clear();
        worker.ended.clear();
        worker.closed.clear();
        worker.ends = 0;
        worker.is_connected = true;
        worker.draining = false;
        worker.leaves_in_ms = None;
    }

    /// Returns the workers on which tasks of a job run.
    pub fn places(&self, job: &str) -> Vec<(TaskId, WorkerId)> {
        let mut places = Vec::new();
        for (worker, fake) in &self.workers {
            let tasks = fake.runs.keys().filter(|task| task.job == id(job));
            places.extend(tasks.map(|task| (task.clone(), worker.clone())));
        }
        places.sort();
        places
    }

    pub fn record(&self, task: &TaskId) -> TaskRecord {
        let stored = &self.store.occurrences[&(task.job.clone(), task.occurrence)];
        let steps = &self.store.jobs[&task.job].spec.steps[..usize::from(task.step)];
        let before: u32 = steps.iter().map(|step| step.tasks).sum();
        stored.tasks[(before + task.index) as usize].clone()
    }
}

impl FakeStore {
    fn apply(&mut self, change: &RecordChange) {
        match change {
            RecordChange::Occurrence { job, occurrence, record } => {
                let bytes = crate::workflow::encode(record.as_ref());
                let record = crate::workflow::decode(&bytes).expect("records can be read again");
                self.occurrences.insert((job.clone(), *occurrence), record);
            }
            RecordChange::Forget { job, .. } => {
                self.jobs.remove(job);
                self.cancelled.remove(job);
                self.occurrences.retain(|(own, _), _| own != job);
            }
        }
    }

    fn occurrences_of(&self, job: &JobId) -> Vec<(u32, OccurrenceRecord)> {
        let own = self.occurrences.iter().filter(|((own, _), _)| own == job);
        own.map(|((_, number), record)| (*number, record.clone())).collect()
    }
}
