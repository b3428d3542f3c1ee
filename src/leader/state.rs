//! State of a group's leader and dispatch of its inputs.

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::change_queue::ChangeQueue;
use super::shares::AssignedParts;
use super::{IndexEntry, Input, JobChange, JobChangeResult, LeaderConfig, Output};
use crate::job::JobRow;
use crate::membership::{Members, MembersInput, Outbox};
use crate::prelude::*;
use crate::scheduler::{self, JobView, Scheduler, WriteResult};
use crate::wire::{DataCentreState, GroupSummary, LeaderMessage};

/// Interval between two scans of the group's job index, which find jobs whose message was lost, in milliseconds.
const SCAN_INTERVAL_MS: u64 = 10_000;
/// Interval between two summaries to the entries, in milliseconds.
const SUMMARY_INTERVAL_MS: u64 = 1_000;

/// Leader of a capacity group in one epoch.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leader {
    pub(super) config: LeaderConfig,
    epoch: Epoch,
    pub(super) members: Members,
    pub(super) outbox: Outbox,
    pub(super) scheduler: Scheduler,
    pub(super) changes: ChangeQueue,
    pub(super) shares: AssignedParts,
    /// Whether the leader's lease is valid.
    trusted: bool,
    service: ReportedState,
    /// Last reported values of `permitted` and `leaving` in [`scheduler::Input::StartsPermitted`].
    #[serde(rename = "told_permitted")]
    reported_permission: Option<(bool, bool)>,
    pub(super) next_scan_ms: u64,
    next_summary_ms: u64,
}

/// Newest state of the data centre reported by an entry.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ReportedState {
    state: DataCentreState,
    version: u64,
}

impl Leader {
    /// Creates the leader of a new epoch. `is_first` means that the group never had a leader, so that no task can be
    /// running.
    pub fn new(config: LeaderConfig, epoch: Epoch, now_ms: u64, is_first: bool) -> Self {
        let members = Members::new(config.members_config, epoch, now_ms, is_first);
        let scheduler = Scheduler::new(config.policy);
        Self {
            config,
            epoch,
            members,
            outbox: Outbox::default(),
            scheduler,
            changes: ChangeQueue::default(),
            shares: AssignedParts::default(),
            trusted: true,
            service: ReportedState { state: DataCentreState::In, version: 0 },
            reported_permission: None,
            next_scan_ms: 0,
            next_summary_ms: 0,
        }
    }

    /// Handles one input and returns the resulting actions. `now_ms` is a time of this process's monotonic clock.
    pub fn handle<R>(&mut self, now_ms: u64, input: &Input, random: &mut R) -> Vec<Output>
    where
        R: Rng,
    {
        let mut out = Vec::new();
        match input {
            Input::Member { message } => {
                self.handle_member_message(now_ms, message, random, &mut out);
            }
            Input::Submit { job } => self.submit(job, &mut out),
            Input::Cancel { jobs } => {
                let jobs = jobs.clone();
                self.schedule(now_ms, &scheduler::Input::Cancel { jobs }, random);
            }
            Input::Rules { rules } => {
                let rules = rules.clone();
                self.schedule(now_ms, &scheduler::Input::Rules { rules }, random);
            }
            Input::DataCentreState { state, version } => {
                self.record_data_centre_state(now_ms, *state, *version);
            }
            Input::Permit { version, remaining_ms } => {
                self.record_permit(now_ms, *version, *remaining_ms);
            }
            Input::Trusted { trusted } => {
                self.trusted = *trusted;
                self.members.handle(now_ms, &MembersInput::Trusted { trusted: *trusted });
            }
            Input::Index { entries } => self.compare_index(now_ms, entries, random, &mut out),
            Input::Jobs { rows } => {
                rows.iter().for_each(|row| self.handle_job_row(now_ms, row, random, &mut out));
            }
            Input::Changed { job, result } => {
                self.record_change(now_ms, job, *result, random, &mut out);
            }
            Input::Tick => self.tick(now_ms, random, &mut out),
        }
        self.report_permission(now_ms, random);
        self.send_due(now_ms, &mut out);
        out.extend(self.changes.start_due(now_ms, self.trusted));
        out
    }

    /// Returns the leader's epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the scheduler, for summaries and dumps.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// Returns the group's members.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Records the state of the data centre unless it is outdated. A new version ends permits granted before it.
    fn record_data_centre_state(&mut self, now_ms: u64, state: DataCentreState, version: u64) {
        if version < self.service.version {
            return;
        }
        let has_changed = version > self.service.version;
        self.service = ReportedState { state, version };
        if has_changed || state == DataCentreState::Out {
            self.members.handle(now_ms, &MembersInput::Permit { remaining_ms: 0 });
        }
    }

    /// Records a permit. Several entries grant permits for the same version of the state; the longest one applies.
    fn record_permit(&mut self, now_ms: u64, version: u64, remaining_ms: u64) {
        if remaining_ms > 0 {
            self.record_data_centre_state(now_ms, DataCentreState::In, version);
        }
        let is_applicable =
            version >= self.service.version && self.service.state == DataCentreState::In;
        if is_applicable && remaining_ms > self.members.permit_left_ms(now_ms) {
            self.members.handle(now_ms, &MembersInput::Permit { remaining_ms });
        }
    }

    /// Reports to the scheduler when starts become permitted or forbidden, or the data centre goes out of service.
    fn report_permission<R>(&mut self, now_ms: u64, random: &mut R)
    where
        R: Rng,
    {
        let permitted = self.members.permits_starts(now_ms);
        let leaving = self.service.state == DataCentreState::Out;
        if self.reported_permission != Some((permitted, leaving)) {
            self.reported_permission = Some((permitted, leaving));
            let input = scheduler::Input::StartsPermitted { permitted, leaving };
            self.schedule(now_ms, &input, random);
        }
    }

    fn tick<R>(&mut self, now_ms: u64, random: &mut R, out: &mut Vec<Output>)
    where
        R: Rng,
    {
        let outputs = self.members.handle(now_ms, &MembersInput::Tick);
        self.apply_member_outputs(now_ms, outputs, random, out);
        self.schedule(now_ms, &scheduler::Input::Tick, random);
        if now_ms >= self.next_scan_ms && !self.members.is_recovering() {
            self.next_scan_ms = now_ms + SCAN_INTERVAL_MS;
            out.push(Output::Scan);
        }
        if now_ms >= self.next_summary_ms {
            self.next_summary_ms = now_ms + SUMMARY_INTERVAL_MS;
            out.push(Output::Summary { summary: self.summary() });
        }
    }

    /// Returns the summary of the group's capacity for the entries.
    pub fn summary(&self) -> GroupSummary {
        let capacity = self.scheduler.summary();
        GroupSummary {
            group: self.config.group.clone(),
            epoch: self.epoch,
            total_accelerators: capacity.total_accelerators,
            free_accelerators: capacity.free_accelerators,
            largest_worker_block: capacity.largest_worker_block,
            largest_rack_block: capacity.largest_rack_block,
            queued_jobs: capacity.queued_jobs,
        }
    }

    /// Sends the messages that are due. A leader whose lease may have lapsed sends no reservations and no starts.
    fn send_due(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        for (worker, mut message) in self.outbox.due(now_ms) {
            let needs_lease =
                matches!(message, LeaderMessage::Reserve { .. } | LeaderMessage::Start { .. });
            if needs_lease && !self.trusted {
                continue;
            }
            let Some(incarnation) = self.members.incarnation(&worker) else { continue };
            self.members.fill_start_permit(now_ms, &worker, &mut message);
            out.push(Output::Send { worker, incarnation, message });
        }
    }

    /// Requests the row of a submitted job, which may be newer than the entry's message; confirms a job that the
    /// scheduler already has.
    fn submit(&mut self, job: &JobId, out: &mut Vec<Output>) {
        match self.scheduler.job(job) {
            Some(_) => out.push(Output::Accepted { job: job.clone() }),
            None if self.members.is_recovering() => {}
            None => out.push(Output::ReadJobs { jobs: vec![job.clone()] }),
        }
    }

    /// Compares a scan of the group's index with the scheduler's jobs, to find jobs and cancellations whose message was
    /// lost.
    fn compare_index<R>(
        &mut self,
        now_ms: u64,
        entries: &[IndexEntry],
        random: &mut R,
        out: &mut Vec<Output>,
    ) where
        R: Rng,
    {
        let is_new = |job: &JobId| self.scheduler.job(job).is_none() && !self.changes.has_open(job);
        let (new, existing): (Vec<_>, Vec<_>) =
            entries.iter().partition(|entry| is_new(&entry.job));
        let cancelled = existing.into_iter().filter(|entry| entry.cancel_requested);
        let jobs: Vec<JobId> = cancelled.map(|entry| entry.job.clone()).collect();
        if !new.is_empty() {
            out.push(Output::ReadJobs { jobs: new.into_iter().map(|e| e.job.clone()).collect() });
        }
        if !jobs.is_empty() {
            self.schedule(now_ms, &scheduler::Input::Cancel { jobs }, random);
        }
    }

    /// Submits a job to the scheduler as its row states: queued, running, ended or cancelled.
    fn handle_job_row<R>(
        &mut self,
        now_ms: u64,
        row: &JobRow,
        random: &mut R,
        out: &mut Vec<Output>,
    ) where
        R: Rng,
    {
        let job = &row.spec.id;
        if self.members.is_recovering()
            || row.group != self.config.group
            || self.changes.has_open(job)
        {
            return;
        }
        out.push(Output::Accepted { job: job.clone() });
        if self.scheduler.job(job).is_none() {
            match (&row.state, row.spec.repeat) {
                (JobState::Ended { .. }, _) => return,
                (JobState::Queued, Repeat::Never) if row.attempts > 0 => {
                    return self.fail_job(job, "an attempt was durable before");
                }
                (JobState::Queued, _) => {}
                (JobState::Running { .. }, Repeat::Never) => {
                    return self.fail_job(job, "its tasks were lost with the group's leader");
                }
                // None of its tasks run: all members have reported their tasks, or their leases have lapsed.
                (JobState::Running { attempt }, Repeat::Allowed) => {
                    let (attempt, saved_ms) = (*attempt, row.saved_ms);
                    self.changes.add(job, JobChange::Queued { attempt, saved_ms });
                }
            }
            let (job, saved_ms, attempts) = (row.spec.clone(), row.saved_ms, row.attempts);
            let input = scheduler::Input::Submit { job, saved_ms, attempts };
            self.schedule(now_ms, &input, random);
        }
        if row.cancel_requested {
            let jobs = vec![job.clone()];
            self.schedule(now_ms, &scheduler::Input::Cancel { jobs }, random);
        }
    }

    /// Fails a job that may not be repeated and whose earlier attempt has an unknown outcome.
    fn fail_job(&mut self, job: &JobId, cause: &str) {
        let reason = format!("{cause}, and the job may not be repeated");
        self.changes.add(job, JobChange::Ended { end: JobEnd::Failed { reason } });
    }

    fn record_change<R>(
        &mut self,
        now_ms: u64,
        job: &JobId,
        result: JobChangeResult,
        random: &mut R,
        out: &mut Vec<Output>,
    ) where
        R: Rng,
    {
        let Some((change, result)) = self.changes.record_result(now_ms, job, result) else {
            return;
        };
        if result == JobChangeResult::Deposed {
            return out.push(Output::Deposed);
        }
        if let JobChange::Intent { attempt } = change {
            let gang = GangId { job: job.clone(), number: attempt };
            let result = match result {
                JobChangeResult::Durable => WriteResult::Durable,
                _ => WriteResult::Conflict,
            };
            self.schedule(now_ms, &scheduler::Input::IntentWritten { gang, result }, random);
        }
    }

    /// Returns whether a gang is active, or a change of its job's row is not durable yet.
    pub(super) fn is_open(&self, gang: &GangId) -> bool {
        let is_active = match self.scheduler.job(&gang.job) {
            Some(JobView::Active { gang: active, .. }) => &active == gang,
            _ => false,
        };
        is_active || self.changes.has_open(&gang.job)
    }
}
