//! The retry budget, which grows by a fraction of a retry with each request that succeeds.

use serde::{Deserialize, Serialize};

/// The cost of one retry, in thousandths of a retry (the unit of the budget).
const RETRY_COST: u64 = 1_000;
/// The maximum budget. 256 retries cover the slots of a few endpoints that drain at once.
const MAX_BUDGET: u64 = 256 * RETRY_COST;

/// Limits retries, so that they cannot multiply the load while many requests fail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RetryBudget {
    saved: u64,
}

impl RetryBudget {
    /// Creates a full budget, so that an entry that just started can retry the attempts that a draining endpoint
    /// refuses.
    pub(super) fn new() -> Self {
        Self { saved: MAX_BUDGET }
    }

    /// Adds `per_mille` thousandths of a retry for a request that succeeded.
    pub(super) fn earn(&mut self, per_mille: u32) {
        self.saved = (self.saved + u64::from(per_mille)).min(MAX_BUDGET);
    }

    /// Deducts one retry and returns true, or returns false if the budget is exhausted.
    pub(super) fn try_spend(&mut self) -> bool {
        let allowed = self.saved >= RETRY_COST;
        if allowed {
            self.saved -= RETRY_COST;
        }
        allowed
    }
}
