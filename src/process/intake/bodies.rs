//! Accounts for the bytes of bodies or frames that are being received, and gives up the slowest over a bound.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::Notify;

use super::shed::{Progress, select_body};
use crate::process::MonotonicClock;

/// A body or frame was given up because the bound of all of them was exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shed;

/// Bound of the bytes that are held for bodies or frames in progress. Clones share their state.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    book: Arc<Mutex<Book>>,
    released: Arc<Notify>,
    clock: MonotonicClock,
}

#[derive(Debug)]
struct Book {
    limit_bytes: usize,
    entries: BTreeMap<u64, Entry>,
    next_key: u64,
}

#[derive(Debug)]
struct Entry {
    progress: Progress,
    is_shed: bool,
    shed: Arc<Notify>,
}

/// Result of an attempt to reserve bytes.
enum Reservation {
    Granted,
    /// Others were given up; their memory is released soon.
    Waiting,
    Shed,
}

impl Book {
    fn held_bytes(&self) -> usize {
        self.entries.values().map(|entry| entry.progress.held_bytes).sum()
    }

    /// Bytes that are held after all given up entries are released.
    fn kept_bytes(&self) -> usize {
        let kept = self.entries.values().filter(|entry| !entry.is_shed);
        kept.map(|entry| entry.progress.held_bytes).sum()
    }

    fn reserve(&mut self, now_ms: u64, key: u64, extra_bytes: usize) -> Reservation {
        loop {
            if self.entries.get(&key).is_none_or(|entry| entry.is_shed) {
                return Reservation::Shed;
            }
            let is_only = self.entries.len() == 1;
            if is_only || self.held_bytes().saturating_add(extra_bytes) <= self.limit_bytes {
                if let Some(entry) = self.entries.get_mut(&key) {
                    entry.progress.held_bytes += extra_bytes;
                }
                return Reservation::Granted;
            }
            let kept = || self.entries.iter().filter(|(_, entry)| !entry.is_shed);
            let is_last = kept().count() == 1;
            if is_last || self.kept_bytes().saturating_add(extra_bytes) <= self.limit_bytes {
                return Reservation::Waiting;
            }
            let victim = select_body(now_ms, kept().map(|(key, entry)| (*key, entry.progress)));
            if let Some(entry) = victim.and_then(|victim| self.entries.get_mut(&victim)) {
                entry.is_shed = true;
                entry.shed.notify_one();
            }
        }
    }
}

impl ByteBudget {
    /// Creates a budget of `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        let book = Book { limit_bytes, entries: BTreeMap::new(), next_key: 0 };
        Self {
            book: Arc::new(Mutex::new(book)),
            released: Arc::default(),
            clock: MonotonicClock::start(),
        }
    }

    fn with_book<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut Book) -> T,
    {
        work(&mut self.book.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the bytes that are held.
    pub fn held_bytes(&self) -> usize {
        self.with_book(|book| book.held_bytes())
    }

    /// Registers a body or frame that begins now.
    pub fn claim(&self) -> ByteClaim {
        let progress =
            Progress { started_ms: self.clock.now_ms(), received_bytes: 0, held_bytes: 0 };
        let shed = Arc::<Notify>::default();
        let entry = Entry { progress, is_shed: false, shed: shed.clone() };
        let key = self.with_book(|book| {
            book.next_key += 1;
            book.entries.insert(book.next_key, entry);
            book.next_key
        });
        ByteClaim { budget: self.clone(), key, shed }
    }
}

/// Bytes that are held for one body or frame, until this value is dropped.
#[derive(Debug)]
pub struct ByteClaim {
    budget: ByteBudget,
    key: u64,
    shed: Arc<Notify>,
}

impl ByteClaim {
    /// Records received bytes.
    pub fn record_received(&self, received_bytes: usize) {
        self.budget.with_book(|book| {
            if let Some(entry) = book.entries.get_mut(&self.key) {
                entry.progress.received_bytes = received_bytes;
            }
        });
    }

    /// Reserves memory before it is allocated, and waits until those that are given up in favour of this one have
    /// released theirs. A single body or frame is always granted.
    ///
    /// # Errors
    ///
    /// [`Shed`] if this one is given up.
    pub async fn reserve(&self, extra_bytes: usize) -> Result<(), Shed> {
        loop {
            let released = self.budget.released.notified();
            tokio::pin!(released);
            released.as_mut().enable();
            let now_ms = self.budget.clock.now_ms();
            match self.budget.with_book(|book| book.reserve(now_ms, self.key, extra_bytes)) {
                Reservation::Granted => return Ok(()),
                Reservation::Shed => return Err(Shed),
                Reservation::Waiting => tokio::select! {
                    () = released => {}
                    () = self.shed.notified() => return Err(Shed),
                },
            }
        }
    }

    /// Waits until this one is given up.
    pub async fn given_up(&self) {
        self.shed.notified().await;
    }
}

impl Drop for ByteClaim {
    fn drop(&mut self) {
        self.budget.with_book(|book| book.entries.remove(&self.key));
        self.budget.released.notify_waiters();
    }
}
