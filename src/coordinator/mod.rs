//! The process that serves clients, and one of which leads: it plans all jobs of the deployment.
//!
//! Clients' requests are made durable by any coordinator; the leader follows the stored jobs. See
//! docs/platform-deployment.md.

mod actor;
mod dump;
mod event;
mod job_rows;
mod leader_state;
mod listener;
pub mod message;
mod peers;
mod relay;
mod service;
mod settings;
mod store_watch;
mod takeover;
#[cfg(test)]
mod tests;
mod transaction_retry;
mod view;

pub use actor::Coordinator;
pub use dump::Dump;
pub use service::{Cancellation, Service, Submission};
pub use settings::{CoordinatorSettings, WORKER_LEASE_MS};
pub use store_watch::{DirectiveChange, DirectiveSource};
pub use view::JobView;

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use xtra::prelude::*;

use crate::prelude::*;
use crate::process::{self, BoottimeClock, Metrics, Readiness, run_with_inbox, send_at_intervals};
use crate::store::RowStore;
use event::Event;
use peers::PeerSenders;
use relay::RelayingStore;
use service::SharedState;

/// The table with one row for each job and one for each cancellation.
const JOB_TABLE: &str = "job";
/// The table with the state of each occurrence of a job.
const PROGRESS_TABLE: &str = "progress";
/// The table with the leadership and the coordinators.
const LEAD_TABLE: &str = "lead";
/// The key of the leadership row.
const LEADER_KEY: &str = "leader";
/// The table whose head row changes with each transaction of the leader; the same as that of the states it writes.
const HEAD_TABLE: &str = PROGRESS_TABLE;
/// The key of that row.
const HEAD_KEY: &str = "head";
/// What the keys of coordinators begin with.
const MEMBER_PREFIX: &str = "member/";
/// What the key of a cancellation adds to that of its job.
const CANCEL_SUFFIX: &str = ".cancel";
/// The most events that wait for the actor.
const EVENT_QUEUE: usize = 4_096;
/// The interval of the actor's own work.
const TICK: Duration = Duration::from_millis(150);

/// A running coordinator.
pub struct Running<S: RowStore> {
    /// Answers clients.
    pub service: Service<S>,
    /// The actor, for dumps.
    pub actor: Address<Coordinator<S>>,
    /// The name of the process.
    pub name: ProcessId,
    /// Where it accepts connections of other processes of the system.
    pub inner_address: std::net::SocketAddr,
    events: mpsc::Sender<Event>,
}

/// Starts a coordinator.
///
/// # Errors
///
/// [`process::Error::Bind`] if its address cannot be bound.
pub async fn start<S>(
    settings: CoordinatorSettings,
    store: S,
    directives: DirectiveSource,
    metrics: Metrics,
) -> process::Result<Running<S>>
where
    S: RowStore,
{
    let clock = BoottimeClock;
    let (events, inbox) = mpsc::channel(EVENT_QUEUE);
    let peers = PeerSenders::default();
    let service = Service {
        store: RelayingStore::new(store, peers.clone(), clock, metrics.clone()),
        shared: Arc::<SharedState>::default(),
        clock,
        metrics,
        readiness: Readiness::default(),
        events: events.clone(),
    };
    let settings = Arc::new(settings);
    listener::spawn(settings.inner_address, settings.links(), events.clone()).await?;
    let store = service.store.clone();
    tokio::spawn(store_watch::watch_directives(store.clone(), directives, events.clone()));
    tokio::spawn(store_watch::watch_leadership(store, events.clone()));
    tokio::spawn(store_watch::register(
        service.store.direct().clone(),
        settings.process.clone(),
        settings.inner_address,
        events.clone(),
    ));
    tokio::spawn(send_at_intervals(TICK, events.clone(), || Event::Tick));
    let (name, inner_address) = (settings.process.clone(), settings.inner_address);
    let coordinator = Coordinator::new(settings, service.clone(), peers, events.clone());
    let (actor, mailbox) = Mailbox::unbounded();
    tokio::spawn(run_with_inbox(mailbox, coordinator, inbox));
    Ok(Running { service, actor, name, inner_address, events })
}

impl<S> Running<S>
where
    S: RowStore,
{
    /// Stops taking requests and hands the leadership over; returns once no order is under way.
    pub async fn hand_over(&self) {
        let (done, is_done) = oneshot::channel();
        if self.events.send(Event::End(done)).await.is_ok() {
            // The actor drops the sender only if it has ended, and then there is nothing to hand over.
            let _ = is_done.await;
        }
    }
}
