//! The actor of a process that leads its group. It connects the state machine [`Leader`] to a clock, a UDP socket, the
//! entries and the table.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use xtra::prelude::*;

use super::leader_entry;
use super::leader_table;
use super::worker::WorkerParameters;
use crate::bundle::{ActiveBundle, OfferResult, SignedBundle, verify};
use crate::guarantee::admit;
use crate::leader::{EpochContext, Input, Leader, LeaderConfig, Output};
use crate::membership::MembersConfig;
use crate::permit::Permit;
use crate::prelude::*;
use crate::process::{Metrics, MonotonicClock, new_incarnation};
use crate::store::{RowVersion, Table, Writer};
use crate::wire::{
    AgentMessage, DataCentreState, DatagramDecoder, DatagramEncoder, EntryMessage, GroupSummary,
    LeaderDatagram, LinkSender, MAX_DATAGRAM_BYTES, MemberMessage,
};

/// The capacity of the actor's mailbox.
const MAILBOX_CAPACITY: usize = 4_096;
/// The interval between two requests for the start permit, which is valid for 2 s.
const PERMIT_REQUEST_INTERVAL_MS: u64 = 500;

/// Parameters of the leader of a group in one epoch.
#[derive(Clone, Debug)]
pub struct LeaderParameters {
    /// The group.
    pub group: GroupId,
    /// The number of workers in the group.
    pub group_workers: u32,
    /// The epoch.
    pub epoch: Epoch,
    /// The version of the epoch row in the table.
    pub epoch_version: RowVersion,
    /// Whether the group had no leader before this epoch.
    pub first: bool,
    /// The time, on the process's monotonic clock, until which the leader lease is guaranteed to hold.
    pub trusted_until_ms: Arc<AtomicU64>,
    /// The parameters of the worker agent of this process.
    pub worker: WorkerParameters,
}

/// The actor of the leader of one group in one epoch.
pub struct GroupLeader<T>
where
    T: Table + Clone,
{
    leader: Leader,
    parameters: LeaderParameters,
    epoch_context: EpochContext,
    trusted: bool,
    bundle: ActiveBundle,
    service_version: u64,
    permit: Permit,
    next_permit_request_ms: u64,
    entries: HashMap<usize, LinkSender<AgentMessage>>,
    addresses: HashMap<WorkerId, SocketAddr>,
    socket: Arc<UdpSocket>,
    encoder: DatagramEncoder,
    decoder: DatagramDecoder,
    writer: Writer<T>,
    clock: MonotonicClock,
    metrics: Metrics,
    random: ChaCha8Rng,
    tasks: Vec<JoinHandle<()>>,
}

impl<T> xtra::Actor for GroupLeader<T>
where
    T: Table + Clone,
{
    type Stop = ();

    async fn stopped(self) {
        // A later leader of this process reads from the same socket, so this one's receive task must end.
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Datagram received from a member.
struct Received {
    datagram: Vec<u8>,
    from: SocketAddr,
}

/// Result of a call of the table.
pub(super) struct FromTable(pub(super) Input);

/// Message that a connection to an entry was opened.
pub(super) struct EntryConnected {
    pub(super) entry: usize,
    pub(super) sender: LinkSender<AgentMessage>,
}

/// Message that a connection to an entry failed or ended.
pub(super) struct EntryLost {
    pub(super) entry: usize,
}

/// Message received from an entry.
pub(super) struct FromEntry {
    pub(super) entry: usize,
    pub(super) message: EntryMessage,
}

/// Requests the summary of the group that is sent to entries.
pub(super) struct Summary;

/// Requests the state of the leader, for operators.
pub(super) struct Dump;

/// Message that a tick interval has elapsed.
struct Tick;

/// Starts the leader of a group and its tasks.
pub(super) fn spawn<T>(
    parameters: LeaderParameters,
    socket: Arc<UdpSocket>,
    writer: &Writer<T>,
    clock: MonotonicClock,
    metrics: &Metrics,
) -> Address<GroupLeader<T>>
where
    T: Table + Clone,
{
    let LeaderParameters { group, group_workers, epoch, epoch_version, first, .. } = &parameters;
    let config = LeaderConfig {
        group: group.clone(),
        members_config: MembersConfig {
            group_workers: *group_workers,
            heartbeat_ms: parameters.worker.heartbeat_ms,
            gang_lease_ms: parameters.worker.gang_lease_ms,
        },
        policy: parameters.worker.policy,
    };
    let key = parameters.worker.link.key.clone();
    let (address, mailbox) = Mailbox::bounded(MAILBOX_CAPACITY);
    let tasks = vec![
        tokio::spawn(receive_datagrams(address.downgrade(), socket.clone())),
        tokio::spawn(send_ticks(address.downgrade())),
    ];
    let actor = GroupLeader {
        leader: Leader::new(config, *epoch, clock.now_ms(), *first),
        epoch_context: EpochContext { group: group.clone(), epoch_version: *epoch_version },
        trusted: true,
        bundle: ActiveBundle::default(),
        service_version: 0,
        permit: Permit::default(),
        next_permit_request_ms: 0,
        entries: HashMap::new(),
        addresses: HashMap::new(),
        socket,
        // Members refuse repeated sequence numbers of a sender, so each epoch uses a new sender incarnation.
        encoder: DatagramEncoder::new(key.clone(), new_incarnation()),
        decoder: DatagramDecoder::new(key),
        writer: writer.clone(),
        clock,
        metrics: metrics.clone(),
        random: ChaCha8Rng::seed_from_u64(rand::rng().next_u64()),
        tasks,
        parameters,
    };
    leader_entry::connect(&address, &actor.parameters);
    tokio::spawn(xtra::run(mailbox, actor));
    address
}

async fn receive_datagrams<T>(leader: xtra::WeakAddress<GroupLeader<T>>, socket: Arc<UdpSocket>)
where
    T: Table + Clone,
{
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    while leader.is_connected() {
        let Ok((size, from)) = socket.recv_from(&mut buffer).await else { continue };
        let datagram = buffer[..size].to_vec();
        if leader.send(Received { datagram, from }).await.is_err() {
            return;
        }
    }
}

async fn send_ticks<T>(leader: xtra::WeakAddress<GroupLeader<T>>)
where
    T: Table + Clone,
{
    let mut interval = tokio::time::interval(Duration::from_millis(crate::leader::TICK_MS));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if leader.send(Tick).await.is_err() {
            return;
        }
    }
}

impl<T> GroupLeader<T>
where
    T: Table + Clone,
{
    /// Passes an input to the leader. If the validity of the leader lease changed, that change is passed first.
    fn apply(&mut self, input: &Input, context: &mut Context<Self>) {
        let now_ms = self.clock.now_ms();
        let trusted = now_ms < self.parameters.trusted_until_ms.load(Ordering::SeqCst);
        if trusted != self.trusted {
            self.trusted = trusted;
            log::info!(trusted = trusted; "validity of the leader lease changed");
            let outputs = self.leader.handle(now_ms, &Input::Trusted { trusted }, &mut self.random);
            self.apply_outputs(outputs, context);
        }
        let outputs = self.leader.handle(now_ms, input, &mut self.random);
        self.apply_outputs(outputs, context);
    }

    fn apply_outputs(&mut self, outputs: Vec<Output>, context: &mut Context<Self>) {
        for output in outputs {
            match output {
                Output::Send { worker, incarnation, message } => {
                    let datagram = LeaderDatagram { epoch: self.leader.epoch(), message };
                    self.send(&worker, incarnation, &datagram);
                }
                Output::Scan | Output::ReadJobs { .. } | Output::Change { .. } => {
                    let (writer, epoch_context) = (self.writer.clone(), self.epoch_context.clone());
                    let seed = self.random.next_u64();
                    let leader = context.mailbox().address();
                    tokio::spawn(async move {
                        if let Some(input) =
                            leader_table::call(&writer, &epoch_context, output, seed).await
                        {
                            drop(leader.send(FromTable(input)).await);
                        }
                    });
                }
                Output::Accepted { job } => {
                    self.send_to_entries(&AgentMessage::JobAccepted { job })
                }
                Output::Summary { summary } => self.send_to_entries(&AgentMessage::Lead(summary)),
                Output::Deposed => {
                    log::info!("another process leads the group; this leader stops");
                    context.stop_self();
                }
            }
        }
    }

    fn send(&mut self, worker: &WorkerId, incarnation: Incarnation, datagram: &LeaderDatagram) {
        let Some(address) = self.addresses.get(worker) else { return };
        match self.encoder.encode_for(datagram, incarnation) {
            // A datagram that the operating system does not accept counts as lost; the leader repeats messages that
            // need an answer.
            Ok(bytes) => drop(self.socket.try_send_to(&bytes, *address)),
            Err(error) => {
                self.metrics.count("leader", "message_too_long");
                log::error!(
                    worker = worker.as_str();
                    "message to a member cannot be encoded as a datagram, dropped: {error}"
                );
            }
        }
    }

    fn send_to_entries(&self, message: &AgentMessage) {
        for sender in self.entries.values() {
            drop(sender.try_send(message.clone()));
        }
    }

    /// Verifies a signed bundle and applies it if it is newer than the active bundle.
    fn apply_bundle(&mut self, signed: &str, context: &mut Context<Self>) {
        let verified = SignedBundle::from_json(signed.as_bytes())
            .and_then(|signed| verify(&signed, &self.parameters.worker.partners));
        let verified = match verified {
            Ok(verified) => verified,
            Err(error) => return log::error!("bundle refused, the active bundle stays: {error}"),
        };
        let rules = match admit(verified.bundle()) {
            Ok(admission) => admission.group_rules(&self.parameters.group),
            Err(error) => return log::error!("bundle refused, the active bundle stays: {error}"),
        };
        let Some(rules) = rules else {
            return log::error!(group = self.parameters.group.as_str(); "bundle refused, it does not contain the group");
        };
        if matches!(self.bundle.apply_if_newer(verified), OfferResult::Applied) {
            self.apply(&Input::Rules { rules: Box::new(rules) }, context);
        }
    }

    /// Sends an entry the versions of the active bundle and of the data centre's state.
    fn confirm_applied(&self, entry: usize) {
        let Some(sender) = self.entries.get(&entry) else { return };
        let (bundle, service_version) = (self.bundle.version(), self.service_version);
        drop(sender.try_send(AgentMessage::Applied { bundle, service_version }));
    }

    fn handle_entry(&mut self, from: FromEntry, context: &mut Context<Self>) {
        let now_ms = self.clock.now_ms();
        match from.message {
            EntryMessage::Config { signed, .. } => {
                self.apply_bundle(&signed, context);
                self.confirm_applied(from.entry);
            }
            EntryMessage::DataCentreState { state, version, .. } => {
                self.service_version = self.service_version.max(version);
                if state == DataCentreState::Out {
                    self.permit.withdraw(RowVersion(version));
                }
                self.apply(&Input::DataCentreState { state, version }, context);
                self.confirm_applied(from.entry);
            }
            EntryMessage::Permit { sequence, version, permit_ms } => {
                self.permit.record_answer(sequence, RowVersion(version), permit_ms);
                let (version, remaining_ms) =
                    (self.permit.version().0, self.permit.remaining_ms(now_ms));
                self.service_version = self.service_version.max(version);
                self.apply(&Input::Permit { version, remaining_ms }, context);
            }
            EntryMessage::SubmitJob { job } => {
                self.apply(&Input::Submit { job: job.id.clone() }, context);
            }
            EntryMessage::CancelJobs { jobs } => self.apply(&Input::Cancel { jobs }, context),
            EntryMessage::Leader { leader: Some((epoch, _)), .. }
                if epoch > self.leader.epoch() =>
            {
                context.stop_self();
            }
            _ => {}
        }
    }

    /// Requests a start permit from one entry if the interval since the last request has elapsed. Requests go to the
    /// entries in turn.
    fn request_permit(&mut self) {
        let now_ms = self.clock.now_ms();
        if now_ms < self.next_permit_request_ms || self.entries.is_empty() {
            return;
        }
        self.next_permit_request_ms = now_ms + PERMIT_REQUEST_INTERVAL_MS;
        let sequence = self.permit.begin_request(now_ms);
        let entry = self.entries.values().nth(sequence as usize % self.entries.len());
        if let Some(sender) = entry {
            let data_centre = self.parameters.worker.data_centre.clone();
            drop(sender.try_send(AgentMessage::AskPermit { data_centre, sequence }));
        }
    }
}

impl<T> Handler<Received> for GroupLeader<T>
where
    T: Table + Clone,
{
    type Return = ();

    async fn handle(&mut self, received: Received, context: &mut Context<Self>) {
        let message = match self.decoder.decode::<MemberMessage>(&received.datagram) {
            Ok((_, message)) => message,
            Err(error) => {
                self.metrics.count("leader", "datagram_refused");
                return log::debug!("datagram of a member dropped: {error}");
            }
        };
        let worker = match &message {
            MemberMessage::Heartbeat { worker, .. } => Some(worker),
            MemberMessage::Join { worker, .. } => Some(&worker.id),
            _ => None,
        };
        if let Some(worker) = worker {
            self.addresses.insert(worker.clone(), received.from);
        }
        self.apply(&Input::Member { message }, context);
    }
}

impl<T> Handler<FromTable> for GroupLeader<T>
where
    T: Table + Clone,
{
    type Return = ();

    async fn handle(&mut self, from_table: FromTable, context: &mut Context<Self>) {
        self.apply(&from_table.0, context);
    }
}

impl<T> Handler<FromEntry> for GroupLeader<T>
where
    T: Table + Clone,
{
    type Return = ();

    async fn handle(&mut self, from: FromEntry, context: &mut Context<Self>) {
        self.handle_entry(from, context);
    }
}

impl<T> Handler<EntryConnected> for GroupLeader<T>
where
    T: Table + Clone,
{
    type Return = ();

    async fn handle(&mut self, connected: EntryConnected, _: &mut Context<Self>) {
        self.entries.insert(connected.entry, connected.sender);
    }
}

impl<T> Handler<EntryLost> for GroupLeader<T>
where
    T: Table + Clone,
{
    type Return = ();

    async fn handle(&mut self, lost: EntryLost, _: &mut Context<Self>) {
        self.entries.remove(&lost.entry);
    }
}

impl<T> Handler<Tick> for GroupLeader<T>
where
    T: Table + Clone,
{
    type Return = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self>) {
        self.apply(&Input::Tick, context);
        self.request_permit();
    }
}

impl<T> Handler<Summary> for GroupLeader<T>
where
    T: Table + Clone,
{
    type Return = GroupSummary;

    async fn handle(&mut self, _: Summary, _: &mut Context<Self>) -> GroupSummary {
        self.leader.summary()
    }
}

impl<T> Handler<Dump> for GroupLeader<T>
where
    T: Table + Clone,
{
    type Return = serde_json::Value;

    async fn handle(&mut self, _: Dump, _: &mut Context<Self>) -> serde_json::Value {
        serde_json::to_value(&self.leader).unwrap_or_default()
    }
}
