//! Keeps the active bundle and the states of data centres at an entry, and sends them to agents.
//!
//! [`start`] spawns tasks that register the entry and poll the table; an actor keeps the rows that they read. See
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

/// Identity of an entry, and the partners that it trusts.
#[derive(Clone, Debug)]
pub struct Identity {
    /// ID of the entry process.
    pub process: ProcessId,
    /// Incarnation of the entry process.
    pub incarnation: Incarnation,
    /// Data centre of the entry.
    pub data_centre: DataCentreId,
    /// Partners whose signatures of bundles are accepted.
    pub trusted: TrustedPartners,
}

/// State shared by the background tasks, the changes and the routes.
#[derive(Debug)]
pub(crate) struct Shared<T, O> {
    identity: Identity,
    writer: Writer<T>,
    objects: O,
    clock: MonotonicClock,
    metrics: Metrics,
    actor: Address<Configuration>,
    /// Wakes the poll of the bundle after this entry wrote the bundle's row.
    changed: Notify,
}

/// Handle of the running configuration of an entry.
#[derive(Debug)]
pub struct Handle<T, O> {
    shared: Arc<Shared<T, O>>,
    /// The active bundle.
    pub bundle: watch::Receiver<Option<Bundle>>,
    /// The states of all data centres, published when one of them changes.
    pub data_centre_statuses: watch::Receiver<Vec<DataCentreStatus>>,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts the actor and its background tasks. No bundle is active before the entry is registered.
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
    let (status_sender, data_centre_statuses) = watch::channel(Vec::new());
    let (actor, mailbox) = Mailbox::unbounded();
    let configuration = Configuration::new(clock, metrics, bundle_sender, status_sender);
    let metrics = metrics.clone();
    let changed = Notify::new();
    let shared = Arc::new(Shared { identity, writer, objects, clock, metrics, actor, changed });
    let tasks = vec![
        tokio::spawn(xtra::run(mailbox, configuration)),
        tokio::spawn(forward_events(shared.actor.clone(), events)),
        tokio::spawn(register::run(shared.clone())),
    ];
    Handle { shared, bundle, data_centre_statuses, tasks }
}

/// Forwards the events of connections to the actor.
async fn forward_events(actor: Address<Configuration>, mut events: mpsc::Receiver<ConfigEvent>) {
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
    /// Returns the state of the configuration for a dump.
    pub async fn dump(&self) -> serde_json::Value {
        self.shared.actor.send(Dump).await.unwrap_or_default()
    }

    /// Returns the address of the actor.
    pub fn actor(&self) -> &Address<Configuration> {
        &self.shared.actor
    }

    /// Aborts the background tasks and removes the row of the entry, so that rollouts do not wait for the entry.
    pub async fn stop(self) {
        // Also aborts the polls, whose tasks the registration owns.
        for task in &self.tasks {
            task.abort();
        }
        register::remove(&self.shared).await;
    }
}
