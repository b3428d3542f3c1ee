//! States of the latest attempts of a connection, so that no duplicate of an attempt starts.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// The number of sequence numbers whose state is kept.
///
/// An entry has at most a few hundred attempts outstanding on a connection, so a message with a number this far below
/// the highest one is a duplicate.
const WINDOW_ATTEMPTS: u64 = 4_096;

/// The state of the attempt with a sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Mark {
    /// Neither the attempt nor its cancellation arrived.
    Unseen,
    /// The attempt was refused or cancelled, or the endpoint was unreachable. It never ran, and never will.
    NotRun,
    /// The attempt was forwarded to the endpoint.
    Started,
}

/// The states of the attempts of one connection.
///
/// A state is discarded only when no duplicate of its attempt can start any more: an attempt with a sequence number
/// below the window never starts, and the window is kept until its connection ends, after which no attempt with its
/// numbers can arrive. The size of the window bounds the memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct AttemptWindow {
    /// The lowest number in the window.
    base: u64,
    marks: VecDeque<Mark>,
}

impl AttemptWindow {
    pub(super) fn new() -> Self {
        Self { base: 1, marks: VecDeque::new() }
    }

    /// Returns the state of a sequence number, or `None` if it is below the window.
    pub(super) fn get(&self, sequence: u64) -> Option<Mark> {
        let index = sequence.checked_sub(self.base)?;
        let mark = usize::try_from(index).ok().and_then(|index| self.marks.get(index));
        Some(mark.copied().unwrap_or(Mark::Unseen))
    }

    /// Sets the state of a sequence number, and advances the window if the number is above it. Ignores numbers below
    /// it.
    pub(super) fn set(&mut self, sequence: u64, mark: Mark) {
        let Some(index) = sequence.checked_sub(self.base) else { return };
        let excess = (index + 1).saturating_sub(WINDOW_ATTEMPTS);
        if excess > 0 {
            self.marks.drain(..self.marks.len().min(excess as usize));
            self.base += excess;
        }
        let index = (sequence - self.base) as usize;
        if self.marks.len() <= index {
            self.marks.resize(index + 1, Mark::Unseen);
        }
        self.marks[index] = mark;
    }
}
