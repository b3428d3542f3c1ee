//! The keys of the rows that hold the states of occurrences.

use super::PROGRESS_TABLE;
use crate::prelude::*;
use crate::store::RowKey;

/// Returns the key of the row that holds a part of an occurrence. That of the first part has no number: earlier versions
/// wrote the whole state there.
pub fn progress_key(job: &JobId, occurrence: u32, part: u16) -> RowKey {
    match part {
        0 => RowKey::new(PROGRESS_TABLE, &format!("{job}.{occurrence}")),
        _ => RowKey::new(PROGRESS_TABLE, &format!("{job}.{occurrence}.{part}")),
    }
}

/// The meaning of a row's key in the table of states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressKey<'a> {
    /// The identifier of the job.
    pub job: &'a str,
    /// The numbers of the occurrence and of the part, or `None` if they are malformed.
    pub numbers: Option<(u32, u16)>,
}

impl<'a> ProgressKey<'a> {
    /// Decodes the key of a row. Returns `None` for the head row, which belongs to no job.
    pub fn decode(key: &'a str) -> Option<Self> {
        let (job, numbers) = key.split_once('.')?;
        let (occurrence, part) = numbers.split_once('.').unwrap_or((numbers, "0"));
        let numbers = occurrence.parse().ok().zip(part.parse().ok());
        Some(Self { job, numbers })
    }
}
