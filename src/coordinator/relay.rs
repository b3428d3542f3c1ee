//! Calls the store directly or, while the store does not answer here, through another coordinator.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;

use super::message::{PeerMessage, StoreAnswer, StoreRequest};
use super::peers::PeerSenders;
use super::takeover::head_key;
use crate::process::{BoottimeClock, Metrics};
use crate::store::{RowError, RowKey, RowResult, RowStore, StoredRow, Transaction};

/// How long a relayed call may take; the relaying coordinator's own limit is shorter.
const RELAY_TIMEOUT: Duration = Duration::from_millis(900);
/// Another coordinator counts as reaching the store if it had an answer this long ago and none of its calls failed since.
const HELPER_STORE_AGE_MS: u64 = 2_500;
/// The number of calls without an answer in a row after which the store counts as down, and clients' calls fail at once
/// until a watch has an answer again.
const FAILURES_UNTIL_DOWN: u32 = 3;
/// The limit of the read that precedes a write while the store is in doubt.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

type Pending = HashMap<u64, oneshot::Sender<RowResult<StoreAnswer>>>;

/// A store that other coordinators help to reach. Clones share their state.
#[derive(Clone, Debug)]
pub struct RelayingStore<S> {
    store: S,
    peers: PeerSenders,
    clock: BoottimeClock,
    metrics: Metrics,
    shared: Arc<RelayState>,
}

#[derive(Debug, Default)]
struct RelayState {
    next_call: AtomicU64,
    /// The time of the last call that the store answered, by the steady clock; 0 before the first.
    answered_ms: AtomicU64,
    /// The number of calls without an answer since.
    failures: AtomicU32,
    pending: Mutex<Pending>,
}

impl<S> RelayingStore<S>
where
    S: RowStore,
{
    /// Creates a store without relays; `peers` are used as they connect.
    pub fn new(store: S, peers: PeerSenders, clock: BoottimeClock, metrics: Metrics) -> Self {
        Self { store, peers, clock, metrics, shared: Arc::default() }
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
        let failures = self.shared.failures.load(Ordering::Relaxed);
        if failures == 0 {
            let answer = self.call_directly(&request).await;
            return match answer {
                Err(RowError::Unavailable { .. }) if self.has_helper() => {
                    self.relay(&request).await
                }
                answer => answer,
            };
        }
        if self.has_helper() {
            return self.relay(&request).await;
        }
        // A write without an answer leaves its client in doubt, a read does not.
        if failures >= FAILURES_UNTIL_DOWN {
            return Err(RowError::Unavailable { reason: "the store is down".to_owned() });
        }
        self.probe().await?;
        self.call_directly(&request).await
    }

    fn has_helper(&self) -> bool {
        self.peers.best_store_age_ms() < HELPER_STORE_AGE_MS
    }

    async fn probe(&self) -> RowResult<()> {
        let key = head_key();
        let answer = tokio::time::timeout(PROBE_TIMEOUT, self.store.read(&key)).await;
        let answer = answer.unwrap_or_else(|_| {
            Err(RowError::Unavailable { reason: "no answer in time".to_owned() })
        });
        self.note(&answer);
        answer.map(|_| ())
    }

    /// Returns whether the store did not answer the last call.
    pub fn is_failing(&self) -> bool {
        self.shared.failures.load(Ordering::Relaxed) > 0
    }

    /// Calls the store for another coordinator, unless it does not answer here either.
    pub async fn call_for_peer(&self, request: &StoreRequest) -> RowResult<StoreAnswer> {
        if self.is_failing() {
            let reason = "the store does not answer the other coordinator either".to_owned();
            return Err(RowError::Unavailable { reason });
        }
        self.call_directly(request).await
    }

    async fn call_directly(&self, request: &StoreRequest) -> RowResult<StoreAnswer> {
        let answer = match request {
            StoreRequest::Read(key) => self.store.read(key).await.map(StoreAnswer::Row),
            StoreRequest::Transact(transaction) => {
                self.store.transact(transaction).await.map(StoreAnswer::Version)
            }
        };
        self.note(&answer);
        answer
    }

    /// Notes whether the store answered a call.
    pub fn note<T>(&self, answer: &RowResult<T>) {
        self.metrics.count("store", answer_name(answer));
        match answer {
            Err(RowError::Unavailable { reason } | RowError::Unknown { reason }) => {
                let before = self.shared.failures.fetch_add(1, Ordering::Relaxed);
                if before == 0 {
                    log::warn!(reason = reason.as_str(); "the store does not answer");
                }
            }
            Ok(_)
            | Err(RowError::Conflict { .. } | RowError::HistoryGone | RowError::Refused { .. }) => {
                self.shared.answered_ms.fetch_max(self.clock.now_ms(), Ordering::Relaxed);
                let before = self.shared.failures.swap(0, Ordering::Relaxed);
                if before > 0 {
                    log::info!(failures = before; "the store answers again");
                }
            }
        }
    }

    /// Returns the time of the last call that the store answered, if there is one.
    pub fn answered_ms(&self) -> Option<u64> {
        Some(self.shared.answered_ms.load(Ordering::Relaxed)).filter(|at_ms| *at_ms > 0)
    }

    /// Calls the store through another coordinator.
    async fn relay(&self, request: &StoreRequest) -> RowResult<StoreAnswer> {
        let call = self.shared.next_call.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.pending(|pending| pending.insert(call, sender));
        let message = PeerMessage::Relay { call, request: request.clone() };
        let is_sent = self.peers.send_to_best(message);
        let answer = match is_sent {
            true => tokio::time::timeout(RELAY_TIMEOUT, receiver).await,
            false => Ok(Ok(Err(RowError::Unavailable {
                reason: "no other coordinator is connected".to_owned(),
            }))),
        };
        self.pending(|pending| pending.remove(&call));
        match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(RowError::Unknown {
                reason: "another coordinator did not answer for the store".to_owned(),
            }),
        }
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

fn answer_name<T>(answer: &RowResult<T>) -> &'static str {
    match answer {
        Ok(_) => "answered",
        Err(RowError::Conflict { .. }) => "conflict",
        Err(RowError::Unavailable { .. }) => "unavailable",
        Err(RowError::Unknown { .. }) => "unknown",
        Err(RowError::HistoryGone) => "history_gone",
        Err(RowError::Refused { .. }) => "refused",
    }
}

fn mismatch() -> RowError {
    RowError::Unavailable {
        reason: "another coordinator gave an answer of the wrong kind".to_owned(),
    }
}
