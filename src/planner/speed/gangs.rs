//! Observations of gangs, whose members all take as long as the slowest one.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::workflow::WorkerIncarnation;

/// Gangs whose observations are kept.
const MAX_GANGS: usize = 64;
/// Standard deviation of the logarithm of the durations of gangs up to which an observation has full weight. The clients of
/// some queues estimate within 20 %, those of others are wrong by a factor of two.
const FULL_WEIGHT_DEVIATION: f64 = 0.35;
/// Difference of the logarithms of two speeds up to which the workers count as equally slow.
const EQUAL_SPEEDS: f64 = 0.1;

/// Duration of a gang on its workers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct GangObservation {
    /// Queue of the job, whose clients estimate about equally well.
    pub queue: String,
    /// Logarithm of the duration relative to the client's estimate.
    pub log_ratio: f64,
    /// Workers of the members, each once.
    pub members: Vec<WorkerIncarnation>,
}

/// Observed logarithm of the speed of one worker.
pub(super) struct Contribution<'a> {
    pub incarnation: &'a WorkerIncarnation,
    pub log_speed: f64,
    pub weight: f64,
}

/// Last observations of gangs.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct GangObservations {
    gangs: VecDeque<GangObservation>,
}

impl GangObservations {
    /// Adds an observation. Returns the oldest one if there are too many.
    pub fn push(&mut self, observation: GangObservation) -> Option<GangObservation> {
        self.gangs.push_back(observation);
        (self.gangs.len() > MAX_GANGS).then(|| self.gangs.pop_front())?
    }

    /// Returns the workers of all observed gangs.
    pub fn members(&self) -> impl Iterator<Item = &WorkerIncarnation> {
        self.gangs.iter().flat_map(|gang| &gang.members)
    }

    /// Returns what the observations tell about the speeds of workers, given the present estimates.
    pub fn contributions<F>(&self, log_speed_of: F) -> Vec<Contribution<'_>>
    where
        F: Fn(&WorkerIncarnation) -> f64,
    {
        let bases = self.bases(&log_speed_of);
        self.gangs
            .iter()
            .flat_map(|gang| {
                let base = bases.get(gang.queue.as_str()).copied().unwrap_or_default();
                contributions_of(gang, base, &log_speed_of)
            })
            .collect()
    }

    /// Returns what one observation tells about the speeds of workers.
    pub fn contributions_of<'a, F>(
        &self,
        gang: &'a GangObservation,
        log_speed_of: F,
    ) -> Vec<Contribution<'a>>
    where
        F: Fn(&WorkerIncarnation) -> f64,
    {
        let base = self.bases(&log_speed_of).get(gang.queue.as_str()).copied().unwrap_or_default();
        contributions_of(gang, base, &log_speed_of)
    }

    /// Returns, by queue, the mean logarithm of the relative duration of a gang on workers of mean speed, and its standard
    /// deviation.
    fn bases<F>(&self, log_speed_of: F) -> BTreeMap<&str, Base>
    where
        F: Fn(&WorkerIncarnation) -> f64,
    {
        let mut values: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for gang in &self.gangs {
            let slowest = slowest_member(gang, &log_speed_of);
            values.entry(&gang.queue).or_default().push(gang.log_ratio + slowest);
        }
        values.into_iter().map(|(queue, values)| (queue, Base::of(&values))).collect()
    }
}

/// Mean and standard deviation of the logarithms of relative durations.
#[derive(Clone, Copy, Debug, Default)]
struct Base {
    mean: f64,
    deviation: f64,
}

impl Base {
    fn of(values: &[f64]) -> Self {
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count;
        let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
        Self { mean, deviation: (squares / count).sqrt() }
    }

    fn weight(&self) -> f64 {
        (FULL_WEIGHT_DEVIATION / self.deviation.max(FULL_WEIGHT_DEVIATION)).powi(2)
    }
}

fn slowest_member<F>(gang: &GangObservation, log_speed_of: F) -> f64
where
    F: Fn(&WorkerIncarnation) -> f64,
{
    gang.members.iter().map(log_speed_of).min_by(f64::total_cmp).unwrap_or_default()
}

/// Attributes the duration of a gang: all members are at least as fast as it shows, and one of those that are expected to
/// be the slowest is not faster.
fn contributions_of<'a, F>(
    gang: &'a GangObservation,
    base: Base,
    log_speed_of: F,
) -> Vec<Contribution<'a>>
where
    F: Fn(&WorkerIncarnation) -> f64,
{
    let observed = base.mean - gang.log_ratio;
    let slowest = slowest_member(gang, &log_speed_of);
    let limit = slowest.max(observed) + EQUAL_SPEEDS;
    let concerned: Vec<&WorkerIncarnation> =
        gang.members.iter().filter(|member| log_speed_of(member) < limit).collect();
    // Where the gang is faster than expected, that holds for each of these members; where it is slower, for one of them.
    let share = match observed > slowest {
        true => 1.0,
        false => 1.0 / concerned.len() as f64,
    };
    let contribution = |incarnation| Contribution {
        incarnation,
        log_speed: observed,
        weight: base.weight() * share,
    };
    concerned.into_iter().map(contribution).collect()
}
