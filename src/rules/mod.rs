//! The rules in force: queues, services and organisations, and the data centres that are out of service.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A queue of jobs, found by host and path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// The name.
    pub name: String,
    /// The host name of its requests.
    pub host: String,
    /// What the path of its requests begins with.
    pub path_start: String,
    /// The service whose workers run its jobs.
    pub service: String,
    /// The priority; 0 comes first and may reclaim from others.
    pub priority: u8,
    /// The number of failed runs of a task after which its job has failed.
    pub attempts: u32,
    /// The latency objective of a job as a multiple of its own work.
    pub stretch: f64,
    /// What the latency objective adds to that.
    pub objective_ms: u64,
    /// Requests need no key.
    pub public: bool,
}

/// An organisation, its keys and its guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The name.
    pub name: OrganisationId,
    /// The keys of its clients.
    pub keys: Vec<String>,
    /// The accelerators that its jobs of priority 0 can always have.
    pub guaranteed_accelerators: u32,
}

/// A service: a pool of workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name.
    pub name: String,
    /// Its workers refuse what does not fit.
    pub enforces_capacity: bool,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// The version; later ones are higher.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The services.
    pub services: Vec<Service>,
    /// The organisations.
    pub organisations: Vec<Organisation>,
    /// The largest body of a request.
    pub body_limit_bytes: u64,
}

/// What operators have decided: the configuration and the data centres that are out of service, as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Directives {
    /// The store's version of the newest decision contained; a higher one supersedes a lower one.
    pub as_of: u64,
    /// The configuration, if there is one.
    pub rules: Option<Arc<Rules>>,
    /// The data centres whose workers get no new work.
    pub out_of_service: BTreeSet<DataCentreId>,
}

impl Directives {
    /// Keeps the rules that were in force before if these are older: a late write can put an earlier version back into the
    /// store.
    pub fn with_newest_rules(mut self, before: &Self) -> Self {
        let version = |directives: &Self| directives.rules.as_ref().map_or(0, |one| one.version);
        if version(&self) < version(before) {
            self.rules.clone_from(&before.rules);
        }
        self
    }
}

/// Who sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caller<'a> {
    /// A client of this organisation.
    Organisation(&'a OrganisationId),
    /// Anybody, on a queue that needs no key.
    Anonymous,
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No queue has this host and path.
    NoQueue,
    /// The key is missing or unknown.
    UnknownKey,
}

impl Rules {
    /// Finds the queue with this host and the longest matching path, and the rest of the path.
    pub fn queue_for<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter_map(|queue| Some((queue, path.strip_prefix(queue.path_start.as_str())?)))
            .max_by_key(|(queue, _)| queue.path_start.len())
    }

    /// Finds the queue of a request and checks its key.
    ///
    /// # Errors
    ///
    /// [`Denial`] if there is no such queue, or the key does not open it.
    pub fn admit<'a, 'b>(
        &'a self,
        host: &str,
        path: &'b str,
        key: Option<&str>,
    ) -> Result<(&'a Queue, &'b str, Caller<'a>), Denial> {
        let (queue, rest) = self.queue_for(host, path).ok_or(Denial::NoQueue)?;
        let owner = key.and_then(|key| self.organisation_of(key));
        match owner {
            Some(organisation) => Ok((queue, rest, Caller::Organisation(&organisation.name))),
            None if queue.public => Ok((queue, rest, Caller::Anonymous)),
            None => Err(Denial::UnknownKey),
        }
    }

    /// Finds the organisation that holds a key.
    pub fn organisation_of(&self, key: &str) -> Option<&Organisation> {
        self.organisations.iter().find(|one| one.keys.iter().any(|own| own == key))
    }

    /// Returns the accelerators guaranteed to an organisation.
    pub fn guarantee_of(&self, organisation: &OrganisationId) -> u32 {
        let found = self.organisations.iter().find(|one| one.name == *organisation);
        found.map_or(0, |one| one.guaranteed_accelerators)
    }
}
