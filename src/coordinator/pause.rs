//! Detects that the process was paused, after which its directives have to be confirmed.
//!
//! A paused process misses changes of the configuration, such as withdrawn keys, and finds requests in its sockets when it
//! continues.

use std::sync::atomic::{AtomicU64, Ordering};

/// The time without a tick from which the process counts as paused. Ticks come every 150 ms, and later on a slow machine.
const MIN_PAUSE_MS: u64 = 2_000;
/// The value of [`PauseDetector::confirm_from_ms`] while no confirmation is due.
const CONFIRMED: u64 = 0;

/// The times by which a pause is detected, by a steady clock that continues while the machine is suspended. Requests read
/// them while the actor changes them.
#[derive(Debug, Default)]
pub struct PauseDetector {
    /// The time of the last tick; 0 before the first.
    ticked_ms: AtomicU64,
    /// The time of the end of a pause, from which on a confirmation has to be requested, or [`CONFIRMED`].
    confirm_from_ms: AtomicU64,
}

impl PauseDetector {
    /// Records a tick. Returns the duration of the pause if the process was paused since the last tick.
    pub fn tick(&self, now_ms: u64) -> Option<u64> {
        let last_ms = self.ticked_ms.swap(now_ms, Ordering::AcqRel);
        let gap_ms = now_ms.saturating_sub(last_ms);
        if last_ms == 0 || gap_ms < MIN_PAUSE_MS {
            return None;
        }
        self.confirm_from_ms.store(now_ms, Ordering::Release);
        Some(gap_ms)
    }

    /// Records that the directives were as current as the store's, or another coordinator's, at some time after
    /// `requested_ms`. An answer to a request from before the end of a pause confirms nothing.
    pub fn confirm(&self, requested_ms: u64) {
        if requested_ms >= self.confirm_from_ms.load(Ordering::Acquire) {
            self.confirm_from_ms.store(CONFIRMED, Ordering::Release);
        }
    }

    /// Returns whether the directives have to be confirmed.
    pub fn needs_confirmation(&self) -> bool {
        self.confirm_from_ms.load(Ordering::Acquire) != CONFIRMED
    }

    /// Returns whether requests may be decided by the directives: the process was not paused since they were confirmed.
    pub fn may_decide(&self, now_ms: u64) -> bool {
        let ticked_ms = self.ticked_ms.load(Ordering::Acquire);
        let is_paused = ticked_ms > 0 && now_ms >= ticked_ms.saturating_add(MIN_PAUSE_MS);
        !is_paused && !self.needs_confirmation()
    }
}
