//! The client connections of a listener: their phases, and which of them are closed at a bound.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Buf;
use futures::Stream;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

use super::shed::{ConnectionState, Phase, select_connection};
use super::{Body, BodyError, BodyLimits, Intake, IntakeReport, Reason};
use crate::process::MonotonicClock;

/// Time for a head, from its first byte on. Clients send a head within 3,000 ms; the rest is for the network and for a
/// process that reads late.
pub(super) const HEAD_TIMEOUT_MS: u64 = 4_000;
/// Time after which a connection is closed whose client reads nothing of an answer. Clients wait for 3,000 ms for all of it.
const ANSWER_TIMEOUT_MS: u64 = 10_000;
/// Requests in progress that may have arrived before the answer to the previous one on their connection. Few, since each
/// is followed by the next one at once.
const PIPELINED_REQUESTS: usize = 8;

/// Bounds of the connections of a listener.
#[derive(Clone, Copy, Debug)]
pub(super) struct TableLimits {
    pub connections: usize,
    pub requests: usize,
    pub head_bytes: usize,
}

/// The connections of a listener. Clones share their state.
#[derive(Clone, Debug)]
pub(super) struct ConnectionTable {
    entries: Arc<Mutex<BTreeMap<u64, Entry>>>,
    limits: TableLimits,
    report: IntakeReport,
    clock: MonotonicClock,
    /// Permits of requests that arrived before the answer to the previous one on their connection.
    pipelined: Arc<Semaphore>,
}

#[derive(Debug)]
struct Entry {
    state: ConnectionState,
    /// Set once the connection is to be closed, with whether its client gets a 408 response.
    closing: Option<bool>,
    close: Arc<Notify>,
}

impl Entry {
    fn close(&mut self, is_late_head: bool) {
        self.closing = Some(is_late_head);
        self.close.notify_one();
    }
}

impl ConnectionTable {
    pub fn new(limits: TableLimits, report: IntakeReport) -> Self {
        let pipelined = Arc::new(Semaphore::new(PIPELINED_REQUESTS.min(limits.requests)));
        let clock = MonotonicClock::start();
        Self { entries: Arc::default(), limits, report, clock, pipelined }
    }

    fn with_entries<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut BTreeMap<u64, Entry>) -> T,
    {
        work(&mut self.entries.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Registers an accepted connection and closes others if there are too many. Returns `None` if the new connection
    /// itself is refused.
    pub fn open(&self, key: u64) -> Option<ConnectionRecord> {
        let now_ms = self.clock.now_ms();
        let close = Arc::<Notify>::default();
        let state = ConnectionState {
            phase: Phase::New,
            since_ms: now_ms,
            received_bytes: 0,
            blocked_since_ms: None,
        };
        let is_accepted = self.with_entries(|entries| {
            entries.insert(key, Entry { state, closing: None, close: close.clone() });
            let open = entries.values().filter(|entry| entry.closing.is_none()).count();
            if open <= self.limits.connections {
                return true;
            }
            self.report.record(Reason::Connections);
            let victim = select_connection(now_ms, open_states(entries));
            if let Some(entry) = victim.and_then(|victim| entries.get_mut(&victim)) {
                entry.close(false);
            }
            let is_kept = victim.is_some_and(|victim| victim != key);
            if !is_kept {
                entries.remove(&key);
            }
            is_kept
        });
        is_accepted.then(|| ConnectionRecord { table: self.clone(), key, close })
    }

    /// Closes connections whose client has not read an answer or sent a head in time, and the oldest incomplete heads if
    /// they take too much memory together.
    pub fn enforce_limits(&self) {
        let now_ms = self.clock.now_ms();
        self.with_entries(|entries| {
            for entry in entries.values_mut().filter(|entry| entry.closing.is_none()) {
                let is_unread = entry.state.blocked_ms(now_ms) >= Some(ANSWER_TIMEOUT_MS);
                if is_unread && entry.state.phase != Phase::Handling {
                    entry.close(false);
                    self.report.record(Reason::AnswerTimeout);
                }
            }
            let mut heads: Vec<(u64, u64, usize)> = open_states(entries)
                .filter(|(_, state)| state.phase == Phase::Head)
                .map(|(key, state)| (state.since_ms, key, state.received_bytes))
                .collect();
            heads.sort_unstable();
            let mut total_bytes: usize = heads.iter().map(|(_, _, bytes)| bytes).sum();
            for (since_ms, key, bytes) in heads {
                let is_late = now_ms >= since_ms + HEAD_TIMEOUT_MS;
                if !is_late && total_bytes <= self.limits.head_bytes {
                    continue;
                }
                total_bytes -= bytes;
                if let Some(entry) = entries.get_mut(&key) {
                    entry.close(true);
                }
                let reason = if is_late { Reason::HeadTimeout } else { Reason::HeadBytes };
                self.report.record(reason);
            }
        });
    }

    /// Returns the number of open connections and that of the requests in progress.
    pub fn counts(&self) -> (usize, usize) {
        self.with_entries(|entries| (entries.len(), requests(entries)))
    }
}

fn open_states(entries: &BTreeMap<u64, Entry>) -> impl Iterator<Item = (u64, ConnectionState)> {
    let open = entries.iter().filter(|(_, entry)| entry.closing.is_none());
    open.map(|(key, entry)| (*key, entry.state))
}

fn requests(entries: &BTreeMap<u64, Entry>) -> usize {
    let is_request = |entry: &&Entry| {
        matches!(entry.state.phase, Phase::Body | Phase::Handling | Phase::Answering)
    };
    entries.values().filter(is_request).count()
}

/// Entry of one connection in the table, until this value is dropped.
#[derive(Debug)]
pub(super) struct ConnectionRecord {
    table: ConnectionTable,
    key: u64,
    close: Arc<Notify>,
}

impl ConnectionRecord {
    /// Returns a handle that updates the entry, and reads bodies within the bounds of the process.
    pub fn guard(&self, intake: &Intake) -> RequestGuard {
        RequestGuard { table: self.table.clone(), key: self.key, intake: intake.clone() }
    }

    /// Waits until the connection is to be closed. Returns whether its client gets a 408 response.
    pub async fn closing(&self) -> bool {
        self.close.notified().await;
        self.table.with_entries(|entries| {
            entries.get(&self.key).and_then(|entry| entry.closing).unwrap_or_default()
        })
    }
}

impl Drop for ConnectionRecord {
    fn drop(&mut self) {
        self.table.with_entries(|entries| entries.remove(&self.key));
    }
}

/// Handle by which a request reports its phase. A request that is being handled is never interrupted.
#[derive(Clone, Debug)]
pub struct RequestGuard {
    table: ConnectionTable,
    key: u64,
    intake: Intake,
}

impl RequestGuard {
    /// Reads the body of the request within the bounds of the process.
    ///
    /// # Errors
    ///
    /// [`BodyError`]; the request was not acted on.
    pub async fn read_body<S, B>(
        &self,
        length: Option<u64>,
        stream: S,
        limits: BodyLimits,
    ) -> Result<Body, BodyError>
    where
        S: Stream<Item = Result<B, warp::Error>> + Send,
        B: Buf,
    {
        self.intake.read_body(length, stream, limits, Some(self)).await
    }

    fn update<F>(&self, change: F)
    where
        F: FnOnce(&mut ConnectionState),
    {
        self.table.with_entries(|entries| {
            if let Some(entry) = entries.get_mut(&self.key) {
                change(&mut entry.state);
            }
        });
    }

    fn begin(&self, phase: Phase) {
        let since_ms = self.table.clock.now_ms();
        self.update(|state| {
            *state = ConnectionState { phase, since_ms, received_bytes: 0, ..*state }
        });
    }

    /// Records received bytes; they begin a head unless a request is in progress.
    pub(super) fn record_received(&self, bytes: usize) {
        let now_ms = self.table.clock.now_ms();
        self.update(|state| {
            if matches!(state.phase, Phase::New | Phase::Idle) {
                let phase = Phase::Head;
                *state = ConnectionState { phase, since_ms: now_ms, received_bytes: 0, ..*state };
            }
            state.received_bytes += bytes;
        });
    }

    /// Records whether bytes wait for the client, since the kernel accepts no more of them.
    pub(super) fn record_blocked(&self, is_blocked: bool) {
        let now_ms = self.table.clock.now_ms();
        self.update(|state| {
            state.blocked_since_ms = is_blocked.then(|| state.blocked_since_ms.unwrap_or(now_ms));
        });
    }

    /// Waits for the turn of a request that arrived before the answer to the previous one on its connection. Other
    /// requests do not wait. The turn lasts until the returned permit is dropped.
    ///
    /// Load pattern: connections that each send thousands of requests in a row would otherwise occupy all places for
    /// requests without end, since the next one begins as soon as the previous one is answered.
    pub(super) async fn wait_for_turn(&self) -> Option<OwnedSemaphorePermit> {
        // Received bytes end the idle phase, so that the head of this request was received before it began.
        let is_pipelined = self.table.with_entries(|entries| {
            entries.get(&self.key).is_some_and(|entry| entry.state.phase == Phase::Idle)
        });
        if !is_pipelined {
            return None;
        }
        self.begin(Phase::Queued);
        // The semaphore is never closed.
        let turn = self.table.pipelined.clone().acquire_owned().await.ok();
        // Other connections that became ready meanwhile are served first.
        tokio::task::yield_now().await;
        turn
    }

    /// Begins a request whose head is complete, if not too many are in progress. A slower body, or an answer that is not
    /// read, is given up for it.
    pub(super) fn begin_request(&self, has_body: bool) -> bool {
        let now_ms = self.table.clock.now_ms();
        let is_admitted = self.table.with_entries(|entries| {
            if requests(entries) < self.table.limits.requests {
                return true;
            }
            let others = open_states(entries)
                .filter(|(_, state)| matches!(state.phase, Phase::Body | Phase::Answering));
            let victim = select_connection(now_ms, others);
            if let Some(entry) = victim.and_then(|victim| entries.get_mut(&victim)) {
                entry.close(false);
            }
            victim.is_some()
        });
        if !is_admitted {
            return false;
        }
        self.begin(if has_body { Phase::Body } else { Phase::Handling });
        true
    }

    /// Records that the body is complete. From now on the request may be acted on.
    pub fn begin_handling(&self) {
        self.begin(Phase::Handling);
    }

    /// Records that the request was handled, and its answer is being sent.
    pub(super) fn begin_answer(&self) {
        self.begin(Phase::Answering);
    }

    /// Records that the request is answered.
    pub(super) fn end_request(&self) {
        self.begin(Phase::Idle);
    }

    /// Returns the report of the listener.
    pub(super) fn report(&self) -> &IntakeReport {
        &self.table.report
    }
}
