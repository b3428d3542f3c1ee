//! Divides the durable state of an occurrence into parts, each of which fits into one row of the store.
//!
//! A job has up to [`MAX_TASKS`](super::MAX_TASKS) tasks, and the length of their checkpoints has no limit. Each part holds
//! the states of a fixed range of tasks. Parts that change together are written in one transaction, so the parts of an
//! occurrence always belong together. See docs/incidents/2026-12-06-row-too-large.md.

use std::collections::BTreeMap;
use std::ops::Range;

use super::{OccurrenceRecord, TaskRecord};

/// Number of tasks whose states are in one part. All parts of an occurrence fit into one transaction of 1 MB as long as
/// each has at most [`MAX_PART_BYTES`].
const TASKS_PER_PART: usize = 64;
/// Maximum size of an encoded part in bytes.
pub const MAX_PART_BYTES: usize = 40_960;

/// Returns the part that holds the state of the task at a position.
pub fn part_of(position: usize) -> u16 {
    (position / TASKS_PER_PART) as u16
}

/// Returns the number of parts of an occurrence with this number of tasks; at least 1.
pub fn part_count(tasks: usize) -> u16 {
    tasks.div_ceil(TASKS_PER_PART).max(1) as u16
}

/// Returns the positions of the tasks of a part, in an occurrence with this number of tasks.
pub fn part_range(part: u16, tasks: usize) -> Range<usize> {
    let start = usize::from(part) * TASKS_PER_PART;
    start.min(tasks)..(start + TASKS_PER_PART).min(tasks)
}

impl OccurrenceRecord {
    /// Encodes the record, without the longest checkpoints if it exceeds `limit_bytes`. Returns how many were left out;
    /// their tasks start from the beginning if a new leader has to start them again.
    pub fn encode_within(mut self, limit_bytes: usize) -> (Vec<u8>, usize) {
        let encoded = self.encode();
        if encoded.len() <= limit_bytes {
            return (encoded, 0);
        }
        let length = |task: &TaskRecord| task.checkpoint.as_ref().map(String::len);
        let tasks = self.tasks.iter().enumerate();
        let mut lengths: Vec<(usize, usize)> =
            tasks.filter_map(|(index, task)| Some((length(task)?, index))).collect();
        lengths.sort_unstable();
        let (mut bytes, mut omitted) = (encoded.len(), 0);
        while bytes > limit_bytes
            && let Some((length, index)) = lengths.pop()
        {
            self.tasks[index].checkpoint = None;
            bytes -= length;
            omitted += 1;
        }
        (self.encode(), omitted)
    }
}

/// Stored parts of an occurrence.
#[derive(Debug, Default)]
pub struct StoredParts(BTreeMap<u16, OccurrenceRecord>);

/// State of an occurrence that was put together from its parts.
#[derive(Debug, PartialEq, Eq)]
pub struct AssembledRecord {
    /// State of the occurrence.
    pub record: OccurrenceRecord,
    /// An earlier version wrote the states of all tasks into the first part. All parts have to be written before the
    /// first one is replaced.
    pub is_in_one_part: bool,
}

impl StoredParts {
    /// Adds a part.
    pub fn insert(&mut self, part: u16, record: OccurrenceRecord) {
        self.0.insert(part, record);
    }

    /// Puts the parts of an occurrence with this number of tasks together. Missing parts are those whose tasks have not
    /// started. Returns `None` if the parts do not match the number of tasks.
    pub fn assemble(mut self, tasks: usize) -> Option<AssembledRecord> {
        let first = self.0.remove(&0);
        let is_finished =
            first.as_ref().is_some_and(|first| first.tasks.is_empty() && is_final(first));
        let mut record = first.unwrap_or_default();
        if is_finished {
            // Only the first part remains; the removal of the others may not have been noticed by a slow list.
            return Some(AssembledRecord { record, is_in_one_part: false });
        }
        let first_range = part_range(0, tasks);
        let is_in_one_part = part_count(tasks) > 1 && record.tasks.len() == tasks;
        let is_complete = [0, first_range.len(), tasks].contains(&record.tasks.len());
        if !is_complete {
            return None;
        }
        record.tasks.resize(tasks, TaskRecord::default());
        let mut has_failures = !record.failed_attempts.is_empty();
        record.failed_attempts.resize(tasks, 0);
        for (part, other) in self.0 {
            let range = part_range(part, tasks);
            if other.tasks.len() != range.len() {
                return None;
            }
            record.tasks[range.clone()].clone_from_slice(&other.tasks);
            has_failures |= !other.failed_attempts.is_empty();
            let failed_attempts = other.failed_attempts.iter().copied();
            for (position, attempt) in range.zip(failed_attempts.chain(std::iter::repeat(0))) {
                record.failed_attempts[position] = attempt;
            }
        }
        if !has_failures {
            record.failed_attempts.clear();
        }
        Some(AssembledRecord { record, is_in_one_part })
    }
}

/// Returns whether a record without tasks is that of an occurrence that needs none any more.
fn is_final(record: &OccurrenceRecord) -> bool {
    record.done || record.job_result.is_some()
}
