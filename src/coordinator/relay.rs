//! Calls the store directly or, while it does not answer this coordinator, through another coordinator.

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

/// The time limit of a relayed call. The relaying coordinator's limit for its call of the store is shorter.
const RELAY_TIMEOUT: Duration = Duration::from_millis(900);
/// The age of the last answer up to which another coordinator counts as able to reach the store, provided that none of
/// its calls failed since.
const HELPER_STORE_AGE_MS: u64 = 2_500;
/// The number of calls without an answer in a row after which the store counts as down. Clients' calls then fail at
/// once until a watch receives an answer.
const FAILURES_UNTIL_DOWN: u32 = 3;
/// The time limit of the read that precedes a call while the last call had no answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

type PendingCalls = HashMap<u64, oneshot::Sender<RowResult<StoreAnswer>>>;

/// A store that is called directly or through another coordinator. Clones share their state.
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
    /// The newest version of the store in an answer.
    newest_version: AtomicU64,
    /// The number of calls without an answer since the last answered call.
    failures: AtomicU32,
    pending: Mutex<PendingCalls>,
}

impl<S> RelayingStore<S>
where
    S: RowStore,
{
    /// Wraps a store; the coordinators in `peers` relay calls while they are connected.
    pub fn new(store: S, peers: PeerSenders, clock: BoottimeClock, metrics: Metrics) -> Self {
        Self { store, peers, clock, metrics, shared: Arc::default() }
    }

    /// Returns the wrapped store, whose calls are never relayed.
    pub fn direct(&self) -> &S {
        &self.store
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// [`RowError`] if the store answered neither directly nor through another coordinator.
    pub async fn read(&self, key: &RowKey) -> RowResult<Option<StoredRow>> {
        match self.call(StoreRequest::Read(key.clone())).await? {
            StoreAnswer::Row(row) => Ok(row),
            StoreAnswer::Version(_) => Err(unexpected_answer()),
        }
    }

    /// Applies a transaction.
    ///
    /// # Errors
    ///
    /// [`RowError`]; after [`RowError::Unknown`] the same transaction may be repeated.
    pub async fn transact(&self, transaction: &Transaction) -> RowResult<u64> {
        match self.call(StoreRequest::Transact(transaction.clone())).await? {
            StoreAnswer::Version(version) => {
                self.record_version(version);
                Ok(version)
            }
            StoreAnswer::Row(_) => Err(unexpected_answer()),
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
        // A write without an answer leaves its client with an unknown result, so a read first checks whether the store
        // answers.
        if failures >= FAILURES_UNTIL_DOWN {
            return Err(RowError::Unavailable {
                reason: "the store did not answer the last calls; this call was not sent"
                    .to_owned(),
            });
        }
        self.probe().await?;
        self.call_directly(&request).await
    }

    fn has_helper(&self) -> bool {
        self.peers.best_store_age_ms() < HELPER_STORE_AGE_MS
    }

    /// Reads a row to find out whether the store answers.
    async fn probe(&self) -> RowResult<()> {
        let key = head_key();
        let answer = tokio::time::timeout(PROBE_TIMEOUT, self.store.read(&key)).await;
        let answer = answer.unwrap_or_else(|_| {
            Err(RowError::Unavailable {
                reason: "no answer in time to a read that checks the store".to_owned(),
            })
        });
        self.record_answer(&answer);
        answer.map(|_| ())
    }

    /// Returns whether the last call had no answer of the store.
    pub fn is_failing(&self) -> bool {
        self.shared.failures.load(Ordering::Relaxed) > 0
    }

    /// Calls the store for another coordinator.
    ///
    /// # Errors
    ///
    /// [`RowError`]; without a call if the store does not answer this coordinator either.
    pub async fn call_for_peer(&self, request: &StoreRequest) -> RowResult<StoreAnswer> {
        if self.is_failing() {
            let reason = "the store does not answer the relaying coordinator either".to_owned();
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
        self.record_answer(&answer);
        answer
    }

    /// Records whether the store answered a call.
    pub fn record_answer<T>(&self, answer: &RowResult<T>) {
        self.metrics.count("store", answer_name(answer));
        match answer {
            Err(RowError::Unavailable { reason } | RowError::Unknown { reason }) => {
                let before = self.shared.failures.fetch_add(1, Ordering::Relaxed);
                if before == 0 {
                    log::warn!(
                        reason = reason.as_str();
                        "store does not answer; calls are relayed through another coordinator if possible"
                    );
                }
            }
            Ok(_)
            | Err(
                RowError::Conflict { .. } | RowError::HistoryUnavailable | RowError::Refused { .. },
            ) => {
                self.shared.answered_ms.fetch_max(self.clock.now_ms(), Ordering::Relaxed);
                let before = self.shared.failures.swap(0, Ordering::Relaxed);
                if before > 0 {
                    log::info!(failures = before; "store answers again");
                }
            }
        }
    }

    /// Records a version of the store from an answer.
    pub fn record_version(&self, version: u64) {
        self.shared.newest_version.fetch_max(version, Ordering::Relaxed);
    }

    /// Returns the newest version of the store that this coordinator knows. What is newer was written after the last answer.
    pub fn newest_version(&self) -> u64 {
        self.shared.newest_version.load(Ordering::Relaxed)
    }

    /// Returns the time of the last call that the store answered, in milliseconds of the steady clock, if there is one.
    pub fn answered_ms(&self) -> Option<u64> {
        Some(self.shared.answered_ms.load(Ordering::Relaxed)).filter(|at_ms| *at_ms > 0)
    }

    /// Calls the store through another coordinator.
    async fn relay(&self, request: &StoreRequest) -> RowResult<StoreAnswer> {
        let call = self.shared.next_call.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.with_pending(|pending| pending.insert(call, sender));
        let message = PeerMessage::Relay { call, request: request.clone() };
        let is_sent = self.peers.send_to_best(message);
        let answer = match is_sent {
            true => tokio::time::timeout(RELAY_TIMEOUT, receiver).await,
            false => Ok(Ok(Err(RowError::Unavailable {
                reason: "no other coordinator is connected to relay the call".to_owned(),
            }))),
        };
        self.with_pending(|pending| pending.remove(&call));
        match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(RowError::Unknown {
                reason: "the relaying coordinator did not answer in time".to_owned(),
            }),
        }
    }

    /// Passes the answer to a relayed call to the caller.
    pub fn on_relayed_answer(&self, call: u64, answer: RowResult<StoreAnswer>) {
        if let Some(sender) = self.with_pending(|pending| pending.remove(&call)) {
            // The receiver is dropped if the caller has timed out.
            let _ = sender.send(answer);
        }
    }

    fn with_pending<T, F>(&self, change: F) -> T
    where
        F: FnOnce(&mut PendingCalls) -> T,
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
        Err(RowError::HistoryUnavailable) => "history_gone",
        Err(RowError::Refused { .. }) => "refused",
    }
}

fn unexpected_answer() -> RowError {
    RowError::Unavailable {
        reason: "the relaying coordinator sent an answer of the wrong kind".to_owned(),
    }
}
