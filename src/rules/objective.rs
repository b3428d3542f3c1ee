//! Latency objectives of jobs.

use serde::{Deserialize, Serialize};

/// Multiple of the objective after which the result of a job is of no more use to its client.
const LATE_FACTOR: u64 = 3;

/// Latency objective of the jobs of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// Part that is a multiple of the longest chain of work of a job.
    pub stretch: f64,
    /// Constant part in milliseconds.
    pub constant_ms: u64,
}

impl Objective {
    /// Returns the objective of a job with this longest chain of work, in milliseconds.
    pub fn of_chain_ms(&self, chain_ms: u64) -> u64 {
        ((self.stretch * chain_ms as f64) as u64).saturating_add(self.constant_ms)
    }

    /// Returns the time after which the result of a job is of no more use, in milliseconds.
    pub fn late_limit_ms(&self, chain_ms: u64) -> u64 {
        self.of_chain_ms(chain_ms).saturating_mul(LATE_FACTOR)
    }
}
