//! Whether a waiting job can still be served in time.

/// Part of the objective, in percent, within which a job has to finish to count as timely. Under lasting overload all jobs
/// start at this limit; starts take up to 0.4 s, and estimates are inaccurate.
const TIMELY_PERCENT: u64 = 75;
/// Wait after which a job is placed before all others of its priority, so that none starves.
const MIN_AGE_BOUND_MS: u64 = 60_000;
/// Multiple of the objective that extends [`MIN_AGE_BOUND_MS`] for long jobs.
const AGE_BOUND_FACTOR: u64 = 10;

/// Prospect of a waiting job. The derived `Ord` puts the better prospect first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum Outlook {
    /// It finishes well within its objective if it starts now, or it has waited too long to be put off again.
    #[display("timely")]
    Timely,
    /// It finishes within its objective only if its estimate is right and its start is not delayed.
    #[display("tight")]
    Tight,
    /// It misses its objective, but its result is still of use.
    #[display("late")]
    Late,
    /// Its result is of no more use when it finishes.
    #[display("overdue")]
    Overdue,
}

/// Times of a waiting job, all expected except for the wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobTimes {
    /// Time since the job was accepted or was due.
    pub waited_ms: u64,
    /// Longest chain of the work that is left.
    pub remaining_ms: u64,
    /// Objective of the job.
    pub objective_ms: u64,
    /// Time after which its result is of no more use.
    pub late_limit_ms: u64,
}

impl JobTimes {
    /// Returns whether the job has waited so long that it is placed before all others of its priority.
    pub fn is_aged(&self) -> bool {
        let age_bound_ms = MIN_AGE_BOUND_MS.max(self.objective_ms.saturating_mul(AGE_BOUND_FACTOR));
        self.waited_ms >= age_bound_ms
    }

    /// Returns the prospect of the job if it starts now.
    ///
    /// Load pattern: more urgent work arrives than fits, for longer than its objective. In the order of age each job
    /// then starts when it can no longer be in time, and none is; jobs that can be in time go first instead.
    pub fn outlook(&self) -> Outlook {
        let finish_ms = self.waited_ms.saturating_add(self.remaining_ms);
        let timely_ms = self.objective_ms / 100 * TIMELY_PERCENT;
        if finish_ms <= timely_ms || self.is_aged() {
            Outlook::Timely
        } else if finish_ms <= self.objective_ms {
            Outlook::Tight
        } else if finish_ms <= self.late_limit_ms {
            Outlook::Late
        } else {
            Outlook::Overdue
        }
    }
}
