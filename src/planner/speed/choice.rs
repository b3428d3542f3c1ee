//! Which speed classes of workers a step may use, and in which order.

use super::split::SpeedClass;
use crate::planner::overload::JobTimes;

/// Workers among which all tasks of a step are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpeedScope {
    /// All workers.
    All,
    /// Workers that are known not to be slow.
    Usual,
    /// Workers that are not known to be slow.
    NotSlow,
    /// Workers that are not known to be fast.
    NotFast,
}

impl SpeedScope {
    /// Returns whether the scope contains workers of a class.
    pub fn contains(self, class: SpeedClass) -> bool {
        match self {
            Self::All => true,
            Self::Usual => class == SpeedClass::Usual,
            Self::NotSlow => class != SpeedClass::Slow,
            Self::NotFast => class != SpeedClass::Usual,
        }
    }
}

/// Preference of a step for workers of a speed class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpeedPreference {
    /// The workers do not differ, or it does not matter.
    Any,
    /// The step needs workers that are not slow: it would miss its objective on a slow one.
    UsualOnly,
    /// Workers that are not slow come first.
    UsualFirst,
    /// Slow workers come first: the step has room in its objective, and other work needs the fast ones.
    SlowFirst,
}

impl SpeedPreference {
    /// Returns the preference of a step of a job with these times, where work takes `slow_factor` times as long on a slow
    /// worker as on one of mean speed.
    ///
    /// Load pattern: urgent gangs and long work share workers of two speeds. Urgent gangs meet their objective on fast
    /// workers only, so work that meets its objective on slow ones leaves the fast ones to them.
    pub fn of(is_urgent: bool, slow_factor: f64, times: &JobTimes) -> Self {
        let slow_end_ms = times.waited_ms as f64 + times.remaining_ms as f64 * slow_factor;
        let meets_objective_when_slow = slow_end_ms <= times.objective_ms as f64;
        match (is_urgent, meets_objective_when_slow) {
            (false, true) => Self::SlowFirst,
            (true, true) | (false, false) => Self::UsualFirst,
            (true, false) => Self::UsualOnly,
        }
    }

    /// Returns the scopes to try one after another for a gang. A gang on workers of both classes is as slow as the slow
    /// ones and holds fast ones meanwhile, so mixed placements come last.
    pub fn scopes(self) -> &'static [SpeedScope] {
        match self {
            Self::Any => &[SpeedScope::All],
            Self::UsualOnly => &[SpeedScope::Usual, SpeedScope::NotSlow],
            Self::UsualFirst => &[SpeedScope::Usual, SpeedScope::NotSlow, SpeedScope::All],
            Self::SlowFirst => &[SpeedScope::NotFast, SpeedScope::NotSlow, SpeedScope::All],
        }
    }

    /// Returns the position of a class in the order of this preference.
    pub fn rank(self, class: SpeedClass) -> u8 {
        match (self, class) {
            (Self::Any, _) => 0,
            // Work without haste shows how fast unknown workers are.
            (Self::SlowFirst, SpeedClass::Slow | SpeedClass::Unknown) => 0,
            (Self::SlowFirst, SpeedClass::Usual) => 1,
            (Self::UsualFirst | Self::UsualOnly, SpeedClass::Usual) => 0,
            (Self::UsualFirst | Self::UsualOnly, SpeedClass::Unknown) => 1,
            (Self::UsualFirst | Self::UsualOnly, SpeedClass::Slow) => 2,
        }
    }
}
