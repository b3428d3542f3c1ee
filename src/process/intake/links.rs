//! Bounds of the memory that connections between processes take: incomplete frames, decoded messages that wait for their
//! actor, and encoded messages that wait for their receiver.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

use super::shed::{Progress, select_body};
use super::{ByteBudget, IntakeLimits, Shed};
use crate::process::MonotonicClock;

/// Memory of a decoded message, relative to its frame: names and lists take several times their encoded size.
const DECODED_FACTOR: usize = 4;

/// Bounds of all connections between a process and others. Clones share their state.
#[derive(Clone, Debug)]
pub struct LinkBounds {
    /// Bytes of incomplete frames.
    pub frames: ByteBudget,
    /// Decoded messages that wait to be handled.
    pub messages: MessageBudget,
    /// Encoded messages that wait to be sent.
    pub queues: QueueBudget,
}

impl LinkBounds {
    /// Creates the bounds of a process.
    pub fn new(limits: &IntakeLimits) -> Self {
        Self {
            frames: ByteBudget::new(limits.frame_bytes),
            messages: MessageBudget::new(limits.message_bytes),
            queues: QueueBudget::new(limits.queue_bytes),
        }
    }
}

/// Bound of the decoded messages that wait to be handled. Clones share their state.
#[derive(Clone, Debug)]
pub struct MessageBudget {
    limit_kib: usize,
    free_kib: Arc<Semaphore>,
}

/// Memory of a message, until this value is dropped.
#[derive(Debug)]
pub struct HeldMemory {
    _permit: OwnedSemaphorePermit,
}

impl MessageBudget {
    /// Creates a budget of `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        let limit_kib = (limit_bytes / 1_024).clamp(1, u32::MAX as usize);
        Self { limit_kib, free_kib: Arc::new(Semaphore::new(limit_kib)) }
    }

    /// Waits for the memory of a message with a frame of `frame_bytes`. A message that exceeds the budget gets all of it.
    pub async fn hold(&self, frame_bytes: usize) -> Option<HeldMemory> {
        let wanted_kib = (frame_bytes.saturating_mul(DECODED_FACTOR) / 1_024).min(self.limit_kib);
        let wanted_kib = u32::try_from(wanted_kib).unwrap_or(u32::MAX).max(1);
        // The semaphore is never closed.
        let permit = self.free_kib.clone().acquire_many_owned(wanted_kib).await.ok()?;
        Some(HeldMemory { _permit: permit })
    }
}

/// Bound of the messages that wait to be sent on all connections. Clones share their state.
///
/// Over the bound, the connection is closed whose receiver reads the slowest. Load pattern: some receivers that stop
/// reading while a process sends to hundreds of them.
#[derive(Clone, Debug)]
pub struct QueueBudget {
    book: Arc<Mutex<QueueBook>>,
    clock: MonotonicClock,
}

#[derive(Debug)]
struct QueueBook {
    limit_bytes: usize,
    queues: BTreeMap<u64, Queue>,
    next_key: u64,
}

#[derive(Debug)]
struct Queue {
    /// Bytes that wait, and those that were sent since the queue was empty.
    progress: Progress,
    is_closing: bool,
    close: Arc<Notify>,
}

impl QueueBook {
    fn kept_bytes(&self) -> usize {
        let kept = self.queues.values().filter(|queue| !queue.is_closing);
        kept.map(|queue| queue.progress.held_bytes).sum()
    }

    fn add(&mut self, now_ms: u64, key: u64, bytes: usize) -> Result<(), Shed> {
        let Some(queue) = self.queues.get_mut(&key).filter(|queue| !queue.is_closing) else {
            return Err(Shed);
        };
        let is_first = queue.progress.held_bytes == 0;
        if is_first {
            queue.progress = Progress { started_ms: now_ms, received_bytes: 0, held_bytes: 0 };
        }
        queue.progress.held_bytes += bytes;
        while self.kept_bytes() > self.limit_bytes {
            let waiting = self.queues.iter().filter(|(other, queue)| {
                let is_only_message = is_first && **other == key;
                !queue.is_closing && queue.progress.held_bytes > 0 && !is_only_message
            });
            let victim = select_body(now_ms, waiting.map(|(key, queue)| (*key, queue.progress)));
            let Some(queue) = victim.and_then(|victim| self.queues.get_mut(&victim)) else {
                break;
            };
            queue.is_closing = true;
            queue.close.notify_one();
            if victim == Some(key) {
                queue.progress.held_bytes -= bytes;
                return Err(Shed);
            }
        }
        Ok(())
    }
}

impl QueueBudget {
    /// Creates a budget of `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        let book = QueueBook { limit_bytes, queues: BTreeMap::new(), next_key: 0 };
        Self { book: Arc::new(Mutex::new(book)), clock: MonotonicClock::start() }
    }

    fn with_book<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut QueueBook) -> T,
    {
        work(&mut self.book.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the bytes that wait on connections that are not given up.
    pub fn kept_bytes(&self) -> usize {
        self.with_book(|book| book.kept_bytes())
    }

    /// Registers a connection.
    pub fn claim(&self) -> QueueClaim {
        let close = Arc::<Notify>::default();
        let started_ms = self.clock.now_ms();
        let progress = Progress { started_ms, received_bytes: 0, held_bytes: 0 };
        let queue = Queue { progress, is_closing: false, close: close.clone() };
        let key = self.with_book(|book| {
            book.next_key += 1;
            book.queues.insert(book.next_key, queue);
            book.next_key
        });
        QueueClaim(Arc::new(QueueEntry { budget: self.clone(), key, close }))
    }
}

/// Entry of a connection, until all clones and all its queued messages are dropped.
#[derive(Clone, Debug)]
pub struct QueueClaim(Arc<QueueEntry>);

#[derive(Debug)]
struct QueueEntry {
    budget: QueueBudget,
    key: u64,
    close: Arc<Notify>,
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.budget.with_book(|book| book.queues.remove(&self.key));
    }
}

impl QueueClaim {
    /// Records a message that waits to be sent. The only message of a connection is always accepted.
    ///
    /// # Errors
    ///
    /// [`Shed`] if the connection is given up.
    pub fn add(&self, bytes: usize) -> Result<QueuedBytes, Shed> {
        let QueueEntry { budget, key, .. } = &*self.0;
        let now_ms = budget.clock.now_ms();
        budget.with_book(|book| book.add(now_ms, *key, bytes))?;
        Ok(QueuedBytes { claim: self.clone(), bytes })
    }

    /// Waits until the connection is given up.
    pub async fn given_up(&self) {
        self.0.close.notified().await;
    }
}

/// Bytes of a message that waits to be sent, until this value is dropped.
#[derive(Debug)]
pub struct QueuedBytes {
    claim: QueueClaim,
    bytes: usize,
}

impl Drop for QueuedBytes {
    fn drop(&mut self) {
        let QueueEntry { budget, key, .. } = &*self.claim.0;
        budget.with_book(|book| {
            if let Some(queue) = book.queues.get_mut(key) {
                queue.progress.held_bytes = queue.progress.held_bytes.saturating_sub(self.bytes);
                queue.progress.received_bytes += self.bytes;
            }
        });
    }
}
