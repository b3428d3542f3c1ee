//! Converts the leader's renewals to deadlines on the worker's clock.

use serde::{Deserialize, Serialize};

/// The time by which a host that is awake extends a lease that the leader has not renewed lately, in milliseconds. It covers
/// two intervals of lists.
const EXTENSION_MS: u64 = 2_500;
/// The age of the worker's last answer up to which the host extends the lease by itself, in milliseconds.
const MAX_ANSWER_AGE_MS: u64 = 2_000;

/// The relation between the worker's clock and the host's, and the time of the leader's last renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseClock {
    /// The duration of the lease after a renewal if the host does not extend it, in milliseconds.
    unattended_ms: u64,
    /// The longest duration of the lease after a renewal, in milliseconds.
    lease_ms: u64,
    /// The machine was not suspended since the last renewal.
    may_extend: bool,
    /// The time on the worker's clock in its last answer, and the time on the host's clock when the answer arrived.
    reference: Option<(u64, u64)>,
    renewed_ms: Option<u64>,
}

impl LeaseClock {
    /// Creates a clock without a renewal. After a renewal a lease lasts for `unattended_ms`, and up to `lease_ms` while the
    /// host extends it.
    pub fn new(unattended_ms: u64, lease_ms: u64) -> Self {
        let unattended_ms = unattended_ms.min(lease_ms);
        Self { unattended_ms, lease_ms, may_extend: false, reference: None, renewed_ms: None }
    }

    /// Records the time on the worker's clock from an answer. The answer arrives after the clock was read, so a
    /// deadline that is computed from the two times is never too late.
    pub fn record_worker_clock(&mut self, worker_clock_ms: u64, arrived_ms: u64) {
        self.reference = Some((worker_clock_ms, arrived_ms));
    }

    /// Records a renewal by the leader. The lease counts from `asked_ms`, the time on the host's clock of the request.
    pub fn record_renewal(&mut self, asked_ms: u64) {
        if self.renewed_ms < Some(asked_ms) {
            (self.renewed_ms, self.may_extend) = (Some(asked_ms), true);
        }
    }

    /// Records that the machine was suspended. The worker's clock stood still meanwhile, so its last answer does not tell the
    /// time any more, and the host may not be able to end what it extends.
    pub fn record_suspension(&mut self) {
        (self.reference, self.may_extend) = (None, false);
    }

    /// Returns whether the host may extend the lease by itself, without a leader.
    pub fn is_extendable(&self, now_ms: u64) -> bool {
        self.may_extend && !self.has_ended(now_ms, 0)
    }

    /// Returns the time on the host's clock from which the leader's last renewal counts.
    pub fn renewed_ms(&self) -> Option<u64> {
        self.renewed_ms
    }

    /// Returns whether the lease ended `margin_ms` ago by the host's clock, which counts suspensions of the machine.
    pub fn has_ended(&self, now_ms: u64, margin_ms: u64) -> bool {
        self.renewed_ms.is_some_and(|renewed_ms| now_ms >= renewed_ms + self.lease_ms + margin_ms)
    }

    /// Returns the longest duration of the lease after a renewal, in milliseconds.
    pub fn duration_ms(&self) -> u64 {
        self.lease_ms
    }

    /// Removes the relation between the clocks, since a new incarnation has another clock.
    pub fn reset_reference(&mut self) {
        self.reference = None;
    }

    /// Returns the end of the lease on the worker's clock, or `None` if it cannot be computed yet or has passed. It is no later
    /// than necessary for the next extension, since a host that is killed cannot end a lease that outlasts a suspension.
    pub fn deadline_ms(&self, now_ms: u64) -> Option<u64> {
        let (worker_clock_ms, arrived_ms) = self.reference?;
        let renewed_ms = self.renewed_ms?;
        let mut end_ms = renewed_ms + self.unattended_ms;
        if self.may_extend && now_ms <= arrived_ms + MAX_ANSWER_AGE_MS {
            end_ms = end_ms.max((now_ms + EXTENSION_MS).min(renewed_ms + self.lease_ms));
        }
        if end_ms <= now_ms {
            return None;
        }
        (worker_clock_ms + end_ms).checked_sub(arrived_ms)
    }
}
