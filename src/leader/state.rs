//! The state of a group's leader and the dispatch of its inputs.

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::changes::Changes;
use super::shares::AssignedParts;
use super::{IndexEntry, Input, JobChange, JobChangeResult, LeaderConfig, Output};
use crate::job::JobRow;
use crate::membership::{Members, MembersInput, Outbox};
use crate::prelude::*;
use crate::scheduler::{self, JobView, Scheduler, WriteResult};
use crate::wire::{DataCentreState, GroupSummary, LeaderMessage};

/// The time between two scans of the group's jobs, which find those whose message was lost.
const SCAN_MS: u64 = 10_000;
/// The time between two summaries for the entries.
const SUMMARY_MS: u64 = 1_000;

/// The leader of a capacity group in one epoch.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leader {
    pub(super) config: LeaderConfig,
    epoch: Epoch,
    pub(super) members: Members,
    pub(super) outbox: Outbox,
    pub(super) scheduler: Scheduler,
    pub(super) changes: Changes,
    pub(super) shares: AssignedParts,
    trusted: bool,
    service: Service,
    told_permitted: Option<(bool, bool)>,
    pub(super) next_scan_ms: u64,
    next_summary_ms: u64,
}

/// The state of the data centre as the entries told it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Service {
    state: DataCentreState,
    version: u64,
}

impl Leader {
    /// Begins an epoch. `first` says that the group never had a leader, so that nothing can run.
    pub fn new(config: LeaderConfig, epoch: Epoch, now_ms: u64, first: bool) -> Self {
        let members = Members::new(config.members, epoch, now_ms, first);
        let scheduler = Scheduler::new(config.policy);
        Self {
            config,
            epoch,
            members,
            outbox: Outbox::default(),
            scheduler,
            changes: Changes::default(),
            shares: AssignedParts::default(),
            trusted: true,
            service: Service { state: DataCentreState::In, version: 0 },
            told_permitted: None,
            next_scan_ms: 0,
            next_summary_ms: 0,
        }
    }

    /// Handles one input at a time of the process's own monotonic clock.
    pub fn handle<R>(&mut self, now_ms: u64, input: &Input, random: &mut R) -> Vec<Output>
    where
        R: Rng,
    {
        let mut out = Vec::new();
        match input {
            Input::Member { message } => self.hear(now_ms, message, random, &mut out),
            Input::Submit { job } => self.submit(job, &mut out),
            Input::Cancel { jobs } => {
                let jobs = jobs.clone();
                self.schedule(now_ms, &scheduler::Input::Cancel { jobs }, random);
            }
            Input::Rules { rules } => {
                let rules = rules.clone();
                self.schedule(now_ms, &scheduler::Input::Rules { rules }, random);
            }
            Input::Service { state, version } => self.serve(now_ms, *state, *version),
            Input::Permit { version, remaining_ms } => {
                self.permit(now_ms, *version, *remaining_ms);
            }
            Input::Trusted { trusted } => {
                self.trusted = *trusted;
                self.members.handle(now_ms, &MembersInput::Trusted { trusted: *trusted });
            }
            Input::Index { entries } => self.compare_index(now_ms, entries, random, &mut out),
            Input::Jobs { rows } => {
                rows.iter().for_each(|row| self.take_row(now_ms, row, random, &mut out));
            }
            Input::Changed { job, result } => {
                self.record_change(now_ms, job, *result, random, &mut out);
            }
            Input::Tick => self.tick(now_ms, random, &mut out),
        }
        self.tell_permitted(now_ms, random);
        self.send_due(now_ms, &mut out);
        out.extend(self.changes.due(now_ms, self.trusted));
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

    /// Returns the members.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Notes the state of the data centre. A change ends permits that were granted before it.
    fn serve(&mut self, now_ms: u64, state: DataCentreState, version: u64) {
        if version < self.service.version {
            return;
        }
        let has_changed = version > self.service.version;
        self.service = Service { state, version };
        if has_changed || state == DataCentreState::Out {
            self.members.handle(now_ms, &MembersInput::Permit { remaining_ms: 0 });
        }
    }

    /// Notes a permit. Several entries grant permits of one state; the longest counts.
    fn permit(&mut self, now_ms: u64, version: u64, remaining_ms: u64) {
        if remaining_ms > 0 {
            self.serve(now_ms, DataCentreState::In, version);
        }
        let counts = version >= self.service.version && self.service.state == DataCentreState::In;
        if counts && remaining_ms > self.members.permit_left_ms(now_ms) {
            self.members.handle(now_ms, &MembersInput::Permit { remaining_ms });
        }
    }

    /// Tells the scheduler when starts become permitted or forbidden.
    fn tell_permitted<R>(&mut self, now_ms: u64, random: &mut R)
    where
        R: Rng,
    {
        let permitted = self.members.permits_starts(now_ms);
        let leaving = self.service.state == DataCentreState::Out;
        if self.told_permitted != Some((permitted, leaving)) {
            self.told_permitted = Some((permitted, leaving));
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
            self.next_scan_ms = now_ms + SCAN_MS;
            out.push(Output::Scan);
        }
        if now_ms >= self.next_summary_ms {
            self.next_summary_ms = now_ms + SUMMARY_MS;
            out.push(Output::Summary { summary: self.summary() });
        }
    }

    /// Returns what the entries are told.
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

    /// Sends the messages that are due. A leader whose own lease may have lapsed starts nothing.
    fn send_due(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        for (worker, mut message) in self.outbox.due(now_ms) {
            let starts =
                matches!(message, LeaderMessage::Reserve { .. } | LeaderMessage::Start { .. });
            if starts && !self.trusted {
                continue;
            }
            let Some(incarnation) = self.members.incarnation(&worker) else { continue };
            self.members.fill_start_permit(now_ms, &worker, &mut message);
            out.push(Output::Send { worker, incarnation, message });
        }
    }

    /// Takes a job in by its row, because the row may say more than the entry knows.
    fn submit(&mut self, job: &JobId, out: &mut Vec<Output>) {
        match self.scheduler.job(job) {
            Some(_) => out.push(Output::Accepted { job: job.clone() }),
            None if self.members.is_recovering() => {}
            None => out.push(Output::ReadJobs { jobs: vec![job.clone()] }),
        }
    }

    /// Finds jobs whose message was lost in a scan of the group's index.
    fn compare_index<R>(
        &mut self,
        now_ms: u64,
        entries: &[IndexEntry],
        random: &mut R,
        out: &mut Vec<Output>,
    ) where
        R: Rng,
    {
        let is_new = |job: &JobId| self.scheduler.job(job).is_none() && !self.changes.has(job);
        let (new, known): (Vec<_>, Vec<_>) = entries.iter().partition(|entry| is_new(&entry.job));
        let cancelled = known.into_iter().filter(|entry| entry.cancel_requested);
        let jobs: Vec<JobId> = cancelled.map(|entry| entry.job.clone()).collect();
        if !new.is_empty() {
            out.push(Output::ReadJobs { jobs: new.into_iter().map(|e| e.job.clone()).collect() });
        }
        if !jobs.is_empty() {
            self.schedule(now_ms, &scheduler::Input::Cancel { jobs }, random);
        }
    }

    /// Takes a job in by its row.
    fn take_row<R>(&mut self, now_ms: u64, row: &JobRow, random: &mut R, out: &mut Vec<Output>)
    where
        R: Rng,
    {
        let job = &row.spec.id;
        if self.members.is_recovering() || row.group != self.config.group || self.changes.has(job) {
            return;
        }
        out.push(Output::Accepted { job: job.clone() });
        if self.scheduler.job(job).is_none() {
            match (&row.state, row.spec.repeat) {
                (JobState::Ended { .. }, _) => return,
                (JobState::Queued, Repeat::Never) if row.attempts > 0 => {
                    return self.give_up(job, "an attempt was durable before");
                }
                (JobState::Queued, _) => {}
                (JobState::Running { .. }, Repeat::Never) => {
                    return self.give_up(job, "its tasks were lost with the group's leader");
                }
                // Nothing of it runs: all members answered, or their leases lapsed.
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

    /// Ends a job that may not be repeated and whose attempt cannot be accounted for.
    fn give_up(&mut self, job: &JobId, cause: &str) {
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
        let Some((change, result)) = self.changes.note(now_ms, job, result) else { return };
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

    /// Returns whether a gang is under way, or its end is not durable yet.
    pub(super) fn is_open(&self, gang: &GangId) -> bool {
        let is_active = match self.scheduler.job(&gang.job) {
            Some(JobView::Active { gang: active, .. }) => &active == gang,
            _ => false,
        };
        is_active || self.changes.has(&gang.job)
    }
}
