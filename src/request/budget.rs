//! The retry budget: a fraction of the requests that succeed.

use serde::{Deserialize, Serialize};

/// The cost of one retry, in thousandths.
const RETRY_COST: u64 = 1_000;
/// The most retries that can be saved up: the slots of a few endpoints that drain at once.
const MAX_SAVED: u64 = 256 * RETRY_COST;

/// Limits retries, so that they cannot multiply the load while much fails.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RetryBudget {
    saved: u64,
}

impl RetryBudget {
    /// Starts with a full budget, so that an entry that just started survives a drain.
    pub(super) fn new() -> Self {
        Self { saved: MAX_SAVED }
    }

    /// Notes a request that succeeded.
    pub(super) fn earn(&mut self, per_mille: u32) {
        self.saved = (self.saved + u64::from(per_mille)).min(MAX_SAVED);
    }

    /// Takes one retry, if the budget allows it.
    pub(super) fn spend(&mut self) -> bool {
        let allowed = self.saved >= RETRY_COST;
        if allowed {
            self.saved -= RETRY_COST;
        }
        allowed
    }
}
