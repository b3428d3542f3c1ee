//! Estimates the speed of workers from the progress of their attempts, so that placement can use it.
//!
//! Load pattern: the workers of a service differ in speed by a factor of two or more. A gang is as slow as its slowest
//! member, so an urgent gang misses its objective with a single slow worker, while most work has room in its objective
//! for slow ones. Nothing announces the speed of a worker. See docs/design/worker-speed.md.

mod choice;
mod estimates;
mod gangs;
mod split;
#[cfg(test)]
mod tests;

pub use choice::{SpeedPreference, SpeedScope};
pub use estimates::{SpeedReport, Speeds};
pub use split::{SpeedClass, SpeedSplit};

use super::Planner;
use super::message::PlannerTime;
use super::straggler::projected_ms;
use crate::workflow::{TaskId, WorkerIncarnation};
use estimates::StepKey;

/// Minimum progress in percent of a running attempt from which its duration is compared with others.
const MIN_OBSERVED_PERCENT: u8 = 20;

impl Planner {
    /// Compares an attempt on a worker with those of the same step. Ignores attempts whose duration also depends on other
    /// things than the worker: tasks with a data rack, and resumed or long-running tasks.
    pub(super) fn observe_attempt_speed(
        &mut self,
        now: PlannerTime,
        incarnation: &WorkerIncarnation,
        task: &TaskId,
        is_done: bool,
    ) {
        if self.settings.speed_spread_percent.is_none() {
            return;
        }
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let step = job.step(task.step.into());
        if step.data_rack.is_some() || step.long_running {
            return;
        }
        if step.gang {
            if is_done {
                self.observe_gang_speed(now, task);
            }
            return;
        }
        let placement = job.task(task).and_then(|state| state.placement.as_ref());
        let Some(placement) = placement.filter(|placement| placement.checkpoint_at_start.is_none())
        else {
            return;
        };
        let duration_ms = match is_done {
            true => Some(now.steady_ms.saturating_sub(placement.started_ms) as f64),
            false if placement.percent < MIN_OBSERVED_PERCENT => None,
            false => projected_ms(now, placement),
        };
        let Some(duration_ms) = duration_ms.filter(|duration_ms| *duration_ms >= 1.0) else {
            return;
        };
        let key: StepKey = (task.job.clone(), task.occurrence, task.step);
        self.speeds.observe(key, task.index, incarnation, duration_ms);
    }

    /// Compares the duration of a gang that has ended with the client's estimate. Ignores gangs that resumed from a
    /// checkpoint, and those whose end another member has shown before.
    fn observe_gang_speed(&mut self, now: PlannerTime, task: &TaskId) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let members = job.members(task);
        let placements: Vec<_> = members
            .iter()
            .filter_map(|member| job.task(member).filter(|state| !state.is_done()))
            .filter_map(|state| state.placement.as_ref())
            .filter(|placement| placement.checkpoint_at_start.is_none())
            .collect();
        if placements.len() < members.len() {
            return;
        }
        let began_ms = placements.iter().map(|placement| placement.started_ms).max();
        let duration_ms = now.steady_ms.saturating_sub(began_ms.unwrap_or(now.steady_ms));
        let estimate_ms = job.step(task.step.into()).estimate_ms;
        let mut workers: Vec<WorkerIncarnation> =
            placements.iter().map(|placement| placement.incarnation.clone()).collect();
        workers.sort();
        workers.dedup();
        if duration_ms > 0 && estimate_ms > 0 {
            let ratio = duration_ms as f64 / estimate_ms as f64;
            self.speeds.observe_gang(&job.record.queue, workers, ratio);
        }
    }

    /// Updates the estimates from the observations since the last update, and the division of each service's workers into
    /// classes. A no-op unless the settings switch the part on.
    pub(super) fn update_speeds(&mut self, now: PlannerTime) {
        let Some(min_spread_percent) = self.settings.speed_spread_percent else {
            return;
        };
        if !self.speeds.update(now.steady_ms) {
            return;
        }
        let reports = self.workers.values().filter_map(|worker| worker.report.as_ref());
        let workers = reports.map(|report| (report.service.as_str(), &report.incarnation));
        self.speeds.divide(workers, min_spread_percent);
    }

    /// Returns the division of a service's workers, if their speeds differ enough for placement to use them.
    pub(super) fn speed_split(&self, service: &str) -> Option<&SpeedSplit> {
        self.speeds.split(service).filter(|split| split.is_used())
    }

    /// Returns the speed class of a worker; [`SpeedClass::Usual`] where the workers of its service do not differ enough.
    pub(super) fn speed_class(&self, service: &str, incarnation: &WorkerIncarnation) -> SpeedClass {
        self.speed_split(service)
            .map_or(SpeedClass::Usual, |split| self.speeds.class_of(split, incarnation))
    }

    /// Returns the estimates that have changed since the last call, for other coordinators.
    pub fn take_speed_changes(&mut self) -> Vec<SpeedReport> {
        self.speeds.take_changes()
    }

    /// Returns all estimates.
    pub fn speed_reports(&self) -> Vec<SpeedReport> {
        self.speeds.reports()
    }

    /// Takes over estimates of an earlier leader.
    pub fn restore_speeds(&mut self, reports: &[SpeedReport]) {
        if self.settings.speed_spread_percent.is_some() {
            self.speeds.restore(reports);
        }
    }

    /// Returns the ratio of the speeds of fast and slow workers of each service, in percent, and whether placement uses it.
    pub fn speed_spreads(&self) -> impl Iterator<Item = (&str, u32, bool)> {
        self.speeds
            .splits()
            .map(|(service, split)| (service, split.spread_percent(), split.is_used()))
    }
}
