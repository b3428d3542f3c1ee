//! Counts what a process sends on its connections, by kind of message.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// Message whose kind is known without decoding it, so that traffic can be attributed to the mechanism that causes it.
pub trait MessageKind {
    /// Returns the name of the kind. The number of kinds is small and does not depend on input.
    fn kind(&self) -> &'static str;
}

/// Messages of one kind that were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentMessages {
    /// Number of messages.
    pub count: u64,
    /// Size of their frames in bytes.
    pub size_bytes: u64,
}

/// What was sent on all connections that share this counter, by kind of message. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct Traffic(Arc<Mutex<BTreeMap<&'static str, SentMessages>>>);

impl Traffic {
    /// Adds a sent message.
    pub fn record(&self, kind: &'static str, size_bytes: u64) {
        let mut sent = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = sent.entry(kind).or_default();
        entry.count += 1;
        entry.size_bytes += size_bytes;
    }

    /// Returns what was sent so far.
    pub fn totals(&self) -> BTreeMap<&'static str, SentMessages> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
