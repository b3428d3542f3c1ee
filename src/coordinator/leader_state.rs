//! The state and work of the leader: it runs the planner and writes the planner's decisions to the store.

mod commit;

use std::collections::HashMap;
use std::net::SocketAddr;

use tokio::task::JoinHandle;

use super::CANCEL_SUFFIX;
use super::actor::Coordinator;
use super::early_cancellation;
use super::message::{AcceptorMessage, JobUpdate, LeaderMessage, PeerMessage};
use super::rejection::{is_rejection, remove_later};
use super::store_watch::watch_jobs;
use super::takeover::{Head, Takeover};
use crate::admission::LoadSummary;
use crate::election::Leadership;
use crate::planner::{Batch, Input, JobProgress, Output, Planner, PlannerTime, SpeedReport};
use crate::prelude::*;
use crate::process::Metrics;
use crate::store::{RowChange, RowStore};
use crate::wire::LinkSender;
use crate::workflow::{JobRecord, JobResult, WorkerIncarnation};

/// The maximum number of jobs in one message of a snapshot; a job takes about 60 bytes, and a frame has up to 2 MiB.
const MAX_SNAPSHOT_JOBS: usize = 10_000;

/// The state of a coordinator that leads; dropping it aborts the watch of jobs and the commit in progress.
#[derive(Debug)]
pub struct LeaderState {
    head: Head,
    head_version: u64,
    planner: Planner,
    /// The batch whose transaction is in progress.
    pending_batch: Option<Batch>,
    commit: Option<JoinHandle<()>>,
    jobs_watch: JoinHandle<()>,
    hosts: HashMap<WorkerId, (u64, LinkSender<AcceptorMessage>)>,
    /// The addresses of coordinators that all connected hosts have received.
    coordinators: Vec<SocketAddr>,
    /// The time at which the planner reported each job as pending, by the steady clock, until the job is finished.
    first_seen_ms: HashMap<JobId, u64>,
    commit_began_ms: u64,
}

impl Drop for LeaderState {
    fn drop(&mut self) {
        self.jobs_watch.abort();
        if let Some(commit) = &self.commit {
            commit.abort();
        }
    }
}

impl LeaderState {
    /// Returns the epoch of the leadership.
    pub fn epoch(&self) -> Epoch {
        self.head.leadership.epoch
    }

    /// Records the connection of a worker's host; it replaces an earlier one.
    pub fn connect_host(
        &mut self,
        connection: u64,
        worker: &WorkerId,
        sender: LinkSender<AcceptorMessage>,
    ) {
        self.hosts.insert(worker.clone(), (connection, sender));
    }

    /// Removes the connection of a worker's host. Returns false if the worker has a newer one.
    pub fn disconnect_host(&mut self, connection: u64, worker: &WorkerId) -> bool {
        let is_current = self.is_current_host(connection, worker);
        if is_current {
            self.hosts.remove(worker);
        }
        is_current
    }

    /// Returns whether a connection is the current one of a worker's host.
    pub fn is_current_host(&self, connection: u64, worker: &WorkerId) -> bool {
        self.hosts.get(worker).is_some_and(|(current, _)| *current == connection)
    }

    /// Returns whether a list of this incarnation of a worker is taken into account.
    pub fn accepts_lists_of(&self, incarnation: &WorkerIncarnation) -> bool {
        self.planner.accepts_lists_of(incarnation)
    }

    /// Sends a message to the host of a worker. The leader makes up for a lost message when it receives the host's next
    /// list of attempts.
    pub fn send(&self, worker: &WorkerId, message: LeaderMessage) {
        let Some((_, sender)) = self.hosts.get(worker) else {
            return;
        };
        if let Err(error) = sender.try_send(AcceptorMessage::Host(message)) {
            log::warn!(worker = worker.as_str(); "message to a host was dropped: {error}");
        }
    }

    /// Sends the addresses of coordinators to all hosts if they differ from those that the hosts have received. Returns
    /// whether they were sent.
    pub fn set_coordinators(&mut self, coordinators: &[SocketAddr]) -> bool {
        if self.coordinators == coordinators {
            return false;
        }
        self.coordinators = coordinators.to_vec();
        for worker in self.hosts.keys() {
            self.welcome(worker);
        }
        true
    }

    /// Sends a host the epoch and the addresses of coordinators.
    pub fn welcome(&self, worker: &WorkerId) {
        let coordinators = self.coordinators.clone();
        self.send(worker, LeaderMessage::Welcome { epoch: self.epoch(), coordinators });
    }

    /// Sends all hosts a redirect, which names the new leader if `leadership` is newer than this leader's own.
    pub fn redirect_hosts(&self, leadership: Option<Leadership>) {
        let successor = leadership.filter(|known| known.epoch > self.epoch());
        for worker in self.hosts.keys() {
            self.send(worker, LeaderMessage::Redirect(successor.clone()));
        }
    }

    /// Records in the metrics how long jobs wait for their first start and how long they take in all.
    fn record_job_times(
        &mut self,
        metrics: &Metrics,
        now_ms: u64,
        job: &JobId,
        progress: Option<JobProgress>,
    ) {
        let elapsed_ms = |seen_ms: u64| now_ms.saturating_sub(seen_ms);
        match progress {
            Some(JobProgress::Pending) => {
                self.first_seen_ms.insert(job.clone(), now_ms);
            }
            Some(JobProgress::Running) => {
                if let Some(seen_ms) = self.first_seen_ms.get(job) {
                    metrics.observe("job_wait_seconds", elapsed_ms(*seen_ms));
                }
            }
            Some(JobProgress::Finished(result)) => {
                metrics.count("job", result_name(result));
                if let Some(seen_ms) = self.first_seen_ms.remove(job) {
                    metrics.observe("job_seconds", elapsed_ms(seen_ms));
                }
            }
            None => {}
        }
    }

    /// Returns the load of the deployment.
    pub fn load(&self, now: PlannerTime) -> LoadSummary {
        self.planner.load(now)
    }

    /// Returns messages with the progress of all jobs. The first one replaces what their receiver knows, the others add to
    /// it, so that none exceeds a frame.
    pub fn snapshot(&self) -> Vec<PeerMessage> {
        let updates = self.updates();
        let mut rest = updates.chunks(MAX_SNAPSHOT_JOBS);
        let first = rest.next().unwrap_or_default();
        let message = |is_snapshot, jobs: &[JobUpdate]| PeerMessage::Progress {
            epoch: self.epoch(),
            is_snapshot,
            jobs: jobs.to_vec(),
        };
        let first = std::iter::once(message(true, first));
        first.chain(rest.map(|jobs| message(false, jobs))).collect()
    }

    /// Returns the estimated speeds of all workers.
    pub fn speed_reports(&self) -> Vec<SpeedReport> {
        self.planner.speed_reports()
    }

    /// Returns a message with the estimated speeds of all workers, if there are any.
    pub fn all_speeds(&self) -> Option<PeerMessage> {
        let speeds = self.speed_reports();
        (!speeds.is_empty()).then(|| PeerMessage::Speeds { epoch: self.epoch(), speeds })
    }

    /// Returns a message with the estimated speeds that have changed since the last call, if there are any.
    pub fn changed_speeds(&mut self) -> Option<PeerMessage> {
        let speeds = self.planner.take_speed_changes();
        (!speeds.is_empty()).then(|| PeerMessage::Speeds { epoch: self.epoch(), speeds })
    }

    /// Returns the ratio of the speeds of fast and slow workers of each service, in percent, and whether placement uses it.
    pub fn speed_spreads(&self) -> impl Iterator<Item = (&str, u32, bool)> {
        self.planner.speed_spreads()
    }

    fn updates(&self) -> Vec<JobUpdate> {
        self.planner
            .progress()
            .map(|(job, queue, progress)| JobUpdate {
                job: job.clone(),
                queue: queue.to_owned(),
                progress: Some(progress),
            })
            .collect()
    }

    /// Returns the planner's state for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let (jobs, placed, workers) = self.planner.counts();
        serde_json::json!({
            "epoch": self.epoch(), "sequence": self.head.sequence, "jobs": jobs,
            "placed_tasks": placed, "connected_workers": workers, "state": self.planner,
        })
    }
}

impl<S> Coordinator<S>
where
    S: RowStore,
{
    /// Begins to lead: restores the planner from the rows that the takeover read, and watches the stored jobs.
    pub(super) fn lead(&mut self, now: PlannerTime, takeover: Takeover) {
        let epoch = takeover.claim.head.leadership.epoch;
        let mut planner = Planner::new(now, self.planner_settings(), self.directives().clone());
        let mut cancelled = Vec::new();
        for job in takeover.jobs {
            if job.is_cancelled {
                cancelled.push(job.id.clone());
            }
            planner.restore(now, &job.id, job.record, job.occurrences);
            if job.has_damaged_state {
                planner.hold(&job.id);
            }
            for occurrence in job.undivided_occurrences {
                planner.rewrite(&job.id, occurrence);
            }
        }
        planner.restore_speeds(&self.speeds.reports());
        for (key, version) in takeover.rejections {
            tokio::spawn(remove_later(self.store().clone(), key, version));
        }
        for (job, version) in takeover.early_cancellations {
            tokio::spawn(early_cancellation::remove_later(self.store().clone(), job, version));
        }
        let watch =
            watch_jobs(self.store().clone(), epoch, takeover.jobs_version, self.events.clone());
        let leader_state = LeaderState {
            head: takeover.claim.head,
            head_version: takeover.claim.head_version,
            planner,
            pending_batch: None,
            commit: None,
            jobs_watch: tokio::spawn(watch),
            hosts: HashMap::new(),
            coordinators: self.coordinators(),
            first_seen_ms: HashMap::new(),
            commit_began_ms: 0,
        };
        let updates = leader_state.updates();
        self.service.shared.with_view(|view| view.update(epoch, true, &updates));
        for message in leader_state.snapshot() {
            self.peers.send_to_all(&message);
        }
        self.leader_state = Some(leader_state);
        for job in cancelled {
            self.plan(&Input::Cancelled { job });
        }
        self.plan(&Input::Tick);
    }

    /// Passes an input to the planner and carries out its outputs, if this coordinator leads.
    pub(super) fn plan(&mut self, input: &Input) {
        let now = self.now();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let outputs = leader_state.planner.handle(now, input);
        if matches!(input, Input::Tick) {
            let (jobs, placed, workers) = leader_state.planner.counts();
            let doubtful = leader_state.planner.doubtful_workers();
            for (name, value) in [
                ("jobs", jobs),
                ("placed_tasks", placed),
                ("workers", workers),
                ("doubtful_workers", doubtful),
            ] {
                self.service.metrics.set("planner", name, i64::try_from(value).unwrap_or(i64::MAX));
            }
        }
        self.handle_outputs(outputs);
        self.flush();
    }

    fn handle_outputs(&mut self, outputs: Vec<Output>) {
        let now_ms = self.service.clock.now_ms();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let mut updates = Vec::new();
        for output in outputs {
            match output {
                Output::Order(order) => {
                    let worker = order.worker().clone();
                    leader_state.send(&worker, LeaderMessage::Order(order));
                }
                Output::Progress { job, queue, progress } => {
                    leader_state.record_job_times(&self.service.metrics, now_ms, &job, progress);
                    updates.push(JobUpdate { job, queue, progress });
                }
                Output::Decision { job, attempt, what, because } => {
                    self.service.metrics.count("planner", decision_name(what));
                    let (task, attempt) = attempt
                        .map_or((String::new(), 0), |(task, attempt)| (task.to_string(), attempt));
                    log::info!(
                        job = job.as_str(), task = task.as_str(), run = attempt, epoch = leader_state.epoch().0,
                        because = because.as_str();
                        "{what}"
                    );
                }
                Output::StandingChanged { worker, is_doubtful, because } => {
                    let name = if is_doubtful { "doubtful" } else { "trusted" };
                    self.service.metrics.count("blame", name);
                    log::info!(
                        worker = worker.as_str(), epoch = leader_state.epoch().0, because = because.as_str();
                        "worker is now {name}"
                    );
                }
            }
        }
        let epoch = leader_state.epoch();
        self.publish(epoch, updates);
    }

    /// Passes stored jobs and cancellations to the planner. Changes from the watch of another epoch are ignored.
    pub(super) fn on_jobs_changed(&mut self, epoch: Epoch, changes: &[RowChange]) {
        if self.leader_state.as_ref().is_some_and(|leader_state| leader_state.epoch() == epoch) {
            for change in changes {
                self.apply_stored_change(change);
            }
        }
    }

    /// Passes a stored job or cancellation to the planner, if this coordinator leads. Repeated ones have no effect.
    pub(super) fn apply_stored_change(&mut self, change: &RowChange) {
        let Some(content) = change.content.as_ref().filter(|content| !is_rejection(content)) else {
            return;
        };
        let key = change.key.key.as_str();
        if let Some(job) = key.strip_suffix(CANCEL_SUFFIX) {
            self.plan(&Input::Cancelled { job: JobId::from(job) });
            return;
        }
        match JobRecord::decode(content) {
            Ok(record) => self.plan(&Input::Submitted { job: JobId::from(key), record }),
            Err(error) => {
                log::error!(job = key; "stored job cannot be decoded and is ignored: {error}")
            }
        }
    }
}

fn decision_name(what: crate::planner::Decision) -> &'static str {
    use crate::planner::Decision;
    match what {
        Decision::Queued => "queued",
        Decision::Placed => "placed",
        Decision::Stopped => "stopped",
        Decision::Ended => "ended",
        Decision::StartRefused => "start_refused",
        Decision::Finished => "over",
        Decision::StopWithheld => "stop_withheld",
        Decision::StopAwaited => "stop_awaited",
        Decision::Blamed => "blamed",
    }
}

fn result_name(result: JobResult) -> &'static str {
    match result {
        JobResult::Done => "done",
        JobResult::Failed => "failed",
        JobResult::Cancelled => "cancelled",
    }
}
