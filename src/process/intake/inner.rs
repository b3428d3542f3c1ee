//! Connections that other processes of the system open: bounds their number, and that of handshakes in progress.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::Notify;

use super::{Intake, Reason};

/// Connections without a first message that may be open at once. A process sends its first message within milliseconds,
/// and those of 300 hosts that reconnect at once are accepted in one pass of the event loop.
const MAX_UNIDENTIFIED: usize = 512;

/// Connections that other processes opened. Clones share their state.
#[derive(Clone, Debug)]
pub struct InnerConnections {
    intake: Intake,
    entries: Arc<Mutex<BTreeMap<u64, Entry>>>,
}

#[derive(Debug)]
struct Entry {
    is_identified: bool,
    close: Arc<Notify>,
}

impl InnerConnections {
    /// Creates the bounds of a process's inner port.
    pub fn new(intake: Intake) -> Self {
        Self { intake, entries: Arc::default() }
    }

    fn with_entries<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut BTreeMap<u64, Entry>) -> T,
    {
        work(&mut self.entries.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Registers an accepted connection. Over a bound the oldest connection without a first message is closed, which may
    /// be a crowd's but not that of a process that has just connected. Returns `None` if the connection is refused, since
    /// all others belong to processes that have sent a message.
    pub fn open(&self, key: u64) -> Option<InnerConnection> {
        let close = Arc::<Notify>::default();
        let limit = self.intake.limits.inner_connections;
        let is_accepted = self.with_entries(|entries| {
            let unidentified = entries.values().filter(|entry| !entry.is_identified).count();
            if entries.len() >= limit || unidentified >= MAX_UNIDENTIFIED.min(limit / 2) {
                self.intake.report.record(Reason::InnerConnections);
                let oldest = entries.iter().find(|(_, entry)| !entry.is_identified);
                let Some(oldest) = oldest.map(|(key, _)| *key) else {
                    return false;
                };
                if let Some(entry) = entries.remove(&oldest) {
                    entry.close.notify_one();
                }
            }
            entries.insert(key, Entry { is_identified: false, close: close.clone() });
            true
        });
        is_accepted.then(|| InnerConnection { connections: self.clone(), key, close })
    }
}

/// Entry of a connection, until this value is dropped.
#[derive(Debug)]
pub struct InnerConnection {
    connections: InnerConnections,
    key: u64,
    close: Arc<Notify>,
}

impl InnerConnection {
    /// Counts a connection that is closed because of `reason`.
    pub fn record(&self, reason: Reason) {
        self.connections.intake.report.record(reason);
    }

    /// Records that the process on the other side has sent a message.
    pub fn identify(&self) {
        self.connections.with_entries(|entries| {
            if let Some(entry) = entries.get_mut(&self.key) {
                entry.is_identified = true;
            }
        });
    }

    /// Waits until the connection is to be closed.
    pub async fn closing(&self) {
        self.close.notified().await;
    }
}

impl Drop for InnerConnection {
    fn drop(&mut self) {
        self.connections.with_entries(|entries| entries.remove(&self.key));
    }
}
