//! Which attempts an urgent job may stop, and when a stopped task starts again.

use super::Outlook;

/// Number of times that a task may be stopped for urgent jobs that no guarantee covers.
const MAX_EVICTIONS: u32 = 3;
/// Time for which a task that was stopped once stays out of the room for which urgent jobs wait. It doubles with each
/// further stop. Urgent jobs run for about 2.5 s.
const RESTART_PAUSE_MS: u64 = 2_500;
/// Maximum number of times that [`RESTART_PAUSE_MS`] doubles.
const MAX_DOUBLINGS: u32 = 3;

/// What an urgent job may stop so that it can be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionRight {
    /// Attempts of lower priority, and urgent attempts of other organisations that exceed their guarantees: all urgent
    /// jobs of its organisation are within the guarantee.
    Reclaim,
    /// Attempts of lower priority that were not stopped too often.
    Borrow,
    /// Nothing.
    Wait,
}

impl EvictionRight {
    /// Returns the right of an urgent job.
    ///
    /// Load pattern: urgent jobs beyond all guarantees arrive for longer than the objective. Each stops work of lower
    /// priority, which starts again in the next gap and is stopped again, while the urgent job is late anyway.
    pub fn of(organisation_is_within: bool, job_is_covered: bool, outlook: Outlook) -> Self {
        match (organisation_is_within, job_is_covered, outlook) {
            (true, ..) => Self::Reclaim,
            (false, true, _) | (false, false, Outlook::Timely | Outlook::Tight) => Self::Borrow,
            (false, false, Outlook::Late | Outlook::Overdue) => Self::Wait,
        }
    }

    /// Returns whether a task of lower priority that was stopped this many times for urgent jobs may be stopped again.
    pub fn may_stop_again(&self, evictions: u32) -> bool {
        match self {
            Self::Reclaim => true,
            Self::Borrow => evictions < MAX_EVICTIONS,
            Self::Wait => false,
        }
    }
}

/// Returns the time after its last stop for which a task is not placed while urgent jobs wait for room.
///
/// Load pattern: a task that was stopped for an urgent job is placed into the next gap, which the next urgent gang needs
/// a moment later.
pub fn restart_pause_ms(evictions: u32) -> u64 {
    match evictions {
        0 => 0,
        stops => RESTART_PAUSE_MS << (stops - 1).min(MAX_DOUBLINGS),
    }
}
