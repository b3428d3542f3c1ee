//! What happened to the latest attempts of a connection, so that no copy of one starts.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// The most sequence numbers that are remembered one by one.
///
/// An entry has at most a few hundred attempts outstanding on a connection, so a number this far behind the highest one
/// is a copy.
const WINDOW_ATTEMPTS: u64 = 4_096;

/// What is known of one sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Mark {
    /// Nothing arrived with this number.
    Unseen,
    /// The attempt was refused, or has a tombstone. It never started, and never will.
    NotRun,
    /// The attempt started.
    Started,
}

/// The marks of one connection.
///
/// A mark is never forgotten before every copy of its attempt is dead. A sequence number below the window counts as
/// used up, so an attempt that carries it never starts; and the window itself lives as long as its connection, outside
/// of which no attempt with its numbers can arrive. Memory is bounded by the size of the window.
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

    /// Returns the mark of a number, or `None` below the window.
    pub(super) fn get(&self, sequence: u64) -> Option<Mark> {
        let place = sequence.checked_sub(self.base)?;
        let mark = usize::try_from(place).ok().and_then(|place| self.marks.get(place));
        Some(mark.copied().unwrap_or(Mark::Unseen))
    }

    /// Sets the mark of a number, and moves the window up if the number is above it.
    pub(super) fn set(&mut self, sequence: u64, mark: Mark) {
        let Some(place) = sequence.checked_sub(self.base) else { return };
        let excess = (place + 1).saturating_sub(WINDOW_ATTEMPTS);
        if excess > 0 {
            self.marks.drain(..self.marks.len().min(excess as usize));
            self.base += excess;
        }
        let place = (sequence - self.base) as usize;
        if self.marks.len() <= place {
            self.marks.resize(place + 1, Mark::Unseen);
        }
        self.marks[place] = mark;
    }
}
