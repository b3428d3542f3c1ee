//! The actor beside a worker. It connects the state machines [`WorkerAgent`] and [`LeaderLease`] to a clock, UDP
//! sockets, the worker's HTTP interface and the table.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use xtra::prelude::*;

use super::find_leader::{FoundGroup, find_leader};
use super::leader::{self, GroupLeader, LeaderParameters};
use super::lease_table;
use super::worker_api::{DecidedCall, WorkerApi};
use crate::bundle::TrustedPartners;
use crate::membership::{LeaderLease, LeaseConfig, LeaseInput, LeaseOutput};
use crate::prelude::*;
use crate::process::{Metrics, MonotonicClock};
use crate::scheduler::{Policy, WorkerSpec};
use crate::store::{Table, Writer};
use crate::wire::{
    AgentMessage, DatagramDecoder, DatagramEncoder, LeaderDatagram, LinkSettings,
    MAX_DATAGRAM_BYTES,
};
use crate::worker::{Input, Output, WorkerAgent, WorkerAnswer, WorkerCall, WorkerConfig};

/// The capacity of the actor's mailbox.
const MAILBOX_CAPACITY: usize = 1_024;
/// The capacity of the queue of calls to the worker, and of the queue of its answers.
const CALL_QUEUE_CAPACITY: usize = 256;

/// Parameters of an agent beside a worker, most of them from the settings.
#[derive(Clone, Debug)]
pub struct WorkerParameters {
    /// The name of the process.
    pub process: ProcessId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The data centre of the process.
    pub data_centre: DataCentreId,
    /// The worker's ID, rack and resources.
    pub worker: WorkerSpec,
    /// The base URL of the worker's HTTP interface.
    pub worker_url: String,
    /// The UDP address at which members reach this process when it leads its group.
    pub udp_address: SocketAddr,
    /// The TCP addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// The limits of connections, and the frame key of the deployment.
    pub link: LinkSettings,
    /// The partners whose signatures on bundles are trusted.
    pub partners: TrustedPartners,
    /// The interval of heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// The duration of the lease of a gang on a member, in milliseconds.
    pub gang_lease_ms: u64,
    /// The duration of the leader lease of the group, in milliseconds.
    pub leader_lease_ms: u64,
    /// The policy by which a leader chooses cells.
    pub policy: Policy,
}

/// The actor beside one worker.
pub struct Worker<T>
where
    T: Table + Clone,
{
    parameters: WorkerParameters,
    agent: WorkerAgent,
    /// The leader lease of the group; `None` until an entry has reported the group.
    lease: Option<LeaderLease>,
    /// The group and the number of its workers; `None` until an entry has reported them.
    group: Option<(GroupId, u32)>,
    leader: Option<Address<GroupLeader<T>>>,
    leader_address: Option<(Epoch, SocketAddr)>,
    trusted_until_ms: Arc<AtomicU64>,
    socket: Arc<UdpSocket>,
    leader_socket: Arc<UdpSocket>,
    encoder: DatagramEncoder,
    decoder: DatagramDecoder,
    calls: mpsc::Sender<DecidedCall>,
    writer: Writer<T>,
    clock: MonotonicClock,
    metrics: Metrics,
    random: ChaCha8Rng,
    /// Whether a query for the leader is pending.
    is_finding_leader: bool,
    /// Notified when the leader lease has been released at shutdown.
    shutdown_waiters: Vec<oneshot::Sender<()>>,
}

impl<T> xtra::Actor for Worker<T>
where
    T: Table + Clone,
{
    type Stop = ();

    async fn stopped(self) {}
}

/// Datagram received from a leader.
struct Received(Vec<u8>);

/// Answer of the worker.
struct Answered(WorkerAnswer);

/// Result of a query for the leader; `None` if it failed.
struct LeaderQueryEnded(Option<FoundGroup>);

/// Result of a call of the table.
struct FromTable(LeaseInput);

/// Message that a tick interval has elapsed.
struct Tick;

/// Message that a bundle became active at this process.
pub struct BundleApplied {
    /// The version of the bundle.
    pub version: BundleVersion,
}

/// Message that the process shuts down. Returns a receiver that completes when the leader lease has been released.
pub struct Shutdown;

/// Requests a [`WorkerDump`].
pub struct Dump;

/// State of an agent beside a worker, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerDump {
    /// The state of the worker agent.
    pub agent: serde_json::Value,
    /// The state of this process in the election of the group's leader, or null if no entry has reported the group.
    pub lease: serde_json::Value,
    /// The state of the group's leader, or null if this process does not lead.
    pub leader: serde_json::Value,
}

/// Binds the sockets and starts the actor and its tasks.
///
/// # Errors
///
/// The error of the operating system if an address cannot be bound.
pub async fn spawn<T>(
    parameters: WorkerParameters,
    table: T,
    clock: MonotonicClock,
    metrics: &Metrics,
) -> std::io::Result<Address<Worker<T>>>
where
    T: Table + Clone,
{
    // The leader has a separate socket, so that datagrams to the leader and to the member are kept apart in a process
    // that has both roles.
    let leader_socket = Arc::new(UdpSocket::bind(parameters.udp_address).await?);
    let socket = Arc::new(UdpSocket::bind((parameters.udp_address.ip(), 0)).await?);
    let (calls, call_queue) = mpsc::channel(CALL_QUEUE_CAPACITY);
    let (answers, answer_queue) = mpsc::channel(CALL_QUEUE_CAPACITY);
    let api = WorkerApi::new(&parameters.worker_url, parameters.incarnation);
    tokio::spawn(api.run(call_queue, answers));
    let actor = Worker {
        agent: WorkerAgent::new(WorkerConfig {
            worker: parameters.worker.clone(),
            incarnation: parameters.incarnation,
            heartbeat_ms: parameters.heartbeat_ms,
        }),
        lease: None,
        group: None,
        leader: None,
        leader_address: None,
        trusted_until_ms: Arc::default(),
        socket: socket.clone(),
        leader_socket,
        encoder: DatagramEncoder::new(parameters.link.key.clone(), parameters.incarnation),
        decoder: DatagramDecoder::new(parameters.link.key.clone()),
        calls,
        writer: Writer::new(table),
        clock,
        metrics: metrics.clone(),
        random: ChaCha8Rng::seed_from_u64(rand::rng().next_u64()),
        is_finding_leader: false,
        shutdown_waiters: Vec::new(),
        parameters,
    };
    let address = xtra::spawn_tokio(actor, Mailbox::bounded(MAILBOX_CAPACITY));
    tokio::spawn(receive_datagrams(address.downgrade(), socket));
    tokio::spawn(send_ticks(address.downgrade()));
    tokio::spawn(forward_answers(address.downgrade(), answer_queue));
    Ok(address)
}

async fn receive_datagrams<T>(worker: xtra::WeakAddress<Worker<T>>, socket: Arc<UdpSocket>)
where
    T: Table + Clone,
{
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    while worker.is_connected() {
        let Ok((size, _)) = socket.recv_from(&mut buffer).await else { continue };
        if worker.send(Received(buffer[..size].to_vec())).await.is_err() {
            return;
        }
    }
}

async fn send_ticks<T>(worker: xtra::WeakAddress<Worker<T>>)
where
    T: Table + Clone,
{
    let mut interval = tokio::time::interval(Duration::from_millis(crate::worker::TICK_MS));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if worker.send(Tick).await.is_err() {
            return;
        }
    }
}

async fn forward_answers<T>(
    worker: xtra::WeakAddress<Worker<T>>,
    mut answers: mpsc::Receiver<WorkerAnswer>,
) where
    T: Table + Clone,
{
    while let Some(answer) = answers.recv().await {
        if worker.send(Answered(answer)).await.is_err() {
            return;
        }
    }
}

impl<T> Worker<T>
where
    T: Table + Clone,
{
    fn apply(&mut self, input: &Input, context: &Context<Self>) {
        let now_ms = self.clock.now_ms();
        for output in self.agent.handle(now_ms, input, &mut self.random) {
            match output {
                Output::Send { message } => self.send(&message),
                Output::FindLeader => self.find_leader(context),
                Output::Call { call } => self.call(call, context),
            }
        }
    }

    fn send(&mut self, message: &crate::wire::MemberMessage) {
        let Some((epoch, address)) = self.leader_address else { return };
        if epoch != self.agent.epoch() {
            return;
        }
        match self.encoder.encode(message) {
            // A datagram that the operating system does not accept counts as lost; the agent repeats messages that need
            // an answer.
            Ok(datagram) => drop(self.socket.try_send_to(&datagram, address)),
            Err(error) => {
                log::error!(
                    "message to the leader cannot be encoded as a datagram, dropped: {error}"
                )
            }
        }
    }

    /// Queues a call to the worker. If the queue does not accept the call, drops it and, if it is a start, reports
    /// the start as failed.
    fn call(&mut self, call: WorkerCall, context: &Context<Self>) {
        let decided = DecidedCall { call, decided_at: Instant::now() };
        let Err(error) = self.calls.try_send(decided) else { return };
        self.metrics.count("worker", "call_dropped");
        let dropped = match error {
            mpsc::error::TrySendError::Full(dropped) => dropped,
            mpsc::error::TrySendError::Closed(dropped) => dropped,
        };
        if let WorkerCall::Start { gang, .. } = dropped.call {
            let answer = Answered(WorkerAnswer::StartFailed { gang, never_ran: true });
            let worker = context.mailbox().address();
            tokio::spawn(async move { drop(worker.send(answer).await) });
        }
    }

    fn find_leader(&mut self, context: &Context<Self>) {
        if std::mem::replace(&mut self.is_finding_leader, true) {
            return;
        }
        let query = AgentMessage::FindLeader {
            process: self.parameters.process.clone(),
            data_centre: self.parameters.data_centre.clone(),
            rack: self.parameters.worker.rack.clone(),
        };
        let (entries, link) = (self.parameters.entries.clone(), self.parameters.link.clone());
        let worker = context.mailbox().address();
        tokio::spawn(async move {
            let found = find_leader(&entries, &link, query).await;
            drop(worker.send(LeaderQueryEnded(found)).await);
        });
    }

    fn record_group(&mut self, group: GroupId, group_workers: u32) {
        let reported = Some((group, group_workers));
        // A change of the topology moves workers between groups only after the gangs of the old group have ended.
        if self.group == reported
            || self.lease.as_ref().is_some_and(|l| l.epoch_if_holder().is_some())
        {
            return;
        }
        log::info!(group = reported.as_ref().map_or("", |(g, _)| g.as_str()); "entry reported the group of the worker");
        self.group = reported;
        if let Some((group, group_workers)) = self.group.clone() {
            self.lease = Some(LeaderLease::new(LeaseConfig {
                group,
                holder: self.parameters.process.clone(),
                incarnation: self.parameters.incarnation,
                address: self.parameters.udp_address,
                lease_ms: self.parameters.leader_lease_ms,
                group_workers,
            }));
        }
    }

    fn record_leader(&mut self, epoch: Epoch, address: SocketAddr, context: &Context<Self>) {
        if self.leader_address.is_none_or(|(current, _)| epoch > current) {
            self.leader_address = Some((epoch, address));
        }
        self.apply(&Input::EpochReported { epoch }, context);
    }

    fn apply_lease(&mut self, input: &LeaseInput, context: &Context<Self>) {
        let now_ms = self.clock.now_ms();
        let Some(lease) = &mut self.lease else { return };
        let outputs = lease.handle(now_ms, input, &mut self.random);
        self.trusted_until_ms.store(lease.trusted_until_ms(), Ordering::SeqCst);
        let leader = lease.known_leader();
        for output in outputs {
            self.apply_lease_output(output, context);
        }
        if let Some((epoch, address)) = leader
            && epoch > self.agent.epoch()
        {
            self.record_leader(epoch, address, context);
        }
    }

    fn apply_lease_output(&mut self, output: LeaseOutput, context: &Context<Self>) {
        match output {
            LeaseOutput::Read | LeaseOutput::Commit { .. } => self.call_table(output, context),
            LeaseOutput::Lead { epoch, epoch_version, first } => {
                let Some((group, group_workers)) = self.group.clone() else { return };
                log::info!(group = group.as_str(), epoch = epoch.0; "this process leads its group");
                self.metrics.count("membership", "took_the_lead");
                let parameters = LeaderParameters {
                    group,
                    group_workers,
                    epoch,
                    epoch_version,
                    first,
                    trusted_until_ms: self.trusted_until_ms.clone(),
                    worker: self.parameters.clone(),
                };
                let socket = self.leader_socket.clone();
                let leader =
                    leader::spawn(parameters, socket, &self.writer, self.clock, &self.metrics);
                self.leader = Some(leader);
                self.record_leader(epoch, self.parameters.udp_address, context);
            }
            LeaseOutput::Resign => {
                log::info!("this process no longer leads its group");
                self.leader = None;
            }
            LeaseOutput::Done => {
                for waiter in self.shutdown_waiters.drain(..) {
                    let _ = waiter.send(());
                }
            }
        }
    }

    fn call_table(&mut self, output: LeaseOutput, context: &Context<Self>) {
        let Some((group, _)) = self.group.clone() else { return };
        let (writer, seed) = (self.writer.clone(), self.random.next_u64());
        let worker = context.mailbox().address();
        tokio::spawn(async move {
            if let Some(input) = lease_table::call(&writer, &group, &output, seed).await {
                drop(worker.send(FromTable(input)).await);
            }
        });
    }
}

impl<T> Handler<Received> for Worker<T>
where
    T: Table + Clone,
{
    type Return = ();

    async fn handle(&mut self, received: Received, context: &mut Context<Self>) {
        let incarnation = self.agent.incarnation();
        let decoded = self.decoder.decode_for::<LeaderDatagram>(&received.0, incarnation);
        let (_, LeaderDatagram { epoch, message }) = match decoded {
            Ok(decoded) => decoded,
            Err(error) => {
                self.metrics.count("worker", "datagram_refused");
                return log::debug!("datagram of a leader dropped: {error}");
            }
        };
        if epoch >= self.agent.epoch() {
            self.apply_lease(&LeaseInput::LeaderMessageReceived, context);
        }
        self.apply(&Input::Leader { epoch, incarnation, message }, context);
    }
}

impl<T> Handler<Answered> for Worker<T>
where
    T: Table + Clone,
{
    type Return = ();

    async fn handle(&mut self, answered: Answered, context: &mut Context<Self>) {
        self.apply(&Input::Worker { answer: answered.0 }, context);
    }
}

impl<T> Handler<LeaderQueryEnded> for Worker<T>
where
    T: Table + Clone,
{
    type Return = ();

    async fn handle(&mut self, query: LeaderQueryEnded, context: &mut Context<Self>) {
        self.is_finding_leader = false;
        let Some(FoundGroup { group, group_workers, leader }) = query.0 else { return };
        self.record_group(group, group_workers);
        if let Some((epoch, address)) = leader {
            self.record_leader(epoch, address, context);
        }
    }
}

impl<T> Handler<FromTable> for Worker<T>
where
    T: Table + Clone,
{
    type Return = ();

    async fn handle(&mut self, from_table: FromTable, context: &mut Context<Self>) {
        self.apply_lease(&from_table.0, context);
    }
}

impl<T> Handler<Tick> for Worker<T>
where
    T: Table + Clone,
{
    type Return = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self>) {
        self.apply(&Input::Tick, context);
        self.apply_lease(&LeaseInput::Tick, context);
    }
}

impl<T> Handler<BundleApplied> for Worker<T>
where
    T: Table + Clone,
{
    type Return = ();

    async fn handle(&mut self, applied: BundleApplied, context: &mut Context<Self>) {
        self.apply(&Input::BundleActivated { version: applied.version }, context);
    }
}

impl<T> Handler<Shutdown> for Worker<T>
where
    T: Table + Clone,
{
    type Return = oneshot::Receiver<()>;

    async fn handle(&mut self, _: Shutdown, context: &mut Context<Self>) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        if self.lease.is_none() {
            let _ = sender.send(());
        } else {
            self.shutdown_waiters.push(sender);
            self.apply_lease(&LeaseInput::Shutdown, context);
        }
        receiver
    }
}

impl<T> Handler<Dump> for Worker<T>
where
    T: Table + Clone,
{
    type Return = WorkerDump;

    async fn handle(&mut self, _: Dump, _: &mut Context<Self>) -> WorkerDump {
        let leader = match &self.leader {
            Some(leader) => leader.send(leader::Dump).await.unwrap_or_default(),
            None => serde_json::Value::Null,
        };
        WorkerDump {
            agent: serde_json::to_value(&self.agent).unwrap_or_default(),
            lease: serde_json::to_value(&self.lease).unwrap_or_default(),
            leader,
        }
    }
}
