//! Admission of jobs to the queue, and the order in which waiting jobs are tried.

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::jobs::{Rights, WaitReason};
use super::message::Output;
use super::queue::{CLASSES, Waiting};
use super::search::Scope;
use super::state::Scheduler;
use crate::placement::{Demand, JobKey, Policy};
use crate::prelude::*;

/// Maximum number of searches of the whole group in one pass over the queue; the next pass continues after them.
const MAX_GROUP_SEARCHES: u32 = 32;
/// Maximum number of searches in one pass over the racks in which cells became free; each search is short.
const MAX_RACK_SEARCHES: u32 = 32;
/// Time between two searches of the whole group while nothing changes, in milliseconds.
///
/// Workers that are avoided for a limited time become usable again without an input.
const SEARCH_INTERVAL_MS: u64 = 1_000;

/// State that one pass over the queue keeps between jobs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pass {
    /// Racks to search; all racks if absent.
    pub racks: Option<Vec<u32>>,
    /// Demands that could not be placed in these racks.
    pub unplaceable: Vec<DemandKey>,
    /// Cells of idle guaranteed blocks that may be moved, by worker; empty if not computed yet.
    pub idle_masks: Vec<u64>,
    /// Number of searches that remain in the pass.
    pub remaining_searches: u32,
}

/// Demand of a job and the rights under which it was searched for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct DemandKey {
    pub rights: Rights,
    pub demand: Demand,
}

/// Position of a pass in the waiting jobs of one organisation and class.
struct QueueCursor {
    organisation: u32,
    class: Class,
    /// Key of the first job that was not tried yet.
    from: JobKey,
    /// Whether no job remains to be tried.
    exhausted: bool,
}

impl Scheduler {
    /// Returns the reason for refusing a submitted job, or `None` if it is accepted.
    ///
    /// A job is refused if it can never run in this group or if the queue of its class is full.
    pub(crate) fn refusal(&mut self, spec: &JobSpec) -> Option<String> {
        let max_tasks = crate::job::MAX_GANG_TASKS;
        if spec.tasks == 0 || spec.tasks > max_tasks {
            return Some(format!("a gang has 1 to {max_tasks} tasks, not {}", spec.tasks));
        }
        let rules = self.rules.as_ref()?;
        let Some(rule) = rules.kinds.iter().find(|rule| rule.id == spec.kind) else {
            let kind = spec.kind.as_str();
            return Some(format!("bundle version {} has no rule for kind {kind:?}", rules.version));
        };
        let class = rule.class;
        if let Some(reason) = self.infeasible_reason(spec) {
            return Some(reason);
        }
        let (limit, waiting) = (self.queue_limit(class)?, self.queue.class_len(class));
        (waiting >= limit as usize)
            .then(|| format!("{waiting} {} jobs wait, and the limit is {limit}", class))
    }

    fn queue_limit(&self, class: Class) -> Option<u32> {
        let limits = self.limits()?;
        Some(match class {
            Class::Urgent => limits.queue_limit_urgent,
            Class::Normal => limits.queue_limit_normal,
            Class::Batch => limits.queue_limit_batch,
        })
    }

    /// Tries a job that has just arrived.
    ///
    /// Jobs before it in the queue were tried when cells last became free, so it does not overtake a job that could
    /// start.
    pub(crate) fn try_new<R>(
        &mut self,
        now_ms: u64,
        key: JobKey,
        random: &mut R,
        out: &mut Vec<Output>,
    ) where
        R: Rng,
    {
        if self.policy == Policy::FirstComeFirstFit && self.queue.len() > 1 {
            return;
        }
        if self.blocked(now_ms, key).is_none() {
            self.pass = Pass::default();
            self.try_job(now_ms, key, Scope::All, random, out);
        }
    }

    /// Tries the waiting jobs if cells became free.
    ///
    /// Racks in which cells became free are searched at once, the whole group with the next tick.
    pub(crate) fn serve_queue<R>(&mut self, now_ms: u64, random: &mut R, out: &mut Vec<Output>)
    where
        R: Rng,
    {
        let search_group = self.dirty || self.unfinished;
        if !self.permitted || (!search_group && self.touched.is_empty()) {
            return;
        }
        let touched: Vec<u32> = std::mem::take(&mut self.touched).into_iter().collect();
        if self.dirty {
            self.unplaceable.clear();
            self.changed = false;
            self.next_search_ms = now_ms + SEARCH_INTERVAL_MS;
        }
        self.dirty = false;
        self.unfinished = false;
        if self.policy != Policy::Product {
            self.pass = Pass::default();
            self.serve_by_age(now_ms, random, out);
            return;
        }
        self.pass = match search_group {
            true => Pass { remaining_searches: MAX_GROUP_SEARCHES, ..Pass::default() },
            false => Pass {
                racks: Some(touched),
                remaining_searches: MAX_RACK_SEARCHES,
                ..Pass::default()
            },
        };
        self.serve_reserved(now_ms, random, out);
        if self.ramp_limit(now_ms).is_some() {
            self.serve_by_class(now_ms, Scope::Guaranteed, random, out);
        }
        self.serve_by_class(now_ms, Scope::All, random, out);
        self.pass = Pass::default();
    }

    /// Tries the job that holds the reservation before other jobs can occupy its cells.
    fn serve_reserved<R>(&mut self, now_ms: u64, random: &mut R, out: &mut Vec<Output>)
    where
        R: Rng,
    {
        let Some(key) = self.reservation.as_ref().map(|reservation| reservation.job) else {
            return;
        };
        let waits = self.jobs.get(&key).is_some_and(|job| job.gang.is_none());
        if waits && self.blocked(now_ms, key).is_none() {
            self.try_job(now_ms, key, Scope::All, random, out);
        }
    }

    fn serve_by_age<R>(&mut self, now_ms: u64, random: &mut R, out: &mut Vec<Output>)
    where
        R: Rng,
    {
        let mut keys: Vec<JobKey> = self.queue.iter().map(|(key, _)| key).collect();
        keys.sort_unstable();
        for key in keys {
            let placed = self.blocked(now_ms, key).is_none()
                && self.try_job(now_ms, key, Scope::All, random, out);
            if !placed && self.policy == Policy::FirstComeFirstFit {
                break;
            }
        }
    }

    fn serve_by_class<R>(
        &mut self,
        now_ms: u64,
        scope: Scope,
        random: &mut R,
        out: &mut Vec<Output>,
    ) where
        R: Rng,
    {
        for class in CLASSES {
            let cursor = |organisation: &u32| QueueCursor {
                organisation: *organisation,
                class,
                from: 0,
                exhausted: false,
            };
            let mut cursors: Vec<QueueCursor> =
                self.queue.by_organisation(class).keys().map(cursor).collect();
            while let Some(next) = self.lowest_relative_use(&cursors) {
                let placed = self.try_next(now_ms, &mut cursors[next], scope, random, out);
                if !placed && self.pass.remaining_searches == 0 {
                    self.unfinished = self.pass.racks.is_none();
                    return;
                }
            }
        }
    }

    /// Returns the index of the cursor whose organisation uses the least in relation to its guarantee.
    fn lowest_relative_use(&self, cursors: &[QueueCursor]) -> Option<usize> {
        let open = (0..cursors.len()).filter(|index| !cursors[*index].exhausted);
        open.min_by_key(|index| {
            (self.relative_use(cursors[*index].organisation), cursors[*index].from)
        })
    }

    /// Returns the ratio of used to guaranteed accelerators of an organisation, in thousandths.
    fn relative_use(&self, organisation: u32) -> u64 {
        let organisation = &self.organisations[organisation as usize];
        u64::from(organisation.used) * 1_000 / u64::from(organisation.guaranteed.max(1))
    }

    /// Tries the jobs from a cursor until one is placed, and returns whether one was.
    fn try_next<R>(
        &mut self,
        now_ms: u64,
        cursor: &mut QueueCursor,
        scope: Scope,
        random: &mut R,
        out: &mut Vec<Output>,
    ) -> bool
    where
        R: Rng,
    {
        while let Some(key) = self.next_candidate(now_ms, cursor) {
            if self.pass.remaining_searches == 0 {
                return false;
            }
            self.pass.remaining_searches -= 1;
            cursor.from = key + 1;
            if self.try_job(now_ms, key, scope, random, out) {
                return true;
            }
        }
        cursor.exhausted = true;
        false
    }

    /// Returns the next job from a cursor that may start and was not found unplaceable.
    fn next_candidate(&self, now_ms: u64, cursor: &QueueCursor) -> Option<JobKey> {
        let jobs = self.queue.by_organisation(cursor.class).get(&cursor.organisation)?;
        // Other jobs may be unplaceable because of the reservation, which does not restrict the job that holds it.
        let has_reservation =
            |key: JobKey| self.reservation.as_ref().is_some_and(|held| held.job == key);
        let may_start = |key: JobKey, waiting: &Waiting| {
            (has_reservation(key) || !self.was_unplaceable_in_pass(waiting))
                && self.blocking_reason(now_ms, waiting).is_none()
        };
        jobs.range(cursor.from..).find(|(key, waiting)| may_start(**key, waiting)).map(|(k, _)| *k)
    }

    /// Returns whether a demand that is no larger and has the same rights could not be placed in the searched racks.
    fn was_unplaceable_in_pass(&self, waiting: &Waiting) -> bool {
        match self.pass.racks {
            Some(_) => covers(&self.pass.unplaceable, waiting),
            None => self.is_unplaceable(waiting),
        }
    }

    /// Starts an attempt of a waiting job if cells for all its tasks are free or can be reclaimed.
    fn try_job<R>(
        &mut self,
        now_ms: u64,
        key: JobKey,
        scope: Scope,
        random: &mut R,
        out: &mut Vec<Output>,
    ) -> bool
    where
        R: Rng,
    {
        let job = &self.jobs[&key];
        let demand_key = DemandKey { rights: job.rights, demand: job.demand };
        let is_general =
            scope == Scope::All && self.reservation.as_ref().is_none_or(|r| r.job != key);
        let placed = self.place(now_ms, key, scope, random, out);
        if !placed && is_general {
            match self.pass.racks {
                Some(_) => self.pass.unplaceable.push(demand_key),
                None => self.unplaceable.push(demand_key),
            }
        }
        placed
    }

    /// Returns whether a demand that is no larger and has the same rights could not be placed in the group.
    pub(crate) fn is_unplaceable(&self, waiting: &Waiting) -> bool {
        covers(&self.unplaceable, waiting)
    }

    /// Returns the reason why a job may not start now even if cells are free, or `None`.
    pub(crate) fn blocked(&self, now_ms: u64, key: JobKey) -> Option<WaitReason> {
        let job = &self.jobs[&key];
        if !self.permitted || self.rules.is_none() {
            return Some(WaitReason::Permit);
        }
        let queues = self.queue.by_organisation(job.rights.class);
        let waiting = queues.get(&job.rights.organisation)?.get(&key)?;
        self.blocking_reason(now_ms, waiting)
    }

    fn blocking_reason(&self, now_ms: u64, waiting: &Waiting) -> Option<WaitReason> {
        let organisation = &self.organisations[waiting.rights.organisation as usize];
        let accelerators = waiting.demand.accelerators();
        let ramp =
            |limit| waiting.rights.class != Class::Urgent && self.used() + accelerators > limit;
        if waiting.retry_at_ms > now_ms {
            Some(WaitReason::Retry)
        } else if waiting.after_takeover && !self.is_settled(now_ms) {
            Some(WaitReason::Takeover)
        } else if organisation.quota.is_some_and(|quota| organisation.used + accelerators > quota) {
            Some(WaitReason::Quota)
        } else if self.ramp_limit(now_ms).is_some_and(ramp) {
            Some(WaitReason::Ramp)
        } else {
            None
        }
    }

    fn used(&self) -> u32 {
        self.organisations.iter().map(|organisation| organisation.used).sum()
    }

    /// Returns the number of accelerators that may be used while a data centre that came back is refilled.
    ///
    /// The limit rises linearly from 0 to all accelerators during `return_ramp_ms`; `None` after that.
    fn ramp_limit(&self, now_ms: u64) -> Option<u32> {
        let ramp_ms = self.limits()?.return_ramp_ms;
        let passed_ms = now_ms.saturating_sub(self.returned_ms?);
        if passed_ms >= ramp_ms {
            return None;
        }
        let total: u64 =
            self.pool.workers.iter().map(|w| u64::from(w.all_accelerators().count_ones())).sum();
        Some((total * passed_ms / ramp_ms) as u32)
    }
}

fn covers(unplaceable: &[DemandKey], waiting: &Waiting) -> bool {
    let covers = |failed: &DemandKey| {
        failed.rights == waiting.rights && waiting.demand.needs_at_least(&failed.demand)
    };
    unplaceable.iter().any(covers)
}
