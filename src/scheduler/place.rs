//! The search for cells for waiting jobs.

use rand::Rng;

use super::message::Output;
use super::queue::CLASSES;
use super::state::{LEASE_MS, Scheduler};
use super::work::Wait;
use crate::placement::{Candidate, JobKey, Plan, Policy, Reach, Worker, choose};
use crate::prelude::*;

impl Scheduler {
    /// Returns why a job can never run in this group, or `None`.
    pub(crate) fn refusal(&self, spec: &JobSpec) -> Option<String> {
        if spec.tasks == 0 || spec.tasks > crate::job::MAX_GANG_TASKS {
            return Some(format!(
                "a gang has 1 to {} tasks, not {}",
                crate::job::MAX_GANG_TASKS,
                spec.tasks
            ));
        }
        let rules = self.rules.as_ref()?;
        if !rules.kinds.iter().any(|rule| rule.id == spec.kind) {
            return Some(format!(
                "bundle version {} has no rule for kind {:?}",
                rules.version,
                spec.kind.as_str()
            ));
        }
        None
    }

    /// Tries a job that has just arrived.
    pub(crate) fn try_new<R>(
        &mut self,
        now_ms: u64,
        key: JobKey,
        random: &mut R,
        out: &mut Vec<Output>,
    ) where
        R: Rng,
    {
        if self.policy != Policy::FirstComeFirstFit || self.queue.len() == 1 {
            self.try_job(now_ms, key, random, out);
        }
    }

    /// Goes through the queue if cells became free.
    pub(crate) fn serve_queue<R>(&mut self, now_ms: u64, random: &mut R, out: &mut Vec<Output>)
    where
        R: Rng,
    {
        if !self.dirty || !self.permitted {
            return;
        }
        self.dirty = false;
        if self.policy == Policy::Product {
            self.serve_by_class(now_ms, random, out);
        } else {
            self.serve_by_age(now_ms, random, out);
        }
    }

    fn serve_by_age<R>(&mut self, now_ms: u64, random: &mut R, out: &mut Vec<Output>)
    where
        R: Rng,
    {
        let mut keys: Vec<JobKey> = self.queue.iter().map(|(key, _)| key).collect();
        keys.sort_unstable();
        for key in keys {
            let placed = self.try_job(now_ms, key, random, out);
            if !placed && self.policy == Policy::FirstComeFirstFit {
                break;
            }
        }
    }

    fn serve_by_class<R>(&mut self, now_ms: u64, random: &mut R, out: &mut Vec<Output>)
    where
        R: Rng,
    {
        for class in CLASSES {
            let keys: Vec<JobKey> =
                self.queue.lines(class).values().flat_map(|line| line.keys().copied()).collect();
            for key in keys {
                self.try_job(now_ms, key, random, out);
            }
        }
    }

    /// Starts an attempt of a waiting job if it may start and cells for all its tasks are free.
    fn try_job<R>(
        &mut self,
        now_ms: u64,
        key: JobKey,
        random: &mut R,
        out: &mut Vec<Output>,
    ) -> bool
    where
        R: Rng,
    {
        if let Some(wait) = self.blocked(now_ms, key) {
            self.job_mut(key).waits = wait;
            return false;
        }
        match self.find_cells(now_ms, key, random) {
            Some(plan) => {
                self.begin(now_ms, key, plan, out);
                true
            }
            None => {
                self.job_mut(key).waits = Wait::Capacity;
                false
            }
        }
    }

    /// Returns why a job may not start now, whatever cells are free.
    fn blocked(&self, now_ms: u64, key: JobKey) -> Option<Wait> {
        let job = &self.jobs[&key];
        let organisation = &self.organisations[job.rights.organisation as usize];
        let settled = self.since_ms.unwrap_or(now_ms) + LEASE_MS <= now_ms;
        if !self.permitted || self.rules.is_none() {
            Some(Wait::Permit)
        } else if job.retry_at_ms > now_ms {
            Some(Wait::Retry)
        } else if job.may_have_run && !settled {
            Some(Wait::Takeover)
        } else if organisation
            .quota
            .is_some_and(|quota| organisation.used + job.demand.accelerators() > quota)
        {
            Some(Wait::Quota)
        } else {
            None
        }
    }

    fn find_cells<R>(&self, now_ms: u64, key: JobKey, random: &mut R) -> Option<Plan>
    where
        R: Rng,
    {
        let job = &self.jobs[&key];
        let reach = Reach::Any;
        let offer = |_: u32, worker: &Worker| {
            worker.takes_work(now_ms).then(|| Candidate {
                mask: worker.open() & worker.reachable(job.rights.organisation, reach),
                cores: worker.free_cores,
                memory_mb: worker.free_memory_mb,
                cost: 0,
            })
        };
        choose(&self.pool, &job.demand, self.policy, random, offer)
    }
}
