//! The order in which candidates try to lead a group.

use crate::prelude::*;

/// The time between two candidates on average. Two that try at once cost one write that fails.
const CANDIDATE_STEP_MS: u64 = 20;
/// The candidates on average that watch the lease row while the leader is well. The chance that none of a large
/// group does is e^-6; then the others begin when the leader falls silent.
const WATCHERS: u64 = 6;

/// The place of one candidate in the order for one epoch.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    score: u64,
    group_workers: u64,
}

impl Place {
    /// Computes the place from the names alone, so that candidates need not know each other.
    pub(super) fn new(
        group: &GroupId,
        epoch: Epoch,
        process: &ProcessId,
        group_workers: u32,
    ) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [group.as_str().as_bytes(), process.as_str().as_bytes()] {
            hasher.update(&(part.len() as u64).to_be_bytes()).update(part);
        }
        hasher.update(&epoch.0.to_be_bytes());
        let hash = hasher.finalize();
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash.as_bytes()[..8]);
        Self { score: u64::from_be_bytes(bytes), group_workers: u64::from(group_workers.max(1)) }
    }

    /// Returns the time by which this candidate lets earlier ones go first.
    pub(super) fn delay_ms(self) -> u64 {
        let spread_ms = CANDIDATE_STEP_MS * self.group_workers;
        ((u128::from(self.score) * u128::from(spread_ms)) >> 64) as u64
    }

    /// Returns whether this candidate watches the lease row all the time.
    pub(super) fn watches(self) -> bool {
        u128::from(self.score) * u128::from(self.group_workers) < u128::from(WATCHERS) << 64
    }
}
