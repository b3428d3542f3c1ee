//! The coordinators: processes that serve clients and elect one of themselves as leader, which plans all jobs of the
//! deployment.
//!
//! Any coordinator writes clients' requests to the store; the leader watches the stored jobs. See
//! docs/platform-deployment.md.

mod actor;
mod directives_lag;
mod dump;
mod early_cancellation;
mod event;
mod job_rows;
mod leader_state;
mod leadership;
mod listener;
pub mod message;
mod pause;
mod peers;
mod progress_rows;
mod register;
mod rejection;
mod relay;
mod reports;
mod restoring;
mod service;
mod settings;
mod store_watch;
mod takeover;
#[cfg(test)]
mod tests;
mod tick;
mod transaction_retry;
mod view;

pub use actor::Coordinator;
pub use dump::Dump;
pub use register::list_registered;
pub use service::{Cancellation, Service, Submission};
pub use settings::{
    CoordinatorSettings, DEFAULT_ROW_LIMIT_BYTES, MAX_WORKER_LEASE_MS, MIN_ROW_LIMIT_BYTES,
    MIN_WORKER_LEASE_MS, SUSPENSION_ALLOWANCE_MS, UNATTENDED_LEASE_MS, worker_lease_ms,
};
pub use store_watch::{DirectiveChange, DirectiveSource};
pub use view::JobView;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Semaphore, oneshot};
use xtra::prelude::*;

use crate::election::TICK_MS;
use crate::prelude::*;
use crate::process::intake::Intake;
use crate::process::{
    self, BoottimeClock, InboxSender, Metrics, Readiness, run_with_inbox, send_at_intervals,
};
use crate::store::RowStore;
use crate::wire::{LinkSettings, Traffic};
use event::Event;
use peers::PeerSenders;
use relay::RelayingStore;
use service::SharedState;

/// The table with one row for each job and one for each cancellation.
const JOB_TABLE: &str = "job";
/// The table with the state of each occurrence of a job.
const PROGRESS_TABLE: &str = "progress";
/// The table with the leadership row and one row for the address of each coordinator.
const LEAD_TABLE: &str = "lead";
/// The key of the leadership row.
const LEADER_KEY: &str = "leader";
/// The table of the head row, which each transaction of the leader replaces; the table of the states that it writes.
const HEAD_TABLE: &str = PROGRESS_TABLE;
/// The key of the head row in [`HEAD_TABLE`].
const HEAD_KEY: &str = "head";
/// The prefix of the keys of coordinators' addresses in [`LEAD_TABLE`].
const MEMBER_PREFIX: &str = "member/";
/// The suffix that turns the key of a job into the key of its cancellation.
const CANCEL_SUFFIX: &str = ".cancel";
/// The capacity of the actor's event queue.
const EVENT_QUEUE: usize = 4_096;
/// The interval of the actor's periodic work, such as decisions on the election.
const TICK: Duration = Duration::from_millis(TICK_MS);

/// Handle of a running coordinator.
pub struct CoordinatorHandle<S: RowStore> {
    /// The service that answers clients.
    pub service: Service<S>,
    /// The address of the actor, for dumps.
    pub actor: Address<Coordinator<S>>,
    /// The name of the process.
    pub name: ProcessId,
    /// The address that accepts connections of other processes of the system.
    pub inner_address: SocketAddr,
    /// Counts the messages sent to other processes.
    pub traffic: Traffic,
    events: InboxSender<Event>,
}

/// Starts a coordinator, within the bounds of the process.
///
/// # Errors
///
/// [`process::Error::Bind`] if its address cannot be bound.
pub async fn start<S>(
    settings: CoordinatorSettings,
    store: S,
    directives: DirectiveSource,
    metrics: Metrics,
    intake: Intake,
) -> process::Result<CoordinatorHandle<S>>
where
    S: RowStore,
{
    let clock = BoottimeClock;
    let (events, inbox) = process::inbox(EVENT_QUEUE);
    let peers = PeerSenders::default();
    let service = Service {
        store: RelayingStore::new(store, peers.clone(), clock, metrics.clone()),
        shared: Arc::<SharedState>::default(),
        clock,
        metrics,
        readiness: Readiness::default(),
        events: events.clone(),
        row_limit_bytes: settings.row_limit_bytes,
        rejects_by_value: settings.cost.is_some(),
        reads: Arc::new(Semaphore::new(intake.limits.reads(settings.row_limit_bytes))),
    };
    if let Some(machine) = &settings.machine {
        let wait_ms = i64::try_from(machine.class().takeover_wait_ms()).unwrap_or(i64::MAX);
        service.metrics.set("leadership", "machine_wait_ms", wait_ms);
    }
    let settings = Arc::new(settings);
    let links = LinkSettings { bounds: Some(intake.links.clone()), ..settings.links() };
    listener::spawn(settings.inner_address, links.clone(), events.clone(), intake)?;
    let store = service.store.clone();
    tokio::spawn(store_watch::watch_directives(store.clone(), directives, clock, events.clone()));
    tokio::spawn(store_watch::watch_leadership(store, clock, events.clone()));
    tokio::spawn(register::register(
        service.store.direct().clone(),
        settings.process.clone(),
        settings.inner_address,
        events.clone(),
    ));
    tokio::spawn(send_at_intervals(TICK, events.clone(), || Event::Tick {
        sent_ms: BoottimeClock.now_ms(),
    }));
    let (name, inner_address) = (settings.process.clone(), settings.inner_address);
    let traffic = links.traffic.clone();
    let coordinator = Coordinator::new(settings, service.clone(), peers, links, events.clone());
    let (actor, mailbox) = Mailbox::unbounded();
    tokio::spawn(run_with_inbox(mailbox, coordinator, inbox));
    Ok(CoordinatorHandle { service, actor, name, inner_address, traffic, events })
}

impl<S> CoordinatorHandle<S>
where
    S: RowStore,
{
    /// Connects to coordinators at addresses that were added to the settings.
    pub async fn add_seeds(&self, seeds: Vec<SocketAddr>) {
        for seed in seeds {
            // The actor only ends with the process.
            let _ = self.events.send(Event::PeerAddress(seed)).await;
        }
    }

    /// Stops accepting requests and gives up the leadership. Returns once the actor has announced that to the other
    /// coordinators.
    pub async fn shut_down(&self) {
        let (done_sender, done_receiver) = oneshot::channel();
        if self.events.send(Event::End(done_sender)).await.is_ok() {
            // The actor drops the sender only when the actor has ended, and then it no longer leads.
            let _ = done_receiver.await;
        }
    }
}
