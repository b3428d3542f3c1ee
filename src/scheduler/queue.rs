//! The jobs that wait, in the order in which they are tried.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::jobs::Rights;
use crate::placement::{Demand, JobKey};
use crate::prelude::*;

/// What the search for cells needs to know of a waiting job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Waiting {
    pub rights: Rights,
    pub demand: Demand,
    pub arrived_ms: u64,
    pub retry_at_ms: u64,
    /// Whether the job may only start when it is known that no earlier attempt runs.
    pub after_takeover: bool,
}

/// The waiting jobs of one organisation, in the order of arrival.
type Line = BTreeMap<JobKey, Waiting>;

/// All waiting jobs, by class and organisation.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Queue {
    urgent: BTreeMap<u32, Line>,
    normal: BTreeMap<u32, Line>,
    batch: BTreeMap<u32, Line>,
}

impl Queue {
    /// Returns the lines of a class, by organisation.
    pub fn lines(&self, class: Class) -> &BTreeMap<u32, Line> {
        match class {
            Class::Urgent => &self.urgent,
            Class::Normal => &self.normal,
            Class::Batch => &self.batch,
        }
    }

    fn lines_mut(&mut self, class: Class) -> &mut BTreeMap<u32, Line> {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Normal => &mut self.normal,
            Class::Batch => &mut self.batch,
        }
    }

    /// Adds a job.
    pub fn insert(&mut self, key: JobKey, waiting: Waiting) {
        let rights = waiting.rights;
        self.lines_mut(rights.class).entry(rights.organisation).or_default().insert(key, waiting);
    }

    /// Removes a job.
    pub fn remove(&mut self, key: JobKey, rights: &Rights) {
        let lines = self.lines_mut(rights.class);
        if let Some(line) = lines.get_mut(&rights.organisation) {
            line.remove(&key);
            if line.is_empty() {
                lines.remove(&rights.organisation);
            }
        }
    }

    /// Returns the number of jobs of a class.
    pub fn class_len(&self, class: Class) -> usize {
        self.lines(class).values().map(BTreeMap::len).sum()
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        CLASSES.into_iter().map(|class| self.class_len(class)).sum()
    }

    /// Returns all jobs.
    pub fn iter(&self) -> impl Iterator<Item = (JobKey, &Waiting)> {
        CLASSES
            .into_iter()
            .flat_map(|class| self.lines(class).values())
            .flat_map(|line| line.iter().map(|(key, waiting)| (*key, waiting)))
    }
}

/// All classes, the first to be served first.
pub(crate) const CLASSES: [Class; 3] = [Class::Urgent, Class::Normal, Class::Batch];
