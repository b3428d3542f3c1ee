//! Clock that includes the time during which the machine is suspended.

use rustix::time::{ClockId, clock_gettime};

/// Clock that reads `CLOCK_BOOTTIME`. `CLOCK_MONOTONIC` does not advance during a suspension, so a process that used it
/// would treat leases as valid long after they expired.
#[derive(Clone, Copy, Debug, Default)]
pub struct BoottimeClock;

impl BoottimeClock {
    /// Returns the milliseconds since the machine booted.
    pub fn now_ms(&self) -> u64 {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        seconds * 1_000 + nanos / 1_000_000
    }

    /// Returns the wall clock time in milliseconds since the Unix epoch.
    pub fn wall_ms(&self) -> u64 {
        let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        elapsed.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}
