//! What callers lose if work ends later or is stopped, and whether a stop gains more than that.
//!
//! Load pattern: urgent jobs arrive in bursts and stop long gangs that have nearly ended, while other work could wait
//! without harm. The work that is done again then delays everything else, so that even the urgent jobs earn less.
//!
//! Values are in millionths: 1,000,000 is the value of a result in time of the lowest priority.
//! docs/design/cost-of-delay.md describes the model.

use serde::{Deserialize, Serialize};

use super::JobTimes;

/// Times of a deployment from which the cost of a stop follows, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CostSettings {
    /// Longest time from the order to stop an attempt until its resources are free.
    pub stop_ms: u64,
    /// Work after which a checkpointable task writes each checkpoint.
    pub checkpoint_interval_ms: u64,
    /// Time in which an attempt resumes from a checkpoint.
    pub restore_ms: u64,
}

/// Values of results in time and late, by priority, from the most urgent on. The last entry holds for all others too. The
/// rules state no values; these are the relative ones that all customers name for their work.
const RESULT_VALUES: [(u64, u64); 3] =
    [(4_000_000, 800_000), (3_000_000, 900_000), (1_000_000, 300_000)];
/// Part of a limit, in percent, by which the end of a job may be off: tasks of one step differ by 30 %, and starts are
/// delayed. The value falls evenly over this range on both sides of the limit.
const UNCERTAINTY_PERCENT: u64 = 25;
/// Ratio of gain to loss in percent below which nothing is stopped. Estimates of run times are off by a factor of up to
/// 1.9, so a smaller gain is likely to be none.
const MIN_GAIN_PERCENT: u64 = 150;
/// Part of the loss in percent that a wait for a checkpoint or an end has to save. A smaller saving is not worth the risk
/// that the attempt takes longer than expected.
const MIN_SAVING_PERCENT: u64 = 50;
/// Longest wait for a checkpoint or an end. The slack of an urgent job is half of its work, about 1 s.
const MAX_WAIT_MS: u64 = 600;
/// Factor by which a stopped gang waits longer for resources than a single task: all of its members need them at once.
const GANG_WAIT_FACTOR: u64 = 2;
/// Loss that each stopped attempt counts at least, so that few victims are preferred to many.
const MIN_STOP_LOSS: u64 = 2_000;

/// Value that a waiting or running occurrence still has for its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OccurrenceValue {
    pub priority: u8,
    /// Expected times; `None` if it has no objective, so that its value does not depend on its end.
    pub times: Option<JobTimes>,
}

impl OccurrenceValue {
    /// Returns the value of the result in time.
    pub fn timely(&self) -> u64 {
        self.result_values().0
    }

    /// Returns the values of the result in time and late.
    fn result_values(&self) -> (u64, u64) {
        RESULT_VALUES[usize::from(self.priority).min(RESULT_VALUES.len() - 1)]
    }

    /// Returns the expected value of the result if the occurrence ends `delay_ms` later than expected.
    pub fn expected(&self, delay_ms: u64) -> u64 {
        let (timely, late) = self.result_values();
        let Some(times) = &self.times else {
            return timely;
        };
        let end_ms = times.waited_ms.saturating_add(times.remaining_ms).saturating_add(delay_ms);
        let timely_part = part_before(end_ms, times.objective_ms, timely - late);
        let late_part = part_before(end_ms, times.late_limit_ms, late);
        timely_part + late_part
    }

    /// Returns the value that is lost if the occurrence ends `delay_ms` later than expected. Work that has waited for the
    /// age bound loses its whole value with any delay, so that it is not put off again.
    pub fn delay_loss(&self, delay_ms: u64) -> u64 {
        let is_aged = self.times.is_some_and(|times| times.is_aged());
        match delay_ms {
            0 => 0,
            _ if is_aged => self.timely(),
            _ => self.expected(0).saturating_sub(self.expected(delay_ms)),
        }
    }
}

/// Returns how much of a value is expected at an end that counts in full before a limit.
fn part_before(end_ms: u64, limit_ms: u64, value: u64) -> u64 {
    let margin_ms = limit_ms.saturating_mul(UNCERTAINTY_PERCENT) / 100;
    let begin_ms = limit_ms - margin_ms;
    let width_ms = (margin_ms * 2).max(1);
    let left_ms = width_ms.saturating_sub(end_ms.saturating_sub(begin_ms));
    value * left_ms / width_ms
}

/// Attempt, or all attempts of a gang, that may be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTerms {
    /// Value of the occurrence that the attempt belongs to.
    pub value: OccurrenceValue,
    /// Number of attempts that the stop ends.
    pub attempts: u64,
    /// Time for which they have worked.
    pub worked_ms: u64,
    /// Expected time until they end by themselves, or `None` if they have no end.
    pub left_ms: Option<u64>,
    /// Expected time until all attempts of the step have ended.
    pub step_left_ms: u64,
    /// Work of the whole occurrence, as the time that one task would need for it.
    pub occurrence_work_ms: u64,
    pub is_checkpointable: bool,
    pub is_gang: bool,
    /// Number of times that they were stopped before.
    pub evictions: u32,
}

/// What a stop costs callers, in millionths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopLoss {
    /// Value of the work that has to be done again.
    pub work: u64,
    /// Value that the occurrence loses because it ends later. The stops of several tasks delay an occurrence only once.
    pub delay: u64,
}

impl StopLoss {
    pub fn total(&self) -> u64 {
        self.work.saturating_add(self.delay)
    }
}

impl StopTerms {
    /// Returns the loss if the attempts are stopped in `in_ms`, and their resources are in use elsewhere for `outage_ms`
    /// after that. There is none if they end before.
    pub fn loss(&self, settings: &CostSettings, outage_ms: u64, in_ms: u64) -> StopLoss {
        if self.left_ms.is_some_and(|left_ms| left_ms <= in_ms) {
            return StopLoss::default();
        }
        let unsaved_ms = self.unsaved_ms(settings, in_ms);
        let restore_ms = if self.is_checkpointable { settings.restore_ms } else { 0 };
        let redone_ms = unsaved_ms.saturating_add(settings.stop_ms).saturating_add(restore_ms);
        let stops = u64::from(self.evictions) + 1;
        let share_ms = redone_ms.saturating_mul(self.attempts).min(self.occurrence_work_ms);
        let work = self.value.expected(0) * share_ms / self.occurrence_work_ms.max(1);
        let work = (work + MIN_STOP_LOSS * self.attempts).saturating_mul(stops);
        // At equal loss, the lowest priority is stopped first.
        let work = work.saturating_add(u64::from(u8::MAX - self.value.priority));
        let wait_ms = if self.is_gang { outage_ms * GANG_WAIT_FACTOR } else { outage_ms };
        let delay_ms = self.left_ms.map_or(0, |left_ms| {
            let end_ms = left_ms.saturating_add(redone_ms).saturating_add(wait_ms);
            end_ms.saturating_sub(self.step_left_ms)
        });
        StopLoss { work, delay: self.value.delay_loss(delay_ms) }
    }

    /// Returns the work without a checkpoint in `in_ms` from now.
    fn unsaved_ms(&self, settings: &CostSettings, in_ms: u64) -> u64 {
        let worked_ms = self.worked_ms.saturating_add(in_ms);
        match self.is_checkpointable {
            true => worked_ms % settings.checkpoint_interval_ms.max(1),
            false => worked_ms,
        }
    }

    /// Returns the time until the next moment at which a stop loses less: the next checkpoint or the end.
    fn next_saving_ms(&self, settings: &CostSettings) -> u64 {
        let interval_ms = settings.checkpoint_interval_ms.max(1);
        let checkpoint_ms =
            self.is_checkpointable.then(|| interval_ms - self.worked_ms % interval_ms);
        let moments = checkpoint_ms.into_iter().chain(self.left_ms);
        moments.min().unwrap_or(u64::MAX)
    }
}

/// Whether attempts are stopped for an urgent job that no guarantee covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopVerdict {
    /// They are stopped now.
    Stop,
    /// They are about to write a checkpoint or to end, and the urgent job can wait for that.
    Await {
        /// Time until then.
        in_ms: u64,
    },
    /// The stop would destroy more than it gains.
    Withhold,
}

/// Gain and loss of the stops for an urgent job, in millionths, and the decision that follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopBalance {
    pub verdict: StopVerdict,
    /// Value that the urgent job gains by starting after the stops instead of after the ends of the same attempts.
    pub gain: u64,
    /// Loss if the attempts are stopped now.
    pub loss: u64,
}

impl StopBalance {
    /// Weighs the stops of attempts for an urgent job. `outage_ms` is the time for which the job uses their resources,
    /// and `loss_in` returns the loss of all stops together if they happen after a time.
    ///
    /// Load pattern: urgent jobs beyond all guarantees stop gangs of the next priority, which lose seconds of work each,
    /// although the capacity would be free a moment later.
    pub fn of<F>(
        settings: &CostSettings,
        urgent: &OccurrenceValue,
        victims: &[StopTerms],
        loss_in: F,
    ) -> Self
    where
        F: Fn(u64) -> u64,
    {
        let ends_ms = victims.iter().map(|terms| terms.left_ms.unwrap_or(u64::MAX)).max();
        let ends_ms = ends_ms.unwrap_or_default();
        // What is left of the urgent job's value if the attempts are stopped after a time, less their loss.
        let net_in = |in_ms: u64| {
            let start_ms = in_ms.saturating_add(settings.stop_ms).min(ends_ms);
            let weighted_loss = loss_in(in_ms).saturating_mul(MIN_GAIN_PERCENT) / 100;
            urgent.expected(start_ms).checked_sub(weighted_loss)
        };
        let loss = loss_in(0);
        let saves = |in_ms: &u64| loss_in(*in_ms) <= loss / 100 * (100 - MIN_SAVING_PERCENT);
        let moments = victims.iter().map(|terms| terms.next_saving_ms(settings));
        let wait = moments
            .filter(|in_ms| *in_ms <= MAX_WAIT_MS)
            .filter(saves)
            .map(|in_ms| (net_in(in_ms), std::cmp::Reverse(in_ms)))
            .max();
        let (now, never) = (net_in(0), Some(urgent.expected(ends_ms)));
        let verdict = match wait {
            Some((net, std::cmp::Reverse(in_ms))) if net >= never && net > now => {
                StopVerdict::Await { in_ms }
            }
            _ if now > never => StopVerdict::Stop,
            _ => StopVerdict::Withhold,
        };
        let gain = urgent.expected(settings.stop_ms).saturating_sub(urgent.expected(ends_ms));
        Self { verdict, gain, loss }
    }
}
