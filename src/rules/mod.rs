//! Active rules: queues, services, organisations, and the data centres that are out of service.

mod objective;
#[cfg(test)]
mod tests;

pub use objective::Objective;

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A queue of jobs, selected by the host and path of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Host name of its requests.
    pub host: String,
    /// Prefix of the path of its requests.
    pub path_start: String,
    /// Service whose workers run its jobs.
    pub service: String,
    /// Priority of its jobs; 0 is the highest and may reclaim accelerators from other jobs.
    pub priority: u8,
    /// Number of failed attempts of a task after which its job has failed.
    pub attempts: u32,
    /// Part of a job's latency objective that is a multiple of the job's work.
    pub stretch: f64,
    /// Constant part of a job's latency objective, in milliseconds, which is added to the multiple.
    pub objective_ms: u64,
    /// Whether requests are admitted without a key.
    pub public: bool,
}

impl Queue {
    /// Returns the latency objective of its jobs.
    pub fn objective(&self) -> Objective {
        Objective { stretch: self.stretch, constant_ms: self.objective_ms }
    }
}

/// An organisation, its keys and its guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrganisationId,
    /// Keys of its clients.
    pub keys: Vec<String>,
    /// Number of accelerators guaranteed to its jobs of priority 0.
    pub guaranteed_accelerators: u32,
}

/// A service: a pool of workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Whether its workers refuse tasks that exceed their free resources.
    pub enforces_capacity: bool,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Version of the configuration; later ones are higher.
    pub version: u64,
    /// Queues of all services.
    pub queues: Vec<Queue>,
    /// Services and the properties of their workers.
    pub services: Vec<Service>,
    /// Organisations, their keys and guarantees.
    pub organisations: Vec<Organisation>,
    /// Maximum size of a request body in bytes.
    pub body_limit_bytes: u64,
}

/// Decisions of operators as of one version of the store: the configuration and the data centres out of service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Directives {
    /// Version that the store gave to the newest decision contained; directives with a higher one supersede others.
    pub as_of: u64,
    /// Active configuration, or `None` before the first one.
    pub rules: Option<Arc<Rules>>,
    /// Data centres whose workers get no new work.
    pub out_of_service: BTreeSet<DataCentreId>,
}

impl Directives {
    /// Replaces the rules by those of earlier directives if these have a higher version, because a late write can put
    /// an earlier version back into the store.
    pub fn with_newest_rules(mut self, previous: &Self) -> Self {
        let version =
            |directives: &Self| directives.rules.as_ref().map_or(0, |rules| rules.version);
        if version(&self) < version(previous) {
            self.rules.clone_from(&previous.rules);
        }
        self
    }
}

/// Sender of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caller<'a> {
    /// A client of this organisation.
    Organisation(&'a OrganisationId),
    /// A sender without a valid key, on a public queue.
    Anonymous,
}

/// Reason why [`Rules::admit`] refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// No queue has this host and path.
    NoQueue,
    /// The queue is not public, and the key is missing or belongs to no organisation.
    UnknownKey,
}

impl Rules {
    /// Returns the queue with this host and the longest matching path prefix, and the path after the prefix.
    pub fn queue_for<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter_map(|queue| Some((queue, path.strip_prefix(queue.path_start.as_str())?)))
            .max_by_key(|(queue, _)| queue.path_start.len())
    }

    /// Returns the queue of a request, the path after the queue's prefix, and the caller that the key identifies.
    ///
    /// # Errors
    ///
    /// [`AdmissionError`] if no queue matches, or the queue is not public and the key belongs to no organisation.
    pub fn admit<'a, 'b>(
        &'a self,
        host: &str,
        path: &'b str,
        key: Option<&str>,
    ) -> Result<(&'a Queue, &'b str, Caller<'a>), AdmissionError> {
        let (queue, rest) = self.queue_for(host, path).ok_or(AdmissionError::NoQueue)?;
        let owner = key.and_then(|key| self.organisation_of(key));
        match owner {
            Some(organisation) => Ok((queue, rest, Caller::Organisation(&organisation.name))),
            None if queue.public => Ok((queue, rest, Caller::Anonymous)),
            None => Err(AdmissionError::UnknownKey),
        }
    }

    /// Returns the organisation that holds a key.
    pub fn organisation_of(&self, key: &str) -> Option<&Organisation> {
        self.organisations.iter().find(|organisation| organisation.keys.iter().any(|k| k == key))
    }

    /// Returns the number of accelerators guaranteed to an organisation; 0 if the rules do not list it.
    pub fn guarantee_of(&self, organisation: &OrganisationId) -> u32 {
        let found = self.organisations.iter().find(|listed| listed.name == *organisation);
        found.map_or(0, |listed| listed.guaranteed_accelerators)
    }
}
