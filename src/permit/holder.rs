//! Start permit at its holder, a leader or an agent.

use std::collections::BTreeMap;

use serde::Serialize;

use super::shorten_for_drift;
use crate::store::RowVersion;

/// Maximum number of unanswered requests that a holder keeps; older ones count as lost. At one request every 500 ms,
/// they cover 8 s, much longer than a permit is valid.
const MAX_PENDING_REQUESTS: usize = 16;

/// Start permit that expires after a duration counted from the time of its request.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Permit {
    /// Send time of each unanswered request, by sequence number.
    asked: BTreeMap<u64, u64>,
    last_sequence: u64,
    version: RowVersion,
    valid_until_ms: u64,
    /// Sequence number of the last request sent before the last withdrawal. Answers to requests up to it are outdated.
    withdrawn_at: u64,
}

impl Permit {
    /// Records that a request is sent now, and returns its sequence number, which the answer must repeat.
    pub fn begin_request(&mut self, now_ms: u64) -> u64 {
        self.last_sequence += 1;
        self.asked.insert(self.last_sequence, now_ms);
        while self.asked.len() > MAX_PENDING_REQUESTS {
            self.asked.pop_first();
        }
        self.last_sequence
    }

    /// Records the answer to a request: the version of the data centre's state and the remaining time, zero if starts
    /// are not permitted. Answers to unknown requests and answers with older versions are ignored.
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

    /// Ends the permit immediately, unless `version` is outdated. Answers to earlier requests do not restore it.
    pub fn withdraw(&mut self, version: RowVersion) {
        if version >= self.version {
            self.version = version;
            self.valid_until_ms = 0;
            self.withdrawn_at = self.last_sequence;
        }
    }

    /// Returns the remaining time of the permit, in milliseconds, which may be granted to a process whose request was
    /// sent before `now_ms`; zero if there is no permit.
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.valid_until_ms.saturating_sub(now_ms)
    }

    /// Returns whether starts are permitted at `now_ms`.
    pub fn is_valid(&self, now_ms: u64) -> bool {
        self.remaining_ms(now_ms) > 0
    }

    /// Returns the newest version of the data centre's state that the holder has received.
    pub fn version(&self) -> RowVersion {
        self.version
    }
}
