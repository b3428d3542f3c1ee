//! The entry's view of the capacity groups: their leaders, their free capacity, and the jobs on their way to them.
//!
//! An entry keeps nothing that it cannot learn again: leaders repeat their summaries, and find jobs whose message was
//! lost by scanning the table. See docs/design.md, section 3.

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

/// A summary that is older does not count any more. Leaders send one every second.
const SUMMARY_LIFETIME_MS: u64 = 5_000;
/// The interval at which a job is sent again until its leader confirms it.
const RESEND_MS: u64 = 1_000;
/// The time for which a job counts against its group on top of the leader's summary: two summaries.
const PROMISE_MS: u64 = 2_000;
/// The time after which a job is left to the leader's scan of the table.
const GIVE_UP_MS: u64 = 15_000;

/// The groups of the bundle in force, with what their leaders last reported.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct GroupDirectory {
    groups: BTreeMap<GroupId, GroupEntry>,
    /// Kinds of work that may use cells guaranteed to others.
    borrowing_kinds: BTreeSet<KindId>,
    out: BTreeMap<DataCentreId, DataCentreState>,
    deliveries: BTreeMap<JobId, Delivery>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct GroupEntry {
    group: Group,
    /// Accelerators of one worker, which no task may exceed.
    worker_accelerators: u32,
    /// The blocks that admission assigned to the group for each organisation.
    guarantees: BTreeMap<OrganisationId, Vec<Block>>,
    lead: Option<Lead>,
    /// Jobs that this entry sent here lately, which the last summary may not count yet.
    promises: Vec<Promise>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Promise {
    made_at_ms: u64,
    accelerators: u32,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Lead {
    connection: ConnectionId,
    summary: GroupSummary,
    heard_at_ms: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Delivery {
    job: JobSpec,
    group: GroupId,
    first_sent_at_ms: u64,
    sent_at_ms: u64,
}

impl GroupDirectory {
    /// Applies an input and returns what must be done.
    pub fn handle(&mut self, now_ms: u64, input: &Input) -> Vec<Output> {
        match input {
            Input::Bundle { bundle } => self.apply_bundle(bundle),
            Input::Service { data_centre, state } => {
                self.out.insert(data_centre.clone(), *state);
                Vec::new()
            }
            Input::Lead { connection, summary } => self.record_leader(now_ms, *connection, summary),
            Input::ConnectionLost { connection } => self.forget_connection(*connection),
            Input::Deliver { job, group } => self.deliver(now_ms, job, group),
            Input::JobAccepted { job } => {
                self.deliveries.remove(job);
                Vec::new()
            }
            Input::Cancel { jobs } => self.cancel(jobs),
            Input::Tick => self.resend(now_ms),
        }
    }

    /// Returns the group that should get a job, or why no group can ever run it.
    ///
    /// Groups that guarantee the organisation a block for the job and have room come first. Then come groups with room
    /// for work that may borrow, or those that guarantee a block, which they reclaim; at last all that could hold the
    /// job when empty. Among equals the better of two random groups is taken, so that entries with the same view do not
    /// all choose the same one.
    ///
    /// # Errors
    ///
    /// A sentence for the caller if the job fits no group of the bundle in force.
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
        // A group may have no leader for a few seconds, but its guarantees stay there.
        let holds: Preference = |entry, job, _| entry.guarantees(job);
        let has_room: Preference = GroupEntry::has_room;
        let both: Preference =
            |entry, job, now_ms| entry.guarantees(job) && entry.has_room(job, now_ms);
        let is_led: Preference = |entry, _, now_ms| entry.is_led(now_ms);
        let preferences = if self.may_borrow(job) {
            [both, has_room, holds, is_led]
        } else {
            // Free cells elsewhere may be guaranteed to others, where the job would wait or be refused.
            [both, holds, has_room, is_led]
        };
        for preferred in preferences {
            let chosen = candidates.iter().copied().filter(|entry| preferred(entry, job, now_ms));
            let chosen: Vec<&GroupEntry> = chosen.collect();
            if !chosen.is_empty() {
                return Ok(better_of_two(&chosen, now_ms, random).group.id.clone());
            }
        }
        Ok(better_of_two(&candidates, now_ms, random).group.id.clone())
    }

    /// Work that can neither be repeated nor resumed never borrows, whatever its kind.
    fn may_borrow(&self, job: &JobSpec) -> bool {
        let can_be_stopped = job.can_checkpoint || job.repeat == Repeat::Allowed;
        can_be_stopped && self.borrowing_kinds.contains(&job.kind)
    }

    /// Returns the summaries that still count, for the dump and the list of groups.
    pub fn summaries(&self, now_ms: u64) -> Vec<GroupSummary> {
        let led = self.groups.values().filter(|entry| entry.is_led(now_ms));
        led.filter_map(|entry| entry.lead.as_ref().map(|lead| lead.summary.clone())).collect()
    }

    /// Returns whether the bundle in force has a group.
    pub fn knows(&self, group: &GroupId) -> bool {
        self.groups.contains_key(group)
    }

    fn is_out(&self, entry: &GroupEntry) -> bool {
        self.out.get(&entry.group.data_centre) == Some(&DataCentreState::Out)
    }

    fn apply_bundle(&mut self, bundle: &Bundle) -> Vec<Output> {
        // Bundles are admitted before they are in force; without proof no group counts as guaranteed.
        let admission = guarantee::admit(bundle).ok();
        let mut groups = BTreeMap::new();
        for group in bundle.groups() {
            let data_centre = bundle.data_centres.iter().find(|d| d.id == group.data_centre);
            let worker_accelerators = data_centre.map_or(0, |d| d.worker.accelerators);
            let lead = self.groups.remove(&group.id).and_then(|entry| entry.lead);
            let rules = admission.as_ref().and_then(|admission| admission.group_rules(&group.id));
            let guarantees = rules.into_iter().flat_map(|rules| rules.guarantees);
            let guarantees = guarantees.map(|held| (held.organisation, held.blocks)).collect();
            let promises = Vec::new();
            let entry = GroupEntry { group, worker_accelerators, guarantees, lead, promises };
            groups.insert(entry.group.id.clone(), entry);
        }
        self.groups = groups;
        let borrowing = bundle.kinds.iter().filter(|rule| rule.may_borrow);
        self.borrowing_kinds = borrowing.map(|rule| rule.id.clone()).collect();
        Vec::new()
    }

    /// Takes the summary of the leader with the highest epoch; an earlier leader may not know yet that it lost.
    fn record_leader(
        &mut self,
        now_ms: u64,
        connection: ConnectionId,
        summary: &GroupSummary,
    ) -> Vec<Output> {
        let Some(entry) = self.groups.get_mut(&summary.group) else {
            return Vec::new();
        };
        let known_epoch = entry.lead.as_ref().map_or(Epoch(0), |lead| lead.summary.epoch);
        if summary.epoch < known_epoch {
            return Vec::new();
        }
        let is_new = entry.lead.as_ref().is_none_or(|lead| lead.connection != connection);
        entry.lead = Some(Lead { connection, summary: summary.clone(), heard_at_ms: now_ms });
        if !is_new {
            return Vec::new();
        }
        let waiting =
            self.deliveries.values_mut().filter(|delivery| delivery.group == summary.group);
        waiting.map(|delivery| delivery.send(now_ms, connection)).collect()
    }

    fn forget_connection(&mut self, connection: ConnectionId) -> Vec<Output> {
        for entry in self.groups.values_mut() {
            entry.lead.take_if(|lead| lead.connection == connection);
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
            entry.promises.retain(|promise| now_ms < promise.made_at_ms + PROMISE_MS);
            let accelerators = job.accelerators();
            entry.promises.push(Promise { made_at_ms: now_ms, accelerators });
        }
        let output = self.connection_of(group).map(|connection| delivery.send(now_ms, connection));
        self.deliveries.insert(job.id.clone(), delivery);
        output.into_iter().collect()
    }

    fn connection_of(&self, group: &GroupId) -> Option<ConnectionId> {
        self.groups.get(group)?.lead.as_ref().map(|lead| lead.connection)
    }

    /// Passes cancellations on to every leader, because a job may have moved to another group since it was accepted.
    fn cancel(&mut self, jobs: &[JobId]) -> Vec<Output> {
        self.deliveries.retain(|job, _| !jobs.contains(job));
        let leads = self.groups.values().filter_map(|entry| entry.lead.as_ref());
        leads
            .map(|lead| Output::SendCancel { connection: lead.connection, jobs: jobs.to_vec() })
            .collect()
    }

    fn resend(&mut self, now_ms: u64) -> Vec<Output> {
        self.deliveries.retain(|_, delivery| now_ms < delivery.first_sent_at_ms + GIVE_UP_MS);
        let mut outputs = Vec::new();
        for delivery in self.deliveries.values_mut() {
            let lead = self.groups.get(&delivery.group).and_then(|entry| entry.lead.as_ref());
            let Some(lead) = lead.filter(|_| now_ms >= delivery.sent_at_ms + RESEND_MS) else {
                continue;
            };
            outputs.push(delivery.send(now_ms, lead.connection));
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

    /// Returns whether the job fits a block that is guaranteed to its organisation in this group.
    fn guarantees(&self, job: &JobSpec) -> bool {
        let blocks = self.guarantees.get(&job.organisation).map_or(&[][..], Vec::as_slice);
        blocks.iter().any(|block| {
            job.accelerators() <= block.accelerators && block.adjacency <= job.adjacency
        })
    }

    fn is_led(&self, now_ms: u64) -> bool {
        self.lead.as_ref().is_some_and(|lead| now_ms < lead.heard_at_ms + SUMMARY_LIFETIME_MS)
    }

    fn has_room(&self, job: &JobSpec, now_ms: u64) -> bool {
        let Some(lead) = self.lead.as_ref().filter(|_| self.is_led(now_ms)) else {
            return false;
        };
        let summary = &lead.summary;
        let block = match job.adjacency {
            Adjacency::Worker => summary.largest_worker_block,
            Adjacency::Rack => summary.largest_rack_block,
            Adjacency::DataCentre => summary.free_accelerators,
        };
        let free = summary.free_accelerators.saturating_sub(self.promised(now_ms));
        summary.queued_jobs == 0 && job.accelerators() <= block.min(free)
    }

    fn promised(&self, now_ms: u64) -> u32 {
        let recent =
            self.promises.iter().filter(|promise| now_ms < promise.made_at_ms + PROMISE_MS);
        recent.map(|promise| promise.accelerators).sum()
    }

    /// Orders groups by load: jobs that wait first, then accelerators in use or promised.
    fn load(&self, now_ms: u64) -> (u32, u32) {
        self.lead.as_ref().map_or((u32::MAX, u32::MAX), |lead| {
            let summary = &lead.summary;
            let used = summary.total_accelerators.saturating_sub(summary.free_accelerators);
            (summary.queued_jobs, used + self.promised(now_ms))
        })
    }
}

/// Whether a group is preferred for a job at a time.
type Preference = fn(&GroupEntry, &JobSpec, u64) -> bool;

fn better_of_two<'a, R>(
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
