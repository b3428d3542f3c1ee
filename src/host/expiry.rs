//! Proves that the lease of a worker that does not answer has expired.
//!
//! The lease is counted on the worker's steady clock, which stands still while the machine is suspended. A leader that
//! hears nothing from the machine has to allow for that time; the host on the machine can measure it
//! (docs/incidents/2026-12-07-suspended-machine.md).

use serde::{Deserialize, Serialize};

/// The maximum time that one call of [`LeaseExpiry::advance`] counts, in milliseconds; the interval of the host's ticks.
/// A longer gap means that the process was paused, possibly together with the worker.
const MAX_STEP_MS: u64 = 250;
/// The minimum time without an answer of the worker, in milliseconds. Its lists show the state of its lease otherwise.
const MIN_SILENCE_MS: u64 = 3_000;
/// The share by which a worker's clock may be slow: one fortieth, more than the 2 % that the platform allows.
const CLOCK_DRIFT_DIVISOR: u64 = 40;
/// The allowance for pauses that are shorter than the interval of the host's ticks, in milliseconds.
const MARGIN_MS: u64 = 500;

/// The time that the worker was certainly awake, and the latest deadline that its lease may have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseExpiry {
    /// The time for which the machine was awake while this process watched, in milliseconds.
    awake_ms: u64,
    /// The time of the last call of [`LeaseExpiry::advance`] on a clock that stands still during a suspension.
    advanced_ms: Option<u64>,
    /// The latest deadline on the worker's clock that a call may have set, in milliseconds.
    deadline_ms: u64,
    /// The worker's clock in its last answer, and the value of `awake_ms` when the answer arrived.
    answered: Option<(u64, u64)>,
}

impl LeaseExpiry {
    /// Counts the time since the last call; `clock_ms` is a time on a clock that stands still during a suspension.
    pub fn advance(&mut self, clock_ms: u64) {
        let last_ms = self.advanced_ms.replace(clock_ms).unwrap_or(clock_ms);
        self.awake_ms += clock_ms.saturating_sub(last_ms).min(MAX_STEP_MS);
    }

    /// Records an answer of the worker that names the time on its clock. Before the first one, calls of an earlier process
    /// may have set a deadline up to `max_lease_ms` later.
    pub fn record_answer(&mut self, worker_clock_ms: u64, max_lease_ms: u64) {
        if self.answered.is_none() {
            self.record_deadline(worker_clock_ms.saturating_add(max_lease_ms));
        }
        self.answered = Some((worker_clock_ms, self.awake_ms));
    }

    /// Records a deadline that is sent to the worker.
    pub fn record_deadline(&mut self, deadline_ms: u64) {
        self.deadline_ms = self.deadline_ms.max(deadline_ms);
    }

    /// Forgets the incarnation of the worker, whose clock and deadline are its own.
    pub fn reset(&mut self) {
        (self.deadline_ms, self.answered) = (0, None);
    }

    /// Returns whether the lease has expired on the worker's clock although the worker does not answer.
    pub fn is_proven(&self) -> bool {
        let Some((worker_clock_ms, answered_ms)) = self.answered else {
            return false;
        };
        let silence_ms = self.awake_ms.saturating_sub(answered_ms);
        let lease_ms = self.deadline_ms.saturating_sub(worker_clock_ms);
        silence_ms >= MIN_SILENCE_MS.max(lease_ms + lease_ms / CLOCK_DRIFT_DIVISOR + MARGIN_MS)
    }
}
