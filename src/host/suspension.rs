//! Detects that the machine was suspended, or the process paused.

use serde::{Deserialize, Serialize};

/// The gap between two events from which the process counts as paused, in milliseconds. Ticks come every 250 ms.
const MIN_PAUSE_MS: u64 = 1_000;
/// The difference between the clocks from which the machine counts as suspended, in milliseconds.
const MIN_SUSPENSION_MS: u64 = 20;

/// The times of the last event on a clock that counts suspensions and on one that does not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspensionDetector {
    last_ms: Option<(u64, u64)>,
}

impl SuspensionDetector {
    /// Records an event. Returns the time, in milliseconds, for which the machine or the process stood still since the
    /// last one. `boottime_ms` counts suspensions, `awake_ms` does not.
    pub fn observe(&mut self, boottime_ms: u64, awake_ms: u64) -> Option<u64> {
        let (last_boottime_ms, last_awake_ms) = self.last_ms.replace((boottime_ms, awake_ms))?;
        let gap_ms = boottime_ms.saturating_sub(last_boottime_ms);
        let suspended_ms = gap_ms.saturating_sub(awake_ms.saturating_sub(last_awake_ms));
        if suspended_ms >= MIN_SUSPENSION_MS {
            return Some(suspended_ms);
        }
        (gap_ms >= MIN_PAUSE_MS).then_some(gap_ms)
    }
}
