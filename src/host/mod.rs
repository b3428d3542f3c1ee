//! The host: the process on the machine of a worker that renews the worker's lease, carries out the leader's orders and
//! reports the worker's attempts.

mod actor;
mod event;
mod expiry;
mod lease;
mod link;
mod listing;
mod notice;
mod orders;
mod register_reads;
mod suspension;
#[cfg(test)]
mod tests;

pub use actor::{Dump, Host};
pub use lease::LeaseClock;

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use xtra::prelude::*;

use crate::coordinator::UNATTENDED_LEASE_MS;
use crate::planner::{EndedAttempt, RunningAttempt, StartOrder, StartRefusal, WorkerReport};
use crate::prelude::*;
use crate::process::intake::LinkBounds;
use crate::process::{
    self, BoottimeClock, InboxSender, Metrics, run_with_inbox, send_at_intervals,
};
use crate::store::RowStore;
use crate::wire::{FrameKey, LinkSettings};
use crate::workflow::TaskId;
use event::Event;

/// The capacity of the actor's event queue.
const EVENT_QUEUE: usize = 1_024;
/// The interval of the actor's periodic work, such as renewals of the lease.
const TICK: Duration = Duration::from_millis(250);
/// The silence after which the connection to the leader counts as lost.
const LINK_IDLE_MS: u64 = 1_500;

/// The address and incarnation of a worker that calls are sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerTarget {
    /// The address at which the worker accepts calls.
    pub address: String,
    /// The name of the worker's incarnation. Another incarnation at the same address rejects calls with this name.
    pub instance: String,
}

/// The answer of a worker to the start of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The attempt exists on the worker.
    Started,
    /// The attempt does not exist on the worker, and this call will not start it.
    Refused(StartRefusal),
    /// The call may have been carried out, or may still be; the string is the reason.
    Unknown(String),
}

/// The answer of a worker to the renewal of its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewalAnswer {
    /// The time on the worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// The start of the worker's incarnation, in milliseconds since 1970.
    pub born_ms: u64,
    /// The running attempts.
    pub running: Vec<RunningAttempt>,
    /// The ended attempts that are not acknowledged yet.
    pub ended: Vec<EndedAttempt>,
}

/// The reason for which a call of a worker failed.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum WorkerError {
    /// The connection to the worker's address was refused, so the call was not carried out. The incarnation has ended, or
    /// a firewall refuses connections to it.
    #[display("the connection to the worker's address was refused")]
    ConnectionRefused,
    /// Another incarnation of the worker answers at the address.
    #[display("another incarnation of the worker answers")]
    OtherIncarnation,
    /// The worker has received a higher fencing token.
    #[display("the worker has received a higher fencing token")]
    Fenced,
    /// The call may have been carried out, or may still be; the string is the reason.
    #[display("{_0}")]
    Unknown(String),
}

/// A request to a worker to extend its lease and to list its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// The fencing token: the epoch of the leader.
    pub fence: Epoch,
    /// The new end of the lease on the worker's clock, in milliseconds; `None` leaves the lease as it is.
    pub deadline_ms: Option<u64>,
    /// The number of the last ended attempt that the leader has acknowledged.
    pub acknowledged: u64,
    /// The longest time that the worker may wait for the end of an attempt before it answers, in milliseconds.
    pub wait_ms: u64,
}

/// The calls that a host makes to its worker.
pub trait WorkerPort: Clone + Send + Sync + 'static {
    /// Starts an attempt.
    fn start(
        &self,
        target: &WorkerTarget,
        order: &StartOrder,
        fence: Epoch,
        deadline_ms: u64,
    ) -> impl Future<Output = StartAnswer> + Send;

    /// Stops an attempt, or prevents its start if it has not begun.
    fn stop(
        &self,
        target: &WorkerTarget,
        task: &TaskId,
        attempt: u32,
        fence: Epoch,
    ) -> impl Future<Output = Result<(), WorkerError>> + Send;

    /// Renews the lease and lists the running and the ended attempts.
    fn renew_lease(
        &self,
        target: &WorkerTarget,
        renewal: &Renewal,
    ) -> impl Future<Output = Result<RenewalAnswer, WorkerError>> + Send;
}

/// A heartbeat of the worker that this host serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerHeartbeat {
    /// The worker's report of its state.
    pub report: WorkerReport,
    /// The address and incarnation to which calls are sent.
    pub target: WorkerTarget,
    /// The sequence number, which rises with each heartbeat of an incarnation.
    pub sequence: u64,
}

/// The settings of a host.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// The name of the worker, which is that of the machine.
    pub worker: WorkerId,
    /// The addresses at which coordinators may be reached at the start.
    pub seeds: Vec<SocketAddr>,
    /// The key of the frames on connections between processes.
    pub frame_key: [u8; 32],
    /// The duration of the worker's lease after a renewal by the leader, in milliseconds.
    pub worker_lease_ms: u64,
}

/// Handle of a running host.
#[derive(Clone)]
pub struct HostHandle<P: WorkerPort> {
    /// The address of the actor, for dumps.
    pub actor: Address<Host<P>>,
    events: InboxSender<Event>,
    leaders: link::LeaderAddresses,
}

/// Starts a host. It reads the addresses of coordinators from `store` only while it finds no leader.
pub fn start<P, S>(
    settings: HostSettings,
    port: P,
    store: S,
    metrics: Metrics,
    bounds: LinkBounds,
) -> HostHandle<P>
where
    P: WorkerPort,
    S: RowStore,
{
    let (events, inbox) = process::inbox(EVENT_QUEUE);
    let links = LinkSettings {
        idle_ms: LINK_IDLE_MS,
        bounds: Some(bounds),
        ..LinkSettings::new(FrameKey::new(settings.frame_key))
    };
    let leaders = link::LeaderAddresses::new(settings.seeds);
    tokio::spawn(link::keep_connected(
        settings.worker.clone(),
        leaders.clone(),
        links,
        store,
        events.clone(),
    ));
    tokio::spawn(send_at_intervals(TICK, events.clone(), || Event::Tick));
    let lease = LeaseClock::new(UNATTENDED_LEASE_MS, settings.worker_lease_ms);
    let host = Host::new(
        settings.worker,
        lease,
        port,
        leaders.clone(),
        BoottimeClock,
        metrics,
        events.clone(),
    );
    let (actor, mailbox) = Mailbox::unbounded();
    tokio::spawn(run_with_inbox(mailbox, host, inbox));
    HostHandle { actor, events, leaders }
}

impl<P> HostHandle<P>
where
    P: WorkerPort,
{
    /// Passes a heartbeat of the worker to the actor. Returns false if the host is ending.
    pub async fn heartbeat(&self, heartbeat: WorkerHeartbeat) -> bool {
        self.events.send(Event::Heartbeat(Box::new(heartbeat))).await.is_ok()
    }

    /// Replaces the addresses at which coordinators may be reached according to the settings.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.leaders.set_seeds(seeds);
    }

    /// Reports to the actor that the worker's incarnation `instance` has ended. Returns false if the host is ending.
    pub async fn worker_terminated(&self, instance: &str) -> bool {
        self.events.send(Event::WorkerTerminated(instance.to_owned())).await.is_ok()
    }
}
