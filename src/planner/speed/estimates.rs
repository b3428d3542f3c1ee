//! Estimates of the speeds of workers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::gangs::{GangObservation, GangObservations};
use super::split::{SpeedClass, SpeedSplit};
use crate::prelude::*;
use crate::workflow::WorkerIncarnation;

/// Steps whose observations are kept. The observations of older steps remain in the estimates with a bounded weight.
const MAX_STEPS: usize = 48;
/// Number of observations that have the weight of the assumption that a worker has the usual speed.
const PRIOR_OBSERVATIONS: f64 = 1.0;
/// Maximum weight of the observations of steps that are no longer kept, so that a worker that changes its speed for good
/// is noticed.
const MAX_PAST_OBSERVATIONS: f64 = 6.0;
/// Limit of the logarithm of a single observation. Some tasks take seven times as long as the others of their step, and a
/// worker may be slow for some seconds only.
const MAX_LOG_RATIO: f64 = 1.2;
/// Repetitions of the alternating fit of the durations of steps and the speeds of workers.
const FIT_ROUNDS: usize = 4;
/// Minimum interval between two updates of the estimates.
const UPDATE_INTERVAL_MS: u64 = 500;
/// Minimum number of observations from which the class of a worker is known.
const MIN_KNOWN_OBSERVATIONS: f64 = 0.9;
/// Minimum number of observations of a worker that counts in the division of a service's workers.
const MIN_DIVIDED_OBSERVATIONS: f64 = 2.0;
/// Change of the logarithm of a speed from which other coordinators are told again.
const REPORTED_CHANGE: f64 = 0.15;

/// Step of an occurrence of a job.
pub(super) type StepKey = (JobId, u32, u16);

/// Estimate of the speed of a worker, as the leader sends it to other coordinators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// Worker and its incarnation.
    pub incarnation: WorkerIncarnation,
    /// Natural logarithm of the speed relative to the mean of all workers, in thousandths.
    pub log_speed_milli: i32,
    /// Number of observations behind the estimate.
    pub observations: u16,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Estimate {
    born_ms: u64,
    log_speed: f64,
    observations: f64,
    /// Sum of the observations of steps that are no longer kept, and their number.
    past_sum: f64,
    past_observations: f64,
    /// Value that other coordinators were told last.
    reported: Option<f64>,
}

impl Estimate {
    /// Returns the mean of the observations, without the assumption of the usual speed.
    fn mean(&self) -> f64 {
        self.log_speed * (self.observations + PRIOR_OBSERVATIONS) / self.observations
    }

    fn is_reliable(&self) -> bool {
        self.observations >= MIN_DIVIDED_OBSERVATIONS
    }

    /// Adds an observation that is no longer kept by itself.
    fn add_past(&mut self, log_speed: f64, weight: f64) {
        self.past_sum += log_speed.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO) * weight;
        self.past_observations += weight;
        let excess = self.past_observations / MAX_PAST_OBSERVATIONS;
        if excess > 1.0 {
            self.past_sum /= excess;
            self.past_observations = MAX_PAST_OBSERVATIONS;
        }
    }
}

/// Logarithm of the duration of an attempt on a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Observation {
    incarnation: WorkerIncarnation,
    log_duration: f64,
}

/// Estimated speeds of workers, with the observations behind them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Speeds {
    workers: BTreeMap<WorkerId, Estimate>,
    /// Observations of each step by index of the task; the oldest step is first.
    steps: VecDeque<(StepKey, BTreeMap<u32, Observation>)>,
    gangs: GangObservations,
    /// Division of the workers of each service.
    splits: BTreeMap<String, SpeedSplit>,
    changed: BTreeSet<WorkerId>,
    has_new_observations: bool,
    updated_ms: u64,
}

impl Speeds {
    /// Records the duration of an attempt: the final one, or the one projected from its progress.
    pub fn observe(
        &mut self,
        step: StepKey,
        index: u32,
        incarnation: &WorkerIncarnation,
        duration_ms: f64,
    ) {
        let position = self.steps.iter().position(|(key, _)| *key == step);
        let position = position.unwrap_or_else(|| {
            if self.steps.len() >= MAX_STEPS {
                self.retire_oldest_step();
            }
            self.steps.push_back((step, BTreeMap::new()));
            self.steps.len() - 1
        });
        let log_duration = duration_ms.ln();
        let observation = Observation { incarnation: incarnation.clone(), log_duration };
        self.steps[position].1.insert(index, observation);
        self.has_new_observations = true;
    }

    /// Records the duration of a gang on its workers, relative to the client's estimate.
    pub fn observe_gang(&mut self, queue: &str, members: Vec<WorkerIncarnation>, ratio: f64) {
        let queue = queue.to_owned();
        let oldest = self.gangs.push(GangObservation { queue, log_ratio: ratio.ln(), members });
        if let Some(oldest) = oldest {
            let log_speed_of = |incarnation: &WorkerIncarnation| self.log_speed(incarnation);
            let contributions = self.gangs.contributions_of(&oldest, log_speed_of);
            let past: Vec<_> = contributions
                .iter()
                .map(|found| (found.incarnation.clone(), found.log_speed, found.weight))
                .collect();
            for (incarnation, log_speed, weight) in past {
                if let Some(estimate) = self.estimate_mut(&incarnation) {
                    estimate.add_past(log_speed, weight);
                }
            }
        }
        self.has_new_observations = true;
    }

    /// Moves the observations of the oldest step into the estimates.
    fn retire_oldest_step(&mut self) {
        let Some((_, observations)) = self.steps.pop_front() else {
            return;
        };
        let Some(base) = self.base_of(&observations) else {
            return;
        };
        for observation in observations.values() {
            let log_ratio = log_ratio(base, observation);
            if let Some(estimate) = self.estimate_mut(&observation.incarnation) {
                estimate.add_past(log_ratio, 1.0);
            }
        }
    }

    /// Returns the logarithm of the duration of a step on a worker of mean speed, or `None` if too few of its attempts
    /// were observed.
    fn base_of(&self, observations: &BTreeMap<u32, Observation>) -> Option<f64> {
        let workers: BTreeSet<&WorkerId> =
            observations.values().map(|observation| &observation.incarnation.worker).collect();
        if workers.len() < 2 {
            return None;
        }
        let sum: f64 = observations
            .values()
            .map(|observation| observation.log_duration + self.log_speed(&observation.incarnation))
            .sum();
        Some(sum / observations.len() as f64)
    }

    fn estimate_mut(&mut self, incarnation: &WorkerIncarnation) -> Option<&mut Estimate> {
        let estimate = self.workers.get_mut(&incarnation.worker)?;
        (estimate.born_ms == incarnation.born_ms).then_some(estimate)
    }

    fn estimate(&self, incarnation: &WorkerIncarnation) -> Option<&Estimate> {
        let estimate = self.workers.get(&incarnation.worker)?;
        (estimate.born_ms == incarnation.born_ms).then_some(estimate)
    }

    fn log_speed(&self, incarnation: &WorkerIncarnation) -> f64 {
        self.estimate(incarnation).map_or(0.0, |estimate| estimate.log_speed)
    }

    /// Updates the estimates. Returns whether there was anything to update.
    pub fn update(&mut self, now_ms: u64) -> bool {
        if !self.has_new_observations || now_ms < self.updated_ms + UPDATE_INTERVAL_MS {
            return false;
        }
        self.has_new_observations = false;
        self.updated_ms = now_ms;
        let incarnations = self.steps.iter().flat_map(|(_, observations)| observations.values());
        let incarnations = incarnations.map(|observation| &observation.incarnation);
        let incarnations: Vec<WorkerIncarnation> =
            incarnations.chain(self.gangs.members()).cloned().collect();
        for incarnation in incarnations {
            let estimate = self.workers.entry(incarnation.worker).or_default();
            // Times of birth may go back, so any other incarnation than the known one is a new one.
            if estimate.born_ms != incarnation.born_ms {
                *estimate = Estimate { born_ms: incarnation.born_ms, ..Estimate::default() };
            }
        }
        for _ in 0..FIT_ROUNDS {
            self.fit();
        }
        for (worker, estimate) in &self.workers {
            let reported = estimate.reported.unwrap_or_default();
            let is_new = estimate.reported.is_none();
            if is_new || (estimate.log_speed - reported).abs() >= REPORTED_CHANGE {
                self.changed.insert(worker.clone());
            }
        }
        true
    }

    /// Fits the speeds of workers to the observations, given the durations of the steps that follow from the last fit.
    fn fit(&mut self) {
        let mut sums: BTreeMap<WorkerId, (f64, f64)> = BTreeMap::new();
        for (_, observations) in &self.steps {
            let Some(base) = self.base_of(observations) else {
                continue;
            };
            for observation in observations.values() {
                if self.estimate(&observation.incarnation).is_some() {
                    let sum = sums.entry(observation.incarnation.worker.clone()).or_default();
                    sum.0 += log_ratio(base, observation);
                    sum.1 += 1.0;
                }
            }
        }
        let log_speed_of = |incarnation: &WorkerIncarnation| self.log_speed(incarnation);
        for found in self.gangs.contributions(log_speed_of) {
            if self.estimate(found.incarnation).is_some() {
                let log_speed = found.log_speed.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
                let sum = sums.entry(found.incarnation.worker.clone()).or_default();
                sum.0 += log_speed * found.weight;
                sum.1 += found.weight;
            }
        }
        for (worker, estimate) in &mut self.workers {
            let (sum, count) = sums.get(worker).copied().unwrap_or_default();
            estimate.observations = count + estimate.past_observations;
            estimate.log_speed =
                (sum + estimate.past_sum) / (estimate.observations + PRIOR_OBSERVATIONS);
        }
    }

    /// Divides the workers of each service into classes of speed. Placement uses the division from the ratio
    /// `min_spread_percent` on.
    pub fn divide<'a, I>(&mut self, workers: I, min_spread_percent: u32)
    where
        I: Iterator<Item = (&'a str, &'a WorkerIncarnation)>,
    {
        let mut speeds: BTreeMap<String, Vec<f64>> = BTreeMap::new();
        for (service, incarnation) in workers {
            let estimate = self.estimate(incarnation);
            if let Some(estimate) = estimate.filter(|estimate| estimate.is_reliable()) {
                speeds.entry(service.to_owned()).or_default().push(estimate.mean());
            }
        }
        self.splits = speeds
            .into_iter()
            .filter_map(|(service, speeds)| {
                let is_used = self.splits.get(&service).is_some_and(SpeedSplit::is_used);
                Some((service, SpeedSplit::of(speeds, min_spread_percent, is_used)?))
            })
            .collect();
    }

    /// Returns the class of a worker in a division of the workers of its service.
    pub fn class_of(&self, split: &SpeedSplit, incarnation: &WorkerIncarnation) -> SpeedClass {
        match self.estimate(incarnation) {
            Some(estimate) if estimate.observations >= MIN_KNOWN_OBSERVATIONS => {
                split.class_of(estimate.log_speed)
            }
            Some(_) | None => SpeedClass::Unknown,
        }
    }

    /// Returns the division of a service's workers, if enough of them were observed.
    pub fn split(&self, service: &str) -> Option<&SpeedSplit> {
        self.splits.get(service)
    }

    /// Returns the divisions of the workers of all services.
    pub fn splits(&self) -> impl Iterator<Item = (&str, &SpeedSplit)> {
        self.splits.iter().map(|(service, split)| (service.as_str(), split))
    }

    /// Returns the estimates that differ from those last returned.
    pub fn take_changes(&mut self) -> Vec<SpeedReport> {
        let changed = std::mem::take(&mut self.changed);
        let mut reports = Vec::new();
        for worker in changed {
            if let Some(estimate) = self.workers.get_mut(&worker) {
                estimate.reported = Some(estimate.log_speed);
                reports.push(report_of(&worker, estimate));
            }
        }
        reports
    }

    /// Returns all estimates.
    pub fn reports(&self) -> Vec<SpeedReport> {
        self.workers.iter().map(|(worker, estimate)| report_of(worker, estimate)).collect()
    }

    /// Takes over reported estimates as past observations, unless this process has observed the worker itself.
    pub fn restore(&mut self, reports: &[SpeedReport]) {
        for report in reports {
            let log_speed = f64::from(report.log_speed_milli) / 1_000.0;
            let observations = f64::from(report.observations);
            let past_observations = observations.min(MAX_PAST_OBSERVATIONS);
            // The reported value contains the weight of the assumed usual speed.
            let past_sum = log_speed * (past_observations + PRIOR_OBSERVATIONS);
            let estimate = Estimate {
                born_ms: report.incarnation.born_ms,
                log_speed,
                observations: past_observations,
                past_sum,
                past_observations,
                reported: Some(log_speed),
            };
            self.workers.insert(report.incarnation.worker.clone(), estimate);
        }
        self.has_new_observations |= !reports.is_empty();
    }
}

fn log_ratio(base: f64, observation: &Observation) -> f64 {
    (base - observation.log_duration).clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO)
}

fn report_of(worker: &WorkerId, estimate: &Estimate) -> SpeedReport {
    SpeedReport {
        incarnation: WorkerIncarnation { worker: worker.clone(), born_ms: estimate.born_ms },
        log_speed_milli: (estimate.log_speed * 1_000.0) as i32,
        observations: estimate.observations as u16,
    }
}
