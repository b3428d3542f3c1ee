//! The order in which waiting jobs are tried.

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::jobs::{Rights, WaitReason};
use super::message::Output;
use super::queue::{CLASSES, Waiting};
use super::search::Scope;
use super::state::Scheduler;
use crate::placement::{Demand, JobKey, Policy};
use crate::prelude::*;

/// The most searches of the whole group in one pass over the queue; the next pass goes on where it ended.
const GROUP_SEARCHES: u32 = 32;
/// The most searches in one pass of the racks in which cells became free, each of which is short.
const RACK_SEARCHES: u32 = 32;
/// The time between two searches of the whole group while nothing changes, for workers that are avoided for a while.
const SEARCH_MS: u64 = 1_000;

/// What one pass over the queue keeps between jobs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pass {
    /// The racks that are searched; all if absent.
    pub racks: Option<Vec<u32>>,
    /// Demands for which these racks have no room.
    pub missed: Vec<DemandKey>,
    /// Cells of guaranteed blocks that may be moved, by worker; empty if not known yet.
    pub idle: Vec<u64>,
    /// Searches that may still be made.
    pub searches: u32,
}

/// A demand for which there was no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct DemandKey {
    pub rights: Rights,
    pub demand: Demand,
}

/// The waiting jobs of one organisation and class, and how far they were tried.
struct Line {
    organisation: u32,
    class: Class,
    /// The job to be tried next, and those after it.
    from: JobKey,
    over: bool,
}

impl Scheduler {
    /// Returns why a job can never run in this group, or `None`.
    pub(crate) fn refusal(&mut self, spec: &JobSpec) -> Option<String> {
        let most = crate::job::MAX_GANG_TASKS;
        if spec.tasks == 0 || spec.tasks > most {
            return Some(format!("a gang has 1 to {most} tasks, not {}", spec.tasks));
        }
        let rules = self.rules.as_ref()?;
        let Some(rule) = rules.kinds.iter().find(|rule| rule.id == spec.kind) else {
            let kind = spec.kind.as_str();
            return Some(format!("bundle version {} has no rule for kind {kind:?}", rules.version));
        };
        let class = rule.class;
        if let Some(reason) = self.never_fits(spec) {
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
    /// Jobs before it in the queue were tried when cells last became free, so it overtakes none that could start.
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

    /// Goes through the queue if cells became free.
    ///
    /// Cells that became free in a few racks are offered at once; the whole group is searched with the next tick.
    pub(crate) fn serve_queue<R>(&mut self, now_ms: u64, random: &mut R, out: &mut Vec<Output>)
    where
        R: Rng,
    {
        let whole = self.dirty || self.unfinished;
        if !self.permitted || (!whole && self.touched.is_empty()) {
            return;
        }
        let touched: Vec<u32> = std::mem::take(&mut self.touched).into_iter().collect();
        if self.dirty {
            self.hopeless.clear();
            self.changed = false;
            self.next_search_ms = now_ms + SEARCH_MS;
        }
        self.dirty = false;
        self.unfinished = false;
        if self.policy != Policy::Product {
            self.pass = Pass::default();
            self.serve_by_age(now_ms, random, out);
            return;
        }
        self.pass = match whole {
            true => Pass { searches: GROUP_SEARCHES, ..Pass::default() },
            false => Pass { racks: Some(touched), searches: RACK_SEARCHES, ..Pass::default() },
        };
        self.serve_reserved(now_ms, random, out);
        if self.ramp_limit(now_ms).is_some() {
            self.serve_by_class(now_ms, Scope::Guaranteed, random, out);
        }
        self.serve_by_class(now_ms, Scope::All, random, out);
        self.pass = Pass::default();
    }

    /// Tries the job that holds the reservation before others can fill its cells again.
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
            let line = |organisation: &u32| Line {
                organisation: *organisation,
                class,
                from: 0,
                over: false,
            };
            let mut lines: Vec<Line> = self.queue.lines(class).keys().map(line).collect();
            while let Some(next) = self.neediest(&lines) {
                let placed = self.serve_line(now_ms, &mut lines[next], scope, random, out);
                if !placed && self.pass.searches == 0 {
                    self.unfinished = self.pass.racks.is_none();
                    return;
                }
            }
        }
    }

    /// Returns the line whose organisation uses the least in relation to its guarantee.
    fn neediest(&self, lines: &[Line]) -> Option<usize> {
        let rest = (0..lines.len()).filter(|index| !lines[*index].over);
        rest.min_by_key(|index| (self.relative_use(lines[*index].organisation), lines[*index].from))
    }

    /// Returns what an organisation uses in relation to its guarantee, in thousandths.
    fn relative_use(&self, organisation: u32) -> u64 {
        let organisation = &self.organisations[organisation as usize];
        u64::from(organisation.used) * 1_000 / u64::from(organisation.guaranteed.max(1))
    }

    /// Tries the jobs of a line until one is placed, and returns whether one was.
    fn serve_line<R>(
        &mut self,
        now_ms: u64,
        line: &mut Line,
        scope: Scope,
        random: &mut R,
        out: &mut Vec<Output>,
    ) -> bool
    where
        R: Rng,
    {
        while let Some(key) = self.next_of(now_ms, line) {
            if self.pass.searches == 0 {
                return false;
            }
            self.pass.searches -= 1;
            line.from = key + 1;
            if self.try_job(now_ms, key, scope, random, out) {
                return true;
            }
        }
        line.over = true;
        false
    }

    /// Returns the next job of a line that may start and for which there may be room.
    fn next_of(&self, now_ms: u64, line: &Line) -> Option<JobKey> {
        let jobs = self.queue.lines(line.class).get(&line.organisation)?;
        // Others miss room because of the reservation, which says nothing about the job that holds it.
        let has_reservation =
            |key: JobKey| self.reservation.as_ref().is_some_and(|held| held.job == key);
        let may_start = |key: JobKey, waiting: &Waiting| {
            (has_reservation(key) || !self.is_missed(waiting))
                && self.waits_for(now_ms, waiting).is_none()
        };
        jobs.range(line.from..).find(|(key, waiting)| may_start(**key, waiting)).map(|(k, _)| *k)
    }

    /// Returns whether the present pass found no room for a demand that is no larger and has the same rights.
    fn is_missed(&self, waiting: &Waiting) -> bool {
        match self.pass.racks {
            Some(_) => covers(&self.pass.missed, waiting),
            None => self.is_hopeless(waiting),
        }
    }

    /// Starts an attempt of a waiting job if cells for all its tasks are free or can be taken back.
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
        let missed = DemandKey { rights: job.rights, demand: job.demand };
        let general = scope == Scope::All && self.reservation.as_ref().is_none_or(|r| r.job != key);
        let placed = self.place(now_ms, key, scope, random, out);
        if !placed && general {
            match self.pass.racks {
                Some(_) => self.pass.missed.push(missed),
                None => self.hopeless.push(missed),
            }
        }
        placed
    }

    /// Returns whether there was no room for a demand that is no larger and has the same rights.
    pub(crate) fn is_hopeless(&self, waiting: &Waiting) -> bool {
        covers(&self.hopeless, waiting)
    }

    /// Returns why a job may not start now, whatever cells are free.
    pub(crate) fn blocked(&self, now_ms: u64, key: JobKey) -> Option<WaitReason> {
        let job = &self.jobs[&key];
        if !self.permitted || self.rules.is_none() {
            return Some(WaitReason::Permit);
        }
        let lines = self.queue.lines(job.rights.class);
        let waiting = lines.get(&job.rights.organisation)?.get(&key)?;
        self.waits_for(now_ms, waiting)
    }

    fn waits_for(&self, now_ms: u64, waiting: &Waiting) -> Option<WaitReason> {
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

    /// Returns the accelerators that may be used while a data centre that came back refills.
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

fn covers(missed: &[DemandKey], waiting: &Waiting) -> bool {
    let covers = |missed: &DemandKey| {
        missed.rights == waiting.rights && waiting.demand.needs_at_least(&missed.demand)
    };
    missed.iter().any(covers)
}
