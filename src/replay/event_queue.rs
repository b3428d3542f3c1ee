//! The virtual clock and the queue of what happens next.

use std::collections::BTreeMap;

/// What is due, ordered by time and then by the order in which it was added.
#[derive(Debug)]
pub(super) struct EventQueue<T> {
    due: BTreeMap<(u64, u64), T>,
    added: u64,
    now_ms: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self { due: BTreeMap::new(), added: 0, now_ms: 0 }
    }
}

impl<T> EventQueue<T> {
    /// The virtual time, in milliseconds.
    pub(super) fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Adds something that is due after a time.
    pub(super) fn after(&mut self, delay_ms: u64, item: T) {
        self.at(self.now_ms + delay_ms, item);
    }

    /// Adds something that is due at a time, or now if that time has passed.
    pub(super) fn at(&mut self, at_ms: u64, item: T) {
        self.added += 1;
        self.due.insert((at_ms.max(self.now_ms), self.added), item);
    }

    /// Takes the next item and moves the clock to its time.
    pub(super) fn next(&mut self) -> Option<T> {
        let ((at_ms, _), item) = self.due.pop_first()?;
        self.now_ms = at_ms;
        Some(item)
    }
}
