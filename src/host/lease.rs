//! Turns the leader's renewals into deadlines on the worker's clock.

use serde::{Deserialize, Serialize};

use crate::coordinator::WORKER_LEASE_MS;

/// Relates the worker's clock to this process's, and keeps the leader's last renewal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseClock {
    /// The worker's clock, and the time here when its answer arrived.
    reference: Option<(u64, u64)>,
    renewed_ms: Option<u64>,
}

impl LeaseClock {
    /// Notes an answer that carried the worker's clock. The arrival is later than the reading, so a deadline computed from
    /// it is never too late.
    pub fn answered(&mut self, worker_clock_ms: u64, arrived_ms: u64) {
        self.reference = Some((worker_clock_ms, arrived_ms));
    }

    /// The leader has renewed the lease, as of the time here when this process asked.
    pub fn renewed(&mut self, asked_ms: u64) {
        self.renewed_ms = self.renewed_ms.max(Some(asked_ms));
    }

    /// Returns when the leader last renewed the lease.
    pub fn renewed_ms(&self) -> Option<u64> {
        self.renewed_ms
    }

    /// The worker is in a new incarnation, whose clock starts anew.
    pub fn reset_reference(&mut self) {
        self.reference = None;
    }

    /// Returns the end of the lease on the worker's clock, or `None` if it is not known or is over.
    pub fn deadline_ms(&self, now_ms: u64) -> Option<u64> {
        let (worker_clock_ms, arrived_ms) = self.reference?;
        let end_ms = self.renewed_ms? + WORKER_LEASE_MS;
        if end_ms <= now_ms {
            return None;
        }
        (worker_clock_ms + end_ms).checked_sub(arrived_ms)
    }
}
