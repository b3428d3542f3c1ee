//! Keeps the bundle in force and the states of data centres at an entry, and passes them on to agents.
//!
//! [`start`] begins loops that register the entry and poll the table; an actor keeps what they find. See
//! docs/design.md, section 3.

mod actor;
mod change;
mod poll;
mod register;
mod routes;
#[cfg(test)]
pub(crate) mod tests;

pub use actor::{Configuration, Dump};
pub use routes::routes;

use std::sync::Arc;

use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinHandle;
use xtra::{Address, Mailbox};

use super::listener::ConfigEvent;
use crate::bundle::{Bundle, TrustedPartners};
use crate::permit::DataCentreStatus;
use crate::prelude::*;
use crate::process::{Metrics, MonotonicClock};
use crate::store::{ObjectStore, Table, Writer};

/// What the configuration of an entry needs to know of the entry.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The entry.
    pub process: ProcessId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The partners whose signatures count.
    pub trusted: TrustedPartners,
}

/// What the loops, the changes and the routes share.
#[derive(Debug)]
pub(crate) struct Shared<T, O> {
    identity: Identity,
    writer: Writer<T>,
    objects: O,
    clock: MonotonicClock,
    metrics: Metrics,
    actor: Address<Configuration>,
    /// Wakes the polls after this entry changed a row.
    changed: Notify,
}

/// The running configuration of an entry.
#[derive(Debug)]
pub struct Handle<T, O> {
    shared: Arc<Shared<T, O>>,
    /// The bundle in force.
    pub bundle: watch::Receiver<Option<Bundle>>,
    /// The states of all data centres, sent when one of them changes.
    pub services: watch::Receiver<Vec<DataCentreStatus>>,
    loops: Vec<JoinHandle<()>>,
}

/// Starts the actor and its loops. Nothing is in force before the entry is registered.
pub fn start<T, O>(
    identity: Identity,
    writer: Writer<T>,
    objects: O,
    clock: MonotonicClock,
    metrics: &Metrics,
    events: mpsc::Receiver<ConfigEvent>,
) -> Handle<T, O>
where
    T: Table,
    O: ObjectStore,
{
    let (bundle_sender, bundle) = watch::channel(None);
    let (service_sender, services) = watch::channel(Vec::new());
    let (actor, mailbox) = Mailbox::unbounded();
    let configuration = Configuration::new(clock, metrics, bundle_sender, service_sender);
    let metrics = metrics.clone();
    let changed = Notify::new();
    let shared = Arc::new(Shared { identity, writer, objects, clock, metrics, actor, changed });
    let loops = vec![
        tokio::spawn(xtra::run(mailbox, configuration)),
        tokio::spawn(forward(shared.actor.clone(), events)),
        tokio::spawn(register::run(shared.clone())),
    ];
    Handle { shared, bundle, services, loops }
}

/// Gives what the connections report to the actor.
async fn forward(actor: Address<Configuration>, mut events: mpsc::Receiver<ConfigEvent>) {
    while let Some(event) = events.recv().await {
        if actor.send(event).await.is_err() {
            return;
        }
    }
}

impl<T, O> Handle<T, O>
where
    T: Table,
    O: ObjectStore,
{
    /// Returns the state for a dump.
    pub async fn dump(&self) -> serde_json::Value {
        self.shared.actor.send(Dump).await.unwrap_or_default()
    }

    /// Returns the address of the actor.
    pub fn actor(&self) -> &Address<Configuration> {
        &self.shared.actor
    }

    /// Ends the loops and removes the row of the entry, so that rollouts do not wait for it.
    pub async fn stop(self) {
        // Also ends the polls, which the registration owns.
        for task in &self.loops {
            task.abort();
        }
        register::remove(&self.shared).await;
    }
}
