//! Converts the leader's renewals to deadlines on the worker's clock.

use serde::{Deserialize, Serialize};

/// The relation between the worker's clock and the host's, and the time of the leader's last renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseClock {
    /// The duration of the lease after a renewal, in milliseconds.
    lease_ms: u64,
    /// The time on the worker's clock in its last answer, and the time on the host's clock when the answer arrived.
    reference: Option<(u64, u64)>,
    renewed_ms: Option<u64>,
}

impl LeaseClock {
    /// Creates a clock for leases of this duration, without a renewal.
    pub fn new(lease_ms: u64) -> Self {
        Self { lease_ms, reference: None, renewed_ms: None }
    }

    /// Records the time on the worker's clock from an answer. The answer arrives after the clock was read, so a
    /// deadline that is computed from the two times is never too late.
    pub fn record_worker_clock(&mut self, worker_clock_ms: u64, arrived_ms: u64) {
        self.reference = Some((worker_clock_ms, arrived_ms));
    }

    /// Records a renewal by the leader. The lease counts from `asked_ms`, the time on the host's clock of the request.
    pub fn record_renewal(&mut self, asked_ms: u64) {
        self.renewed_ms = self.renewed_ms.max(Some(asked_ms));
    }

    /// Returns the time on the host's clock from which the leader's last renewal counts.
    pub fn renewed_ms(&self) -> Option<u64> {
        self.renewed_ms
    }

    /// Returns whether the lease ended `margin_ms` ago by the host's clock, which counts suspensions of the machine.
    pub fn has_ended(&self, now_ms: u64, margin_ms: u64) -> bool {
        self.renewed_ms.is_some_and(|renewed_ms| now_ms >= renewed_ms + self.lease_ms + margin_ms)
    }

    /// Returns the duration of the lease after a renewal, in milliseconds.
    pub fn duration_ms(&self) -> u64 {
        self.lease_ms
    }

    /// Removes the relation between the clocks: a new incarnation has another clock, and the worker's clock stands still
    /// while the machine is suspended.
    pub fn reset_reference(&mut self) {
        self.reference = None;
    }

    /// Returns the end of the lease on the worker's clock, or `None` if it cannot be computed yet or has passed.
    pub fn deadline_ms(&self, now_ms: u64) -> Option<u64> {
        let (worker_clock_ms, arrived_ms) = self.reference?;
        let end_ms = self.renewed_ms? + self.lease_ms;
        if end_ms <= now_ms {
            return None;
        }
        (worker_clock_ms + end_ms).checked_sub(arrived_ms)
    }
}
