//! The permit that a leader or an agent holds.

use std::collections::BTreeMap;

use serde::Serialize;

use super::shorten_for_drift;
use crate::store::RowVersion;

/// The most questions that a holder remembers; older ones are taken as lost. At one question each 500 ms it remembers
/// 8 s, much longer than a permit is valid.
const MAX_ASKED: usize = 16;

/// A start permit that runs out by itself, counted from when it was asked for.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Permit {
    /// When each question was sent that has no answer yet.
    asked: BTreeMap<u64, u64>,
    last_sequence: u64,
    version: RowVersion,
    valid_until_ms: u64,
    /// Answers to questions up to this one are older than the last withdrawal.
    withdrawn_at: u64,
}

impl Permit {
    /// Records that a request is sent now, and returns its number, which the answer must repeat.
    pub fn begin_request(&mut self, now_ms: u64) -> u64 {
        self.last_sequence += 1;
        self.asked.insert(self.last_sequence, now_ms);
        while self.asked.len() > MAX_ASKED {
            self.asked.pop_first();
        }
        self.last_sequence
    }

    /// Records the answer to a request: the version of the data centre's state and the time left, zero if starts are not
    /// permitted. Answers to unknown requests and answers about older versions change nothing.
    pub fn record_answer(&mut self, sequence: u64, version: RowVersion, permit_ms: u64) {
        let Some(asked_at_ms) = self.asked.remove(&sequence) else { return };
        if version < self.version {
            return;
        }
        if version > self.version {
            self.version = version;
            self.valid_until_ms = 0;
        }
        if permit_ms == 0 {
            self.withdraw(version);
        } else if sequence > self.withdrawn_at {
            self.valid_until_ms =
                self.valid_until_ms.max(asked_at_ms + shorten_for_drift(permit_ms));
        }
    }

    /// Ends the permit at once. Answers to questions that were sent before do not bring it back.
    pub fn withdraw(&mut self, version: RowVersion) {
        if version >= self.version {
            self.version = version;
            self.valid_until_ms = 0;
            self.withdrawn_at = self.last_sequence;
        }
    }

    /// Returns the time left, to be passed on to a process that asked for it before `now_ms`; zero if there is no permit.
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.valid_until_ms.saturating_sub(now_ms)
    }

    /// Returns whether a start is permitted at this moment.
    pub fn is_valid(&self, now_ms: u64) -> bool {
        self.remaining_ms(now_ms) > 0
    }

    /// Returns the version of the data centre's state that the holder knows.
    pub fn version(&self) -> RowVersion {
        self.version
    }
}
