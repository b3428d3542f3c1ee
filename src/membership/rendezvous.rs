//! Order in which candidates try to lead a group, computed by rendezvous hashing.

use crate::prelude::*;

/// Mean time in ms between two candidates. If two try at the same time, one write fails.
const MEAN_CANDIDATE_INTERVAL_MS: u64 = 20;
/// Mean number of candidates that watch the lease row while the leader is healthy. With a probability of e^-6, no
/// candidate of a large group does; the candidates then begin to watch once no messages of the leader arrive.
const MEAN_WATCHERS: u64 = 6;

/// Rank of one candidate in the order for one epoch.
#[derive(Clone, Copy, Debug)]
pub(super) struct CandidateRank {
    score: u64,
    group_workers: u64,
}

impl CandidateRank {
    /// Computes the rank from the names and the epoch alone, so that candidates need no list of each other.
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

    /// Returns the delay in ms before the candidate's claim, which lets candidates of a lower rank claim first.
    pub(super) fn delay_ms(self) -> u64 {
        let spread_ms = MEAN_CANDIDATE_INTERVAL_MS * self.group_workers;
        ((u128::from(self.score) * u128::from(spread_ms)) >> 64) as u64
    }

    /// Returns whether the candidate watches the lease row even while the leader is healthy.
    pub(super) fn is_permanent_watcher(self) -> bool {
        u128::from(self.score) * u128::from(self.group_workers) < u128::from(MEAN_WATCHERS) << 64
    }
}
