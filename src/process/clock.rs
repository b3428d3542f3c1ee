//! Monotonic clock and incarnation of a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::RngExt;

use super::BoottimeClock;
use crate::id::Incarnation;

/// Clock that counts milliseconds since its start, also while the machine is suspended: leases and permits that are counted
/// on it expire meanwhile. Its times are never compared between processes.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start_ms: u64,
}

impl MonotonicClock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self { start_ms: BoottimeClock.now_ms() }
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        BoottimeClock.now_ms().saturating_sub(self.start_ms)
    }
}

/// Clock that counts the milliseconds since its start for which the machine was awake.
#[derive(Clone, Copy, Debug)]
pub struct AwakeClock {
    start: Instant,
}

impl AwakeClock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the milliseconds since the start, without those of suspensions.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Number of random low bits of an incarnation, below the time.
const INCARNATION_RANDOM_BITS: u32 = 12;

/// Returns a new incarnation: the wall clock in microseconds, followed by 12 random bits.
///
/// It differs from that of any other process, and is higher than that of an earlier process on the same address.
///
/// Without the random bits, two of the 128 members of a group that start within one second would have the same
/// incarnation in one of a hundred such starts, and the replay window of the leader would drop the datagrams of one.
/// Incarnations of different machines are never compared for order.
pub fn new_incarnation() -> Incarnation {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    Incarnation(
        micros << INCARNATION_RANDOM_BITS
            | rand::rng().random_range(0..1 << INCARNATION_RANDOM_BITS),
    )
}
