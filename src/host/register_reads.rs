//! Decides when a host without a leader reads the addresses of coordinators from the store.

use std::time::Duration;

use tokio::time::Instant;

use crate::prelude::*;

/// The time without a leader after which the addresses are read. A takeover takes 1 to 2 s.
const FIRST_READ_DELAY: Duration = Duration::from_secs(3);
/// The longest pause between two reads; the pause doubles with each read.
const MAX_READ_PAUSE: Duration = Duration::from_secs(30);
/// The range of the part of the first delay that depends on the worker, so that the hosts of a large deployment do not
/// read at the same time.
const SPREAD_MS: u64 = 2_000;

/// The times at which a host without a leader reads the addresses of coordinators.
#[derive(Clone, Copy, Debug)]
pub struct RegisterReads {
    first_delay: Duration,
    pause: Duration,
    next_read: Instant,
}

impl RegisterReads {
    /// Creates the schedule of a host that has not found a leader since `now`.
    pub fn new(worker: &WorkerId, now: Instant) -> Self {
        let hash =
            worker.as_str().bytes().fold(0_u64, |hash, byte| hash * 31 % 65_521 + u64::from(byte));
        let first_delay = FIRST_READ_DELAY + Duration::from_millis(hash % SPREAD_MS);
        Self { first_delay, pause: first_delay, next_read: now + first_delay }
    }

    /// Records that the host was connected to a leader until `now`.
    pub fn record_leader(&mut self, now: Instant) {
        self.pause = self.first_delay;
        self.next_read = now + self.first_delay;
    }

    /// Returns whether the addresses have to be read.
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.next_read
    }

    /// Records that the addresses were read, or that the store did not answer.
    pub fn record_read(&mut self, now: Instant) {
        self.next_read = now + self.pause;
        self.pause = (self.pause * 2).min(MAX_READ_PAUSE);
    }
}
