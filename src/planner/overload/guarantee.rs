//! Which urgent jobs are within the guarantees of their organisations.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;

/// Urgent job that is not finished.
#[derive(Clone, Copy, Debug)]
pub struct UrgentJob<'a> {
    pub id: &'a JobId,
    pub organisation: &'a OrganisationId,
    /// Accelerators that all tasks of its first step need together.
    pub accelerators: u32,
    /// Some of its tasks are placed.
    pub is_placed: bool,
    /// Order of submission.
    pub order: u64,
}

/// Returns the urgent jobs that the guarantees of their organisations cover: those that are placed first, then the
/// oldest, as many as fit.
///
/// Load pattern: an organisation asks for more than its guarantee while others do so too. Its whole work would lose the
/// guarantee if only the sum of all its jobs were compared with it.
pub fn within_guarantee<'a, F>(jobs: &[UrgentJob<'a>], guarantee_of: F) -> BTreeSet<&'a JobId>
where
    F: Fn(&OrganisationId) -> u32,
{
    let mut sorted: Vec<&UrgentJob<'_>> = jobs.iter().collect();
    sorted.sort_by_key(|job| (!job.is_placed, job.order));
    let mut left: BTreeMap<&OrganisationId, u32> = BTreeMap::new();
    let mut covered = BTreeSet::new();
    for job in sorted {
        let left = left.entry(job.organisation).or_insert_with(|| guarantee_of(job.organisation));
        if job.accelerators <= *left {
            *left -= job.accelerators;
            covered.insert(job.id);
        }
    }
    covered
}
