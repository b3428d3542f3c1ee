//! The process beside a worker: renews its lease, carries out the leader's orders and reports what runs.

mod actor;
mod event;
mod lease;
mod link;
mod listing;
mod orders;
#[cfg(test)]
mod tests;

pub use actor::{Dump, Host};
pub use lease::LeaseClock;

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::mpsc;
use xtra::prelude::*;

use crate::planner::{EndedAttempt, RunningAttempt, StartOrder, StartRefusal, WorkerReport};
use crate::prelude::*;
use crate::process::{BoottimeClock, Metrics, run_with_inbox, send_at_intervals};
use crate::wire::{FrameKey, LinkSettings};
use crate::workflow::TaskId;
use event::Event;

/// The most events that wait for the actor.
const EVENT_QUEUE: usize = 1_024;
/// The interval of the actor's own work.
const TICK: Duration = Duration::from_millis(250);
/// The silence after which the connection to the leader counts as lost.
const LINK_IDLE_MS: u64 = 1_500;

/// Where a worker takes calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerTarget {
    /// Its address.
    pub address: String,
    /// The name of its incarnation, so that no other incarnation carries out a call.
    pub instance: String,
}

/// The answer to the start of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The attempt is there.
    Started,
    /// The attempt is not there, and this call will not start it.
    Refused(StartRefusal),
    /// The call may be carried out, now or later.
    Unknown(String),
}

/// What a worker says when its lease is renewed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewalAnswer {
    /// The worker's clock.
    pub clock_ms: u64,
    /// When its incarnation began, in milliseconds since 1970.
    pub born_ms: u64,
    /// What runs.
    pub running: Vec<RunningAttempt>,
    /// The ends that are not acknowledged yet.
    pub ended: Vec<EndedAttempt>,
}

/// Why a call of a worker failed.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum WorkerError {
    /// Nothing listens at its address: the incarnation is over.
    #[display("nothing listens at the worker's address")]
    Gone,
    /// Another incarnation answers at its address.
    #[display("another lifetime of the worker answers")]
    OtherIncarnation,
    /// It has seen a higher fencing token.
    #[display("the worker has seen a higher fencing token")]
    Fenced,
    /// The call may be carried out, now or later.
    #[display("{_0}")]
    Unknown(String),
}

/// How a lease is renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// The fencing token.
    pub fence: Epoch,
    /// The end of the lease on the worker's clock, if it is to be extended.
    pub deadline_ms: Option<u64>,
    /// The last end that is durable.
    pub acknowledged: u64,
    /// How long the worker may wait for an end before it answers.
    pub wait_ms: u64,
}

/// The calls of a worker.
pub trait WorkerPort: Clone + Send + Sync + 'static {
    /// Starts an attempt.
    fn start(
        &self,
        target: &WorkerTarget,
        order: &StartOrder,
        fence: Epoch,
        deadline_ms: u64,
    ) -> impl Future<Output = StartAnswer> + Send;

    /// Stops an attempt, or makes sure that it never starts.
    fn stop(
        &self,
        target: &WorkerTarget,
        task: &TaskId,
        attempt: u32,
        fence: Epoch,
    ) -> impl Future<Output = Result<(), WorkerError>> + Send;

    /// Renews the lease and lists attempts and ends.
    fn renew_lease(
        &self,
        target: &WorkerTarget,
        renewal: &Renewal,
    ) -> impl Future<Output = Result<RenewalAnswer, WorkerError>> + Send;
}

/// A heartbeat of the worker beside this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerHeartbeat {
    /// What it says of itself.
    pub report: WorkerReport,
    /// Where it takes calls.
    pub target: WorkerTarget,
    /// Rises with each heartbeat of an incarnation.
    pub sequence: u64,
}

/// The settings of a host.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// The name of the worker: that of the machine.
    pub worker: WorkerId,
    /// Addresses of coordinators that may exist.
    pub seeds: Vec<SocketAddr>,
    /// The key of the connections between processes.
    pub frame_key: [u8; 32],
}

/// A running host.
#[derive(Clone)]
pub struct Running<P: WorkerPort> {
    /// The actor, for dumps.
    pub actor: Address<Host<P>>,
    events: mpsc::Sender<Event>,
}

/// Starts a host.
pub fn start<P>(settings: HostSettings, port: P, metrics: Metrics) -> Running<P>
where
    P: WorkerPort,
{
    let (events, inbox) = mpsc::channel(EVENT_QUEUE);
    let links = LinkSettings {
        idle_ms: LINK_IDLE_MS,
        ..LinkSettings::new(FrameKey::new(settings.frame_key))
    };
    let leaders = link::LeaderAddresses::new(settings.seeds);
    tokio::spawn(link::keep_connected(
        settings.worker.clone(),
        leaders.clone(),
        links,
        events.clone(),
    ));
    tokio::spawn(send_at_intervals(TICK, events.clone(), || Event::Tick));
    let host = Host::new(settings.worker, port, leaders, BoottimeClock, metrics, events.clone());
    let (actor, mailbox) = Mailbox::unbounded();
    tokio::spawn(run_with_inbox(mailbox, host, inbox));
    Running { actor, events }
}

impl<P> Running<P>
where
    P: WorkerPort,
{
    /// Takes in a heartbeat. Returns false if the host is ending.
    pub async fn heartbeat(&self, heartbeat: WorkerHeartbeat) -> bool {
        self.events.send(Event::Heartbeat(Box::new(heartbeat))).await.is_ok()
    }

    /// The incarnation with this name has ended.
    pub async fn worker_terminated(&self, instance: &str) -> bool {
        self.events.send(Event::WorkerTerminated(instance.to_owned())).await.is_ok()
    }
}
