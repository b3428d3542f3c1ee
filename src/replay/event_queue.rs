//! The virtual clock and the queue of pending events of a simulation.

use std::collections::BTreeMap;

/// Queue of pending events, ordered by due time and then by insertion.
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
    /// Returns the virtual time, in milliseconds.
    pub(super) fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Adds an item that is due after a delay.
    pub(super) fn after(&mut self, delay_ms: u64, item: T) {
        self.at(self.now_ms + delay_ms, item);
    }

    /// Adds an item that is due at a time, or now if that time has passed.
    pub(super) fn at(&mut self, at_ms: u64, item: T) {
        self.added += 1;
        self.due.insert((at_ms.max(self.now_ms), self.added), item);
    }

    /// Removes the next item and advances the clock to its due time.
    pub(super) fn next(&mut self) -> Option<T> {
        let ((at_ms, _), item) = self.due.pop_first()?;
        self.now_ms = at_ms;
        Some(item)
    }
}
