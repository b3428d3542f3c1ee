//! Client of the worker's HTTP interface, which docs/platform.md describes.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use reqwest::StatusCode;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::prelude::*;
use crate::stand_in::{LeaseRenewal, StartTask, TaskList, TaskReport, TaskState};
use crate::worker::{self, ListedTask, PROBE_TASK, TaskName, WorkerAnswer, WorkerCall};

/// The timeout of a call to the worker.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The run time of a probe.
const PROBE_RUN_MS: u64 = 200;
/// The maximum time from the start of a probe until the worker lists it as succeeded. Also the lease of its task.
const PROBE_TIMEOUT_MS: u64 = 5_000;
/// The interval at which the state of a probe is read.
const PROBE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A call of the worker, and the time at which the agent decided to make it.
#[derive(Debug)]
pub(super) struct DecidedCall {
    pub(super) call: WorkerCall,
    pub(super) decided_at: Instant,
}

/// Makes the agent's calls sequentially, so that their answers arrive in the order of the decisions.
#[derive(Debug)]
pub(super) struct WorkerApi {
    client: reqwest::Client,
    base_url: String,
    incarnation: Incarnation,
    /// The number of probes started in this incarnation; part of the name of each probe's task.
    probes: u64,
    /// The usage reported last for each gang: cores in thousandths and memory in mebibytes of its largest task.
    reported_usage: HashMap<GangId, (u32, u64)>,
}

impl WorkerApi {
    pub(super) fn new(base_url: &str, incarnation: Incarnation) -> Self {
        let client = reqwest::Client::builder().timeout(CALL_TIMEOUT).build().unwrap_or_default();
        let base_url = base_url.trim_end_matches('/').to_owned();
        Self { client, base_url, incarnation, probes: 0, reported_usage: HashMap::new() }
    }

    /// Makes calls until the agent's actor has stopped.
    pub(super) async fn run(
        mut self,
        mut calls: mpsc::Receiver<DecidedCall>,
        answers: mpsc::Sender<WorkerAnswer>,
    ) {
        while let Some(decided) = calls.recv().await {
            for answer in self.perform(decided).await {
                if answers.send(answer).await.is_err() {
                    return;
                }
            }
        }
    }

    async fn perform(&mut self, decided: DecidedCall) -> Vec<WorkerAnswer> {
        let elapsed_ms = decided.decided_at.elapsed().as_millis() as u64;
        match decided.call {
            WorkerCall::List { number } => self.list(number).await,
            WorkerCall::Start { .. } => vec![self.start(&decided.call, decided.decided_at).await],
            WorkerCall::Renew { tasks, lease_ms } => {
                let lease_ms = lease_ms.saturating_sub(elapsed_ms);
                if lease_ms > 0 {
                    self.post("/tasks/renew", &LeaseRenewal { lease_ms, tasks }).await;
                }
                Vec::new()
            }
            WorkerCall::Checkpoint { gang, tasks } => self.checkpoint(gang, tasks).await,
            WorkerCall::Stop { tasks } => {
                self.post("/tasks/stop", &TaskList { tasks }).await;
                Vec::new()
            }
            WorkerCall::Probe => vec![WorkerAnswer::Probed { succeeded: self.probe().await }],
        }
    }

    /// Starts the tasks of a share. Before each task, the time since the decision is deducted from the lease and
    /// compared with the validity of the start, because the process may have been paused in between.
    async fn start(&self, call: &WorkerCall, decided_at: Instant) -> WorkerAnswer {
        let WorkerCall::Start { gang, need, tasks, run_ms, saved_ms, lease_ms, valid_ms } = call
        else {
            unreachable!("the caller passes only WorkerCall::Start");
        };
        let gang = gang.clone();
        for (index, task) in tasks.iter().enumerate() {
            let elapsed_ms = decided_at.elapsed().as_millis() as u64;
            if elapsed_ms >= *valid_ms {
                return WorkerAnswer::StartFailed { gang, never_ran: index == 0 };
            }
            let start = StartTask {
                task: task.name.clone(),
                cores: need.cores,
                memory_mb: need.memory_mb,
                accelerator_mask: task.accelerator_mask,
                lease_ms: lease_ms.saturating_sub(elapsed_ms),
                run_ms: *run_ms,
                saved_ms: *saved_ms,
            };
            if self.post("/tasks", &start).await != Some(StatusCode::OK) {
                log::warn!(
                    task = task.name.as_str();
                    "worker did not confirm the start of a task; start of the gang's share failed"
                );
                return WorkerAnswer::StartFailed { gang, never_ran: false };
            }
        }
        WorkerAnswer::Started { gang }
    }

    async fn list(&mut self, number: u64) -> Vec<WorkerAnswer> {
        let Some(reports) = self.reports().await else { return Vec::new() };
        let mut answers = self.changed_usage(&reports);
        let listed = |report: TaskReport| ListedTask {
            name: report.task,
            state: to_worker_state(report.state),
        };
        let tasks = reports.into_iter().map(listed).collect();
        answers.push(WorkerAnswer::Listed { number, tasks });
        answers
    }

    /// Returns the usage of each gang whose usage differs from the one reported last.
    fn changed_usage(&mut self, reports: &[TaskReport]) -> Vec<WorkerAnswer> {
        let mut usage: BTreeMap<GangId, (u32, u64)> = BTreeMap::new();
        for report in reports.iter().filter(|report| report.state == TaskState::Running) {
            let (Some(cores), Some(memory_mb)) = (report.cores_per_mille, report.memory_mb) else {
                continue;
            };
            let Ok(name) = report.task.parse::<TaskName>() else { continue };
            let peak = usage.entry(name.gang).or_default();
            *peak = (peak.0.max(cores), peak.1.max(memory_mb));
        }
        self.reported_usage.retain(|gang, _| usage.contains_key(gang));
        let changed =
            usage.into_iter().filter(|(gang, peak)| self.reported_usage.get(gang) != Some(peak));
        let changed: Vec<(GangId, (u32, u64))> = changed.collect();
        self.reported_usage.extend(changed.iter().cloned());
        let answer = |(gang, (cores_per_mille, memory_mb))| WorkerAnswer::Usage {
            gang,
            cores_per_mille,
            memory_mb,
        };
        changed.into_iter().map(answer).collect()
    }

    async fn checkpoint(&self, gang: GangId, tasks: Vec<String>) -> Vec<WorkerAnswer> {
        let list = TaskList { tasks };
        if self.post("/tasks/checkpoint", &list).await != Some(StatusCode::OK) {
            return Vec::new();
        }
        let Some(reports) = self.reports().await else { return Vec::new() };
        let gang_reports = reports.iter().filter(|report| list.tasks.contains(&report.task));
        let saved = gang_reports.map(|report| report.saved_ms).min();
        saved.map(|saved_ms| WorkerAnswer::Checkpointed { gang, saved_ms }).into_iter().collect()
    }

    /// Runs a short task without accelerators, and returns whether it succeeded.
    async fn probe(&mut self) -> bool {
        self.probes += 1;
        let task = format!("{PROBE_TASK}-{}-{}", self.incarnation, self.probes);
        let start = StartTask {
            task: task.clone(),
            cores: 0,
            memory_mb: 0,
            accelerator_mask: 0,
            lease_ms: PROBE_TIMEOUT_MS,
            run_ms: PROBE_RUN_MS,
            saved_ms: 0,
        };
        let deadline = Instant::now() + Duration::from_millis(PROBE_TIMEOUT_MS);
        if self.post("/tasks", &start).await != Some(StatusCode::OK) {
            return false;
        }
        while Instant::now() < deadline {
            tokio::time::sleep(PROBE_POLL_INTERVAL).await;
            let reports = self.reports().await.unwrap_or_default();
            match reports.iter().find(|report| report.task == task).map(|report| report.state) {
                Some(TaskState::Succeeded) => return true,
                Some(TaskState::Running) => {}
                _ => return false,
            }
        }
        false
    }

    async fn reports(&self) -> Option<Vec<TaskReport>> {
        let response = self.client.get(format!("{}/tasks", self.base_url)).send().await;
        match response.and_then(reqwest::Response::error_for_status) {
            Ok(response) => response.json().await.ok(),
            Err(error) => {
                log::debug!("worker's tasks could not be listed: {}", error.without_url());
                None
            }
        }
    }

    /// Posts a body as JSON and returns the status of the response, or `None` if there was none.
    async fn post<B>(&self, path: &str, body: &B) -> Option<StatusCode>
    where
        B: Serialize,
    {
        let result = self.client.post(format!("{}{path}", self.base_url)).json(body).send().await;
        match result {
            Ok(response) => Some(response.status()),
            Err(error) => {
                log::debug!("call to the worker at {path} failed: {}", error.without_url());
                None
            }
        }
    }
}

fn to_worker_state(state: TaskState) -> worker::TaskState {
    match state {
        TaskState::Running => worker::TaskState::Running,
        TaskState::Succeeded => worker::TaskState::Succeeded,
        TaskState::Failed => worker::TaskState::Failed,
        TaskState::Stopped => worker::TaskState::Stopped,
        TaskState::Lapsed => worker::TaskState::Lapsed,
    }
}
