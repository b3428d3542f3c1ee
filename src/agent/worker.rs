//! The actor beside a worker: it gives [`WorkerAgent`] and [`LeaderLease`] a clock, sockets, the worker and the table.

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

/// The most messages that wait for the actor.
const MAILBOX_MESSAGES: usize = 1_024;
/// The most calls that wait for the worker.
const CALLS: usize = 256;

/// What an agent beside a worker is told by its settings.
#[derive(Clone, Debug)]
pub struct WorkerParameters {
    /// The process.
    pub process: ProcessId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The worker.
    pub worker: WorkerSpec,
    /// The base URL of the worker's own interface.
    pub worker_url: String,
    /// The UDP address at which members reach this process when it leads its group.
    pub udp_address: SocketAddr,
    /// The TCP addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// The limits of connections, and the key of the deployment.
    pub link: LinkSettings,
    /// The partners whose signatures count.
    pub partners: TrustedPartners,
    /// The interval of heartbeats.
    pub heartbeat_ms: u64,
    /// The lease of a gang on a member.
    pub gang_lease_ms: u64,
    /// The lease of the group's leader.
    pub leader_lease_ms: u64,
    /// How a leader chooses cells.
    pub policy: Policy,
}

/// The actor beside one worker.
pub struct Worker<T>
where
    T: Table + Clone,
{
    parameters: WorkerParameters,
    agent: WorkerAgent,
    /// The lease, once an entry named the group.
    lease: Option<LeaderLease>,
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
    finding: bool,
    done: Vec<oneshot::Sender<()>>,
}

impl<T> xtra::Actor for Worker<T>
where
    T: Table + Clone,
{
    type Stop = ();

    async fn stopped(self) {}
}

/// A datagram of a leader arrived.
struct Received(Vec<u8>);

/// The worker answered.
struct Answered(WorkerAnswer);

/// An entry was asked for the leader.
struct Found(Option<FoundGroup>);

/// The table answered.
struct FromTable(LeaseInput);

struct Tick;

/// A bundle came into force at this process.
pub struct BundleApplied {
    /// Its version.
    pub version: BundleVersion,
}

/// The process shuts down. The answer is a receiver that fires when the lease is given up.
pub struct Shutdown;

/// Asks for the state of the agent.
pub struct Dump;

/// What operators may see of an agent beside a worker.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerDump {
    /// The agent.
    pub agent: serde_json::Value,
    /// The lease of the group's leader as this process sees it.
    pub lease: serde_json::Value,
    /// The leader, if this process leads.
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
    // The leader has a socket of its own, so that a process that leads itself keeps both roles apart.
    let leader_socket = Arc::new(UdpSocket::bind(parameters.udp_address).await?);
    let socket = Arc::new(UdpSocket::bind((parameters.udp_address.ip(), 0)).await?);
    let (calls, call_queue) = mpsc::channel(CALLS);
    let (answers, answer_queue) = mpsc::channel(CALLS);
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
        finding: false,
        done: Vec::new(),
        parameters,
    };
    let address = xtra::spawn_tokio(actor, Mailbox::bounded(MAILBOX_MESSAGES));
    tokio::spawn(receive(address.downgrade(), socket));
    tokio::spawn(keep_time(address.downgrade()));
    tokio::spawn(pass_answers(address.downgrade(), answer_queue));
    Ok(address)
}

async fn receive<T>(worker: xtra::WeakAddress<Worker<T>>, socket: Arc<UdpSocket>)
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

async fn keep_time<T>(worker: xtra::WeakAddress<Worker<T>>)
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

async fn pass_answers<T>(
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
            // A datagram that the system does not take counts as lost; the agent repeats what matters.
            Ok(datagram) => drop(self.socket.try_send_to(&datagram, address)),
            Err(error) => log::error!("message to the leader does not fit a datagram: {error}"),
        }
    }

    fn call(&mut self, call: WorkerCall, context: &Context<Self>) {
        let decided = DecidedCall { call, at: Instant::now() };
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
        if std::mem::replace(&mut self.finding, true) {
            return;
        }
        let question = AgentMessage::FindLeader {
            process: self.parameters.process.clone(),
            data_centre: self.parameters.data_centre.clone(),
            rack: self.parameters.worker.rack.clone(),
        };
        let (entries, link) = (self.parameters.entries.clone(), self.parameters.link.clone());
        let worker = context.mailbox().address();
        tokio::spawn(async move {
            let found = find_leader(&entries, &link, question).await;
            drop(worker.send(Found(found)).await);
        });
    }

    fn record_group(&mut self, group: GroupId, group_workers: u32) {
        let found = Some((group, group_workers));
        // A change of the topology moves workers between groups only after the gangs of the old group are over.
        if self.group == found || self.lease.as_ref().is_some_and(|l| l.epoch_if_holder().is_some())
        {
            return;
        }
        log::info!(group = found.as_ref().map_or("", |(g, _)| g.as_str()); "group of the worker is known");
        self.group = found;
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
        if self.leader_address.is_none_or(|(known, _)| epoch > known) {
            self.leader_address = Some((epoch, address));
        }
        self.apply(&Input::EpochSeen { epoch }, context);
    }

    fn apply_lease(&mut self, input: &LeaseInput, context: &Context<Self>) {
        let now_ms = self.clock.now_ms();
        let Some(lease) = &mut self.lease else { return };
        let outputs = lease.handle(now_ms, input, &mut self.random);
        self.trusted_until_ms.store(lease.trusted_until_ms(), Ordering::SeqCst);
        let known = lease.known_leader();
        for output in outputs {
            self.apply_lease_output(output, context);
        }
        if let Some((epoch, address)) = known
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
                log::info!("this process does not lead its group any more");
                self.leader = None;
            }
            LeaseOutput::Done => {
                for done in self.done.drain(..) {
                    let _ = done.send(());
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
                return log::debug!("datagram refused: {error}");
            }
        };
        if epoch >= self.agent.epoch() {
            self.apply_lease(&LeaseInput::LeaderHeard, context);
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

impl<T> Handler<Found> for Worker<T>
where
    T: Table + Clone,
{
    type Return = ();

    async fn handle(&mut self, found: Found, context: &mut Context<Self>) {
        self.finding = false;
        let Some(FoundGroup { group, group_workers, leader }) = found.0 else { return };
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
        self.apply(&Input::BundleInForce { version: applied.version }, context);
    }
}

impl<T> Handler<Shutdown> for Worker<T>
where
    T: Table + Clone,
{
    type Return = oneshot::Receiver<()>;

    async fn handle(&mut self, _: Shutdown, context: &mut Context<Self>) -> oneshot::Receiver<()> {
        let (done, receiver) = oneshot::channel();
        if self.lease.is_none() {
            let _ = done.send(());
        } else {
            self.done.push(done);
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
