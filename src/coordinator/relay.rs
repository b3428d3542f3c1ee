//! Calls the store directly or, while the store does not answer here, through another coordinator.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;

use super::message::{PeerMessage, StoreAnswer, StoreRequest};
use super::peers::PeerSenders;
use crate::process::SteadyClock;
use crate::store::{RowError, RowKey, RowResult, RowStore, StoredRow, Transaction};

/// How long a relayed call may take; the relaying coordinator's own limit is shorter.
const RELAY_TIMEOUT: Duration = Duration::from_millis(900);
/// How long calls go through another coordinator first, after the store failed to answer here.
const PREFER_RELAY_MS: u64 = 1_000;

type Pending = HashMap<u64, oneshot::Sender<RowResult<StoreAnswer>>>;

/// A store that other coordinators help to reach. Clones share their state.
#[derive(Clone, Debug)]
pub struct RelayingStore<S> {
    store: S,
    peers: PeerSenders,
    clock: SteadyClock,
    shared: Arc<RelayState>,
}

#[derive(Debug, Default)]
struct RelayState {
    next_call: AtomicU64,
    /// Until when the store counts as unreachable from here, by the steady clock.
    failing_until_ms: AtomicU64,
    answered_ms: AtomicU64,
    pending: Mutex<Pending>,
}

impl<S> RelayingStore<S>
where
    S: RowStore,
{
    /// Creates a store without relays; `peers` are used as they connect.
    pub fn new(store: S, peers: PeerSenders, clock: SteadyClock) -> Self {
        Self { store, peers, clock, shared: Arc::default() }
    }

    /// Returns the store without relays.
    pub fn direct(&self) -> &S {
        &self.store
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// [`RowError`] if neither way led to an answer.
    pub async fn read(&self, key: &RowKey) -> RowResult<Option<StoredRow>> {
        match self.call(StoreRequest::Read(key.clone())).await? {
            StoreAnswer::Row(row) => Ok(row),
            StoreAnswer::Version(_) => Err(mismatch()),
        }
    }

    /// Applies a transaction.
    ///
    /// # Errors
    ///
    /// [`RowError`]; after [`RowError::Unknown`] the same transaction may be repeated.
    pub async fn transact(&self, transaction: &Transaction) -> RowResult<u64> {
        match self.call(StoreRequest::Transact(transaction.clone())).await? {
            StoreAnswer::Version(version) => Ok(version),
            StoreAnswer::Row(_) => Err(mismatch()),
        }
    }

    async fn call(&self, request: StoreRequest) -> RowResult<StoreAnswer> {
        let now_ms = self.clock.now_ms();
        let is_failing = now_ms < self.shared.failing_until_ms.load(Ordering::Relaxed);
        if is_failing && let Some(answer) = self.relay(&request).await {
            return answer;
        }
        let answer = self.call_directly(&request).await;
        match answer {
            Err(RowError::Unavailable { reason }) => {
                let relayed = if is_failing { None } else { self.relay(&request).await };
                relayed.unwrap_or(Err(RowError::Unavailable { reason }))
            }
            answer => answer,
        }
    }

    /// Calls the store from here, for this coordinator or another.
    pub async fn call_directly(&self, request: &StoreRequest) -> RowResult<StoreAnswer> {
        let sent_ms = self.clock.now_ms();
        let answer = match request {
            StoreRequest::Read(key) => self.store.read(key).await.map(StoreAnswer::Row),
            StoreRequest::Transact(transaction) => {
                self.store.transact(transaction).await.map(StoreAnswer::Version)
            }
        };
        match &answer {
            Err(RowError::Unavailable { reason } | RowError::Unknown { reason }) => {
                log::warn!(reason = reason.as_str(); "the store did not answer a call of a client");
                let until_ms = self.clock.now_ms() + PREFER_RELAY_MS;
                self.shared.failing_until_ms.fetch_max(until_ms, Ordering::Relaxed);
            }
            _ => self.answered(sent_ms),
        }
        answer
    }

    /// Returns the time of the last call that the store answered.
    pub fn answered_ms(&self) -> u64 {
        self.shared.answered_ms.load(Ordering::Relaxed)
    }

    fn answered(&self, sent_ms: u64) {
        self.shared.answered_ms.fetch_max(sent_ms, Ordering::Relaxed);
    }

    /// Returns the answer through another coordinator, or `None` if none is connected.
    async fn relay(&self, request: &StoreRequest) -> Option<RowResult<StoreAnswer>> {
        let call = self.shared.next_call.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.pending(|pending| pending.insert(call, sender));
        let message = PeerMessage::Relay { call, request: request.clone() };
        let answer = match self.peers.send_to_best(message) {
            true => Some(tokio::time::timeout(RELAY_TIMEOUT, receiver).await),
            false => None,
        };
        self.pending(|pending| pending.remove(&call));
        Some(match answer? {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(RowError::Unknown {
                reason: "another coordinator did not answer for the store".to_owned(),
            }),
        })
    }

    /// Takes in the answer to a relayed call.
    pub fn relayed(&self, call: u64, answer: RowResult<StoreAnswer>) {
        if let Some(sender) = self.pending(|pending| pending.remove(&call)) {
            // The caller may have given up; the answer has no other use.
            let _ = sender.send(answer);
        }
    }

    fn pending<T, F>(&self, change: F) -> T
    where
        F: FnOnce(&mut Pending) -> T,
    {
        change(&mut self.shared.pending.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn mismatch() -> RowError {
    RowError::Unavailable { reason: "another coordinator gave an answer of the wrong kind".to_owned() }
}
