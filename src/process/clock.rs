//! The monotonic clock of a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::id::Incarnation;

/// Counts milliseconds since the start of the process; never read across processes.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Returns a number that no earlier process on the same address had: the wall clock at the start, in microseconds.
///
/// It serves as a name only. Incarnations of different machines are never compared.
pub fn new_incarnation() -> Incarnation {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    Incarnation(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}
