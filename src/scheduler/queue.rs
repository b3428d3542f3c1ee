//! Queue of the waiting jobs, by class, organisation and arrival.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::jobs::Rights;
use crate::placement::{Demand, JobKey};
use crate::prelude::*;

/// Properties of a waiting job that the search for cells uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Waiting {
    pub rights: Rights,
    pub demand: Demand,
    pub arrived_ms: u64,
    pub retry_at_ms: u64,
    /// Whether the job must wait until attempts started by an earlier leader have lost their leases.
    pub after_takeover: bool,
}

/// Waiting jobs of one organisation and class, in the order of arrival.
type OrganisationQueue = BTreeMap<JobKey, Waiting>;

/// All waiting jobs, by class and organisation.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Queue {
    urgent: BTreeMap<u32, OrganisationQueue>,
    normal: BTreeMap<u32, OrganisationQueue>,
    batch: BTreeMap<u32, OrganisationQueue>,
}

impl Queue {
    /// Returns the waiting jobs of a class, by organisation.
    pub fn by_organisation(&self, class: Class) -> &BTreeMap<u32, OrganisationQueue> {
        match class {
            Class::Urgent => &self.urgent,
            Class::Normal => &self.normal,
            Class::Batch => &self.batch,
        }
    }

    fn by_organisation_mut(&mut self, class: Class) -> &mut BTreeMap<u32, OrganisationQueue> {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Normal => &mut self.normal,
            Class::Batch => &mut self.batch,
        }
    }

    /// Adds a job to the queue.
    pub fn insert(&mut self, key: JobKey, waiting: Waiting) {
        let rights = waiting.rights;
        self.by_organisation_mut(rights.class)
            .entry(rights.organisation)
            .or_default()
            .insert(key, waiting);
    }

    /// Removes a job from the queue.
    pub fn remove(&mut self, key: JobKey, rights: &Rights) {
        let queues = self.by_organisation_mut(rights.class);
        if let Some(queue) = queues.get_mut(&rights.organisation) {
            queue.remove(&key);
            if queue.is_empty() {
                queues.remove(&rights.organisation);
            }
        }
    }

    /// Returns the number of waiting jobs of a class.
    pub fn class_len(&self, class: Class) -> usize {
        self.by_organisation(class).values().map(BTreeMap::len).sum()
    }

    /// Returns the number of waiting jobs.
    pub fn len(&self) -> usize {
        CLASSES.into_iter().map(|class| self.class_len(class)).sum()
    }

    /// Returns all waiting jobs.
    pub fn iter(&self) -> impl Iterator<Item = (JobKey, &Waiting)> {
        CLASSES
            .into_iter()
            .flat_map(|class| self.by_organisation(class).values())
            .flat_map(|queue| queue.iter().map(|(key, waiting)| (*key, waiting)))
    }
}

/// All classes, in the order in which they are served.
pub(crate) const CLASSES: [Class; 3] = [Class::Urgent, Class::Normal, Class::Batch];
