//! The entry's directory of the capacity groups: their leaders, their free capacity, and the jobs sent to the leaders
//! and not yet confirmed.
//!
//! An entry can lose this state without harm: leaders repeat their summaries, and find jobs whose message was lost by
//! scanning the table. See docs/design.md, section 3.

mod message;
#[cfg(test)]
mod tests;

pub use message::{Input, Output};

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::bundle::{Bundle, Group};
use crate::guarantee;
use crate::prelude::*;
use crate::request::ConnectionId;
use crate::scheduler::Block;
use crate::wire::{DataCentreState, GroupSummary};

/// The age at which a leader's summary expires, in milliseconds. Leaders send one every second.
const SUMMARY_LIFETIME_MS: u64 = 5_000;
/// The interval at which a job is resent until its leader confirms it, in milliseconds.
const RESEND_MS: u64 = 1_000;
/// The time for which a job that was sent counts against its group in addition to the leader's summary, in
/// milliseconds: the interval of two summaries, after which the summary contains the job.
const RECENT_JOB_MS: u64 = 2_000;
/// The time after which a job is no longer resent, in milliseconds. The leader then finds it by scanning the table.
const RESEND_TIMEOUT_MS: u64 = 15_000;

/// The groups of the active bundle, with the last summary of each leader.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct GroupDirectory {
    groups: BTreeMap<GroupId, GroupEntry>,
    /// Kinds of work that may use cells guaranteed to other organisations.
    borrowing_kinds: BTreeSet<KindId>,
    #[serde(rename = "out")]
    data_centre_states: BTreeMap<DataCentreId, DataCentreState>,
    deliveries: BTreeMap<JobId, Delivery>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct GroupEntry {
    group: Group,
    /// Accelerators of one worker, the maximum for one task.
    worker_accelerators: u32,
    /// The blocks that admission assigned to the group for each organisation.
    guarantees: BTreeMap<OrganisationId, Vec<Block>>,
    #[serde(rename = "lead")]
    leader: Option<LeaderReport>,
    /// Jobs that this entry recently sent to the group, which the last summary may not contain yet.
    #[serde(rename = "promises")]
    recent_jobs: Vec<RecentJob>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct RecentJob {
    #[serde(rename = "made_at_ms")]
    sent_at_ms: u64,
    accelerators: u32,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct LeaderReport {
    connection: ConnectionId,
    summary: GroupSummary,
    #[serde(rename = "heard_at_ms")]
    received_at_ms: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Delivery {
    job: JobSpec,
    group: GroupId,
    first_sent_at_ms: u64,
    sent_at_ms: u64,
}

impl GroupDirectory {
    /// Handles an input that occurred at `now_ms` of the entry's clock, and returns the actions to perform.
    pub fn handle(&mut self, now_ms: u64, input: &Input) -> Vec<Output> {
        match input {
            Input::Bundle { bundle } => self.apply_bundle(bundle),
            Input::DataCentreState { data_centre, state } => {
                self.data_centre_states.insert(data_centre.clone(), *state);
                Vec::new()
            }
            Input::LeaderReport { connection, summary } => {
                self.record_leader(now_ms, *connection, summary)
            }
            Input::ConnectionLost { connection } => self.remove_connection(*connection),
            Input::Deliver { job, group } => self.deliver(now_ms, job, group),
            Input::JobAccepted { job } => {
                self.deliveries.remove(job);
                Vec::new()
            }
            Input::Cancel { jobs } => self.cancel(jobs),
            Input::Tick => self.resend(now_ms),
        }
    }

    /// Returns the group to which a job is to be sent, or the reason why no group can ever run it.
    ///
    /// Groups that guarantee the organisation a block for the job and have room are preferred most. For work that may
    /// borrow, groups with room come next, then groups that guarantee a block; for other work it is the reverse, since
    /// a group reclaims the blocks that it guarantees. Then come groups with a current summary of their leader, then
    /// all groups that could hold the job if they were empty. Among equally preferred groups, the less loaded of two
    /// random ones is returned, so that entries with the same summaries do not all choose the same group.
    ///
    /// # Errors
    ///
    /// Returns a message for the caller if no group of the active bundle could hold the job.
    pub fn choose<R>(&self, now_ms: u64, job: &JobSpec, random: &mut R) -> Result<GroupId, String>
    where
        R: Rng,
    {
        let fitting: Vec<&GroupEntry> =
            self.groups.values().filter(|entry| entry.can_hold(job)).collect();
        if fitting.is_empty() {
            return Err(format!(
                "no data centre has {} x {} accelerators with adjacency {}",
                job.tasks, job.task.accelerators, job.adjacency
            ));
        }
        let in_service: Vec<&GroupEntry> =
            fitting.iter().copied().filter(|entry| !self.is_out(entry)).collect();
        let candidates = if in_service.is_empty() { fitting } else { in_service };
        // Does not require a leader: a group may have none for a few seconds, but its guarantees remain.
        let guarantees: Preference = |entry, job, _| entry.guarantees(job);
        let has_room: Preference = GroupEntry::has_room;
        let guarantees_with_room: Preference =
            |entry, job, now_ms| entry.guarantees(job) && entry.has_room(job, now_ms);
        let has_current_summary: Preference = |entry, _, now_ms| entry.has_current_summary(now_ms);
        let preferences = if self.may_borrow(job) {
            [guarantees_with_room, has_room, guarantees, has_current_summary]
        } else {
            // Free cells of other groups may be guaranteed to other organisations; the job would wait or be refused
            // there.
            [guarantees_with_room, guarantees, has_room, has_current_summary]
        };
        for preferred in preferences {
            let chosen = candidates.iter().copied().filter(|entry| preferred(entry, job, now_ms));
            let chosen: Vec<&GroupEntry> = chosen.collect();
            if !chosen.is_empty() {
                return Ok(less_loaded_of_two(&chosen, now_ms, random).group.id.clone());
            }
        }
        Ok(less_loaded_of_two(&candidates, now_ms, random).group.id.clone())
    }

    /// Returns whether a job may use cells guaranteed to other organisations: its kind must allow it, and the job must
    /// be repeatable or resumable, since it is stopped when the cells are reclaimed.
    fn may_borrow(&self, job: &JobSpec) -> bool {
        let can_be_stopped = job.can_checkpoint || job.repeat == Repeat::Allowed;
        can_be_stopped && self.borrowing_kinds.contains(&job.kind)
    }

    /// Returns the summaries that have not expired, for the dump and the list of groups.
    pub fn summaries(&self, now_ms: u64) -> Vec<GroupSummary> {
        let with_leader = self.groups.values().filter(|entry| entry.has_current_summary(now_ms));
        with_leader
            .filter_map(|entry| entry.leader.as_ref().map(|leader| leader.summary.clone()))
            .collect()
    }

    /// Returns whether the active bundle has a group.
    pub fn contains(&self, group: &GroupId) -> bool {
        self.groups.contains_key(group)
    }

    fn is_out(&self, entry: &GroupEntry) -> bool {
        self.data_centre_states.get(&entry.group.data_centre) == Some(&DataCentreState::Out)
    }

    fn apply_bundle(&mut self, bundle: &Bundle) -> Vec<Output> {
        // A bundle is admitted before it becomes active, so this should not fail; if it does, no guarantees are
        // assumed.
        let admission = guarantee::admit(bundle).ok();
        let mut groups = BTreeMap::new();
        for group in bundle.groups() {
            let data_centre = bundle.data_centres.iter().find(|d| d.id == group.data_centre);
            let worker_accelerators = data_centre.map_or(0, |d| d.worker.accelerators);
            let leader = self.groups.remove(&group.id).and_then(|entry| entry.leader);
            let rules = admission.as_ref().and_then(|admission| admission.group_rules(&group.id));
            let guarantees = rules.into_iter().flat_map(|rules| rules.guarantees);
            let guarantees =
                guarantees.map(|guarantee| (guarantee.organisation, guarantee.blocks)).collect();
            let recent_jobs = Vec::new();
            let entry = GroupEntry { group, worker_accelerators, guarantees, leader, recent_jobs };
            groups.insert(entry.group.id.clone(), entry);
        }
        self.groups = groups;
        let borrowing = bundle.kinds.iter().filter(|rule| rule.may_borrow);
        self.borrowing_kinds = borrowing.map(|rule| rule.id.clone()).collect();
        Vec::new()
    }

    /// Records a leader's summary, unless one with a higher epoch was recorded: a former leader may still send
    /// summaries until it detects its loss of the lease. Resends the unconfirmed jobs of the group to a new leader.
    fn record_leader(
        &mut self,
        now_ms: u64,
        connection: ConnectionId,
        summary: &GroupSummary,
    ) -> Vec<Output> {
        let Some(entry) = self.groups.get_mut(&summary.group) else {
            return Vec::new();
        };
        let known_epoch = entry.leader.as_ref().map_or(Epoch(0), |leader| leader.summary.epoch);
        if summary.epoch < known_epoch {
            return Vec::new();
        }
        let is_new_leader =
            entry.leader.as_ref().is_none_or(|leader| leader.connection != connection);
        entry.leader =
            Some(LeaderReport { connection, summary: summary.clone(), received_at_ms: now_ms });
        if !is_new_leader {
            return Vec::new();
        }
        let unconfirmed =
            self.deliveries.values_mut().filter(|delivery| delivery.group == summary.group);
        unconfirmed.map(|delivery| delivery.send(now_ms, connection)).collect()
    }

    fn remove_connection(&mut self, connection: ConnectionId) -> Vec<Output> {
        for entry in self.groups.values_mut() {
            entry.leader.take_if(|leader| leader.connection == connection);
        }
        Vec::new()
    }

    fn deliver(&mut self, now_ms: u64, job: &JobSpec, group: &GroupId) -> Vec<Output> {
        let mut delivery = Delivery {
            job: job.clone(),
            group: group.clone(),
            first_sent_at_ms: now_ms,
            sent_at_ms: now_ms,
        };
        if let Some(entry) = self.groups.get_mut(group) {
            entry.recent_jobs.retain(|job| now_ms < job.sent_at_ms + RECENT_JOB_MS);
            let accelerators = job.accelerators();
            entry.recent_jobs.push(RecentJob { sent_at_ms: now_ms, accelerators });
        }
        let output = self.connection_of(group).map(|connection| delivery.send(now_ms, connection));
        self.deliveries.insert(job.id.clone(), delivery);
        output.into_iter().collect()
    }

    fn connection_of(&self, group: &GroupId) -> Option<ConnectionId> {
        self.groups.get(group)?.leader.as_ref().map(|leader| leader.connection)
    }

    /// Sends cancellations to every leader, because a job may have moved to another group since it was accepted.
    fn cancel(&mut self, jobs: &[JobId]) -> Vec<Output> {
        self.deliveries.retain(|job, _| !jobs.contains(job));
        let leaders = self.groups.values().filter_map(|entry| entry.leader.as_ref());
        leaders
            .map(|leader| Output::SendCancel { connection: leader.connection, jobs: jobs.to_vec() })
            .collect()
    }

    fn resend(&mut self, now_ms: u64) -> Vec<Output> {
        self.deliveries
            .retain(|_, delivery| now_ms < delivery.first_sent_at_ms + RESEND_TIMEOUT_MS);
        let mut outputs = Vec::new();
        for delivery in self.deliveries.values_mut() {
            let leader = self.groups.get(&delivery.group).and_then(|entry| entry.leader.as_ref());
            let Some(leader) = leader.filter(|_| now_ms >= delivery.sent_at_ms + RESEND_MS) else {
                continue;
            };
            outputs.push(delivery.send(now_ms, leader.connection));
        }
        outputs
    }
}

impl Delivery {
    fn send(&mut self, now_ms: u64, connection: ConnectionId) -> Output {
        self.sent_at_ms = now_ms;
        Output::SendJob { connection, job: Box::new(self.job.clone()) }
    }
}

impl GroupEntry {
    /// Returns whether the group could hold the job if it were empty.
    fn can_hold(&self, job: &JobSpec) -> bool {
        let per_worker = self.worker_accelerators;
        if job.task.accelerators > per_worker {
            return false;
        }
        match job.adjacency {
            Adjacency::Worker => job.accelerators() <= per_worker,
            Adjacency::Rack | Adjacency::DataCentre => {
                job.accelerators() <= per_worker * self.group.workers
            }
        }
    }

    /// Returns whether the job fits into a block that the group guarantees to its organisation.
    fn guarantees(&self, job: &JobSpec) -> bool {
        let blocks = self.guarantees.get(&job.organisation).map_or(&[][..], Vec::as_slice);
        blocks.iter().any(|block| {
            job.accelerators() <= block.accelerators && block.adjacency <= job.adjacency
        })
    }

    /// Returns whether the last summary of the group's leader has not expired.
    fn has_current_summary(&self, now_ms: u64) -> bool {
        self.leader
            .as_ref()
            .is_some_and(|leader| now_ms < leader.received_at_ms + SUMMARY_LIFETIME_MS)
    }

    /// Returns whether the group could start the job at once, according to a current summary and the jobs sent since.
    fn has_room(&self, job: &JobSpec, now_ms: u64) -> bool {
        let Some(leader) = self.leader.as_ref().filter(|_| self.has_current_summary(now_ms)) else {
            return false;
        };
        let summary = &leader.summary;
        let block = match job.adjacency {
            Adjacency::Worker => summary.largest_worker_block,
            Adjacency::Rack => summary.largest_rack_block,
            Adjacency::DataCentre => summary.free_accelerators,
        };
        let free = summary.free_accelerators.saturating_sub(self.recent_accelerators(now_ms));
        summary.queued_jobs == 0 && job.accelerators() <= block.min(free)
    }

    /// Returns the accelerators of the jobs recently sent to the group.
    fn recent_accelerators(&self, now_ms: u64) -> u32 {
        let recent = self.recent_jobs.iter().filter(|job| now_ms < job.sent_at_ms + RECENT_JOB_MS);
        recent.map(|job| job.accelerators).sum()
    }

    /// Returns the load by which groups are compared: first waiting jobs, then accelerators in use or recently
    /// assigned. A group without a leader has the highest load.
    fn load(&self, now_ms: u64) -> (u32, u32) {
        self.leader.as_ref().map_or((u32::MAX, u32::MAX), |leader| {
            let summary = &leader.summary;
            let used = summary.total_accelerators.saturating_sub(summary.free_accelerators);
            (summary.queued_jobs, used + self.recent_accelerators(now_ms))
        })
    }
}

/// A predicate whether a group is preferred for a job at a time in milliseconds.
type Preference = fn(&GroupEntry, &JobSpec, u64) -> bool;

fn less_loaded_of_two<'a, R>(
    candidates: &[&'a GroupEntry],
    now_ms: u64,
    random: &mut R,
) -> &'a GroupEntry
where
    R: Rng,
{
    let first = candidates[random.random_range(0..candidates.len())];
    let second = candidates[random.random_range(0..candidates.len())];
    if second.load(now_ms) < first.load(now_ms) { second } else { first }
}
