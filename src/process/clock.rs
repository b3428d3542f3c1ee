//! The monotonic clock of a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::RngExt;

use crate::id::Incarnation;

/// Counts milliseconds since the start of the process; never read across processes.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// The number of random bits below the time in an incarnation.
const RANDOM_BITS: u32 = 12;

/// Returns a number that no other process has, and that is higher than that of an earlier process on the same address:
/// the wall clock at the start in microseconds, and 12 random bits.
///
/// Without the random bits, two of the 128 members of a group that start within one second would share a number in one
/// of a hundred such starts, and the replay window of the leader would drop the datagrams of one of them.
/// Incarnations of different machines are never compared for order.
pub fn new_incarnation() -> Incarnation {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    Incarnation(micros << RANDOM_BITS | rand::rng().random_range(0..1 << RANDOM_BITS))
}
