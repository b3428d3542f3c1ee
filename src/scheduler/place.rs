//! The order in which waiting jobs are tried.

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::message::Output;
use super::queue::{CLASSES, Waiting};
use super::search::Scope;
use super::state::Scheduler;
use super::work::{Rights, Wait};
use crate::placement::{Demand, JobKey, Policy};
use crate::prelude::*;

/// The most searches for cells in one pass over the queue; one takes about a microsecond for each hundred workers.
///
/// A pass that needs more goes on with the next input.
const SEARCHES_PER_PASS: u32 = 16;

/// A demand for which there was no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Hopeless {
    pub rights: Rights,
    pub demand: Demand,
}

/// The waiting jobs of one organisation and class, and how many of them were tried.
struct Line {
    organisation: u32,
    jobs: Vec<(JobKey, Waiting)>,
    tried: usize,
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
        if self.blocked(now_ms, key).is_none() && !self.unfinished {
            self.try_job(now_ms, key, Scope::All, random, out);
        }
    }

    /// Goes through the queue if cells became free.
    pub(crate) fn serve_queue<R>(&mut self, now_ms: u64, random: &mut R, out: &mut Vec<Output>)
    where
        R: Rng,
    {
        if !self.permitted || !(self.dirty || self.unfinished) {
            return;
        }
        if self.dirty {
            self.hopeless.clear();
        }
        self.dirty = false;
        self.unfinished = false;
        if self.policy != Policy::Product {
            self.serve_by_age(now_ms, random, out);
            return;
        }
        let mut searches = 0;
        if self.ramp_limit(now_ms).is_some() {
            self.serve_by_class(now_ms, Scope::Guaranteed, &mut searches, random, out);
        }
        self.serve_by_class(now_ms, Scope::All, &mut searches, random, out);
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
        searches: &mut u32,
        random: &mut R,
        out: &mut Vec<Output>,
    ) where
        R: Rng,
    {
        for class in CLASSES {
            let mut lines: Vec<Line> = self.queue.lines(class).iter().map(line).collect();
            while let Some(next) = self.neediest(&lines) {
                let line = &mut lines[next];
                let placed = self.serve_line(now_ms, line, scope, searches, random, out);
                if !placed && *searches >= SEARCHES_PER_PASS {
                    self.unfinished = true;
                    return;
                }
            }
        }
    }

    /// Returns the line whose organisation uses the least in relation to its guarantee.
    fn neediest(&self, lines: &[Line]) -> Option<usize> {
        let rest = (0..lines.len()).filter(|index| lines[*index].tried < lines[*index].jobs.len());
        rest.min_by_key(|index| {
            let line = &lines[*index];
            (self.relative_use(line.organisation), line.jobs[line.tried].0)
        })
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
        searches: &mut u32,
        random: &mut R,
        out: &mut Vec<Output>,
    ) -> bool
    where
        R: Rng,
    {
        while let Some((key, waiting)) = line.jobs.get(line.tried).copied() {
            if self.is_hopeless(&waiting) || self.waits_for(now_ms, &waiting).is_some() {
                line.tried += 1;
                continue;
            }
            if *searches >= SEARCHES_PER_PASS {
                return false;
            }
            line.tried += 1;
            *searches += 1;
            if self.try_job(now_ms, key, scope, random, out) {
                return true;
            }
        }
        false
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
        let missed = Hopeless { rights: job.rights, demand: job.demand };
        let general = scope == Scope::All && self.reservation.as_ref().is_none_or(|r| r.job != key);
        let placed = self.place(now_ms, key, scope, random, out);
        if !placed && general {
            self.hopeless.push(missed);
        }
        placed
    }

    /// Returns whether there was no room for a demand that is no larger and has the same rights.
    pub(crate) fn is_hopeless(&self, waiting: &Waiting) -> bool {
        let covers = |missed: &Hopeless| {
            missed.rights == waiting.rights && waiting.demand.needs_at_least(&missed.demand)
        };
        self.hopeless.iter().any(covers)
    }

    /// Returns why a job may not start now, whatever cells are free.
    pub(crate) fn blocked(&self, now_ms: u64, key: JobKey) -> Option<Wait> {
        let job = &self.jobs[&key];
        if !self.permitted || self.rules.is_none() {
            return Some(Wait::Permit);
        }
        let lines = self.queue.lines(job.rights.class);
        let waiting = lines.get(&job.rights.organisation)?.get(&key)?;
        self.waits_for(now_ms, waiting)
    }

    fn waits_for(&self, now_ms: u64, waiting: &Waiting) -> Option<Wait> {
        let organisation = &self.organisations[waiting.rights.organisation as usize];
        let accelerators = waiting.demand.accelerators();
        let ramp =
            |limit| waiting.rights.class != Class::Urgent && self.used() + accelerators > limit;
        if waiting.retry_at_ms > now_ms {
            Some(Wait::Retry)
        } else if waiting.after_takeover && !self.is_settled(now_ms) {
            Some(Wait::Takeover)
        } else if organisation.quota.is_some_and(|quota| organisation.used + accelerators > quota) {
            Some(Wait::Quota)
        } else if self.ramp_limit(now_ms).is_some_and(ramp) {
            Some(Wait::Ramp)
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
        let total: u64 = self.pool.workers.iter().map(|w| u64::from(w.whole().count_ones())).sum();
        Some((total * passed_ms / ramp_ms) as u32)
    }
}

fn line((organisation, jobs): (&u32, &std::collections::BTreeMap<JobKey, Waiting>)) -> Line {
    let jobs = jobs.iter().map(|(key, waiting)| (*key, *waiting)).collect();
    Line { organisation: *organisation, jobs, tried: 0 }
}
