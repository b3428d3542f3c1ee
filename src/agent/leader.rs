//! The actor of a process that leads its group: it gives [`Leader`] a clock, a socket, the entries and the table.

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

/// The most messages that wait for the actor.
const MAILBOX_MESSAGES: usize = 4_096;
/// The time between two questions for the start permit, which is valid for 2 s.
const ASK_MS: u64 = 500;

/// What a leader is told when its epoch begins.
#[derive(Clone, Debug)]
pub struct LeaderParameters {
    /// The group.
    pub group: GroupId,
    /// The number of its workers.
    pub group_workers: u32,
    /// The epoch.
    pub epoch: Epoch,
    /// The version of the epoch row.
    pub epoch_version: RowVersion,
    /// Whether the group never had a leader.
    pub first: bool,
    /// The time of the process's clock until which the lease certainly holds.
    pub trusted_until_ms: Arc<AtomicU64>,
    /// The parameters of the process.
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
    next_question_ms: u64,
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
        // The next leader of this process reads from the same socket.
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// A datagram of a member arrived.
struct Received {
    datagram: Vec<u8>,
    from: SocketAddr,
}

/// The table answered.
pub(super) struct FromTable(pub(super) Input);

/// A connection to an entry was opened.
pub(super) struct EntryConnected {
    pub(super) entry: usize,
    pub(super) sender: LinkSender<AgentMessage>,
}

/// A connection to an entry was lost.
pub(super) struct EntryLost {
    pub(super) entry: usize,
}

/// An entry sent a message.
pub(super) struct FromEntry {
    pub(super) entry: usize,
    pub(super) message: EntryMessage,
}

/// Asks for what the entries are told.
pub(super) struct Summary;

/// Asks for the state of the leader.
pub(super) struct Dump;

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
        members: MembersConfig {
            group_workers: *group_workers,
            heartbeat_ms: parameters.worker.heartbeat_ms,
            gang_lease_ms: parameters.worker.gang_lease_ms,
        },
        policy: parameters.worker.policy,
    };
    let key = parameters.worker.link.key.clone();
    let (address, mailbox) = Mailbox::bounded(MAILBOX_MESSAGES);
    let tasks = vec![
        tokio::spawn(receive(address.downgrade(), socket.clone())),
        tokio::spawn(keep_time(address.downgrade())),
    ];
    let actor = GroupLeader {
        leader: Leader::new(config, *epoch, clock.now_ms(), *first),
        epoch_context: EpochContext { group: group.clone(), epoch_version: *epoch_version },
        trusted: true,
        bundle: ActiveBundle::default(),
        service_version: 0,
        permit: Permit::default(),
        next_question_ms: 0,
        entries: HashMap::new(),
        addresses: HashMap::new(),
        socket,
        // Members refuse repeated sequence numbers of one sender, so each epoch is a sender of its own.
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

async fn receive<T>(leader: xtra::WeakAddress<GroupLeader<T>>, socket: Arc<UdpSocket>)
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

async fn keep_time<T>(leader: xtra::WeakAddress<GroupLeader<T>>)
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
    /// Gives the leader an input, after what became of its lease in the meantime.
    fn apply(&mut self, input: &Input, context: &mut Context<Self>) {
        let now_ms = self.clock.now_ms();
        let trusted = now_ms < self.parameters.trusted_until_ms.load(Ordering::SeqCst);
        if trusted != self.trusted {
            self.trusted = trusted;
            log::info!(trusted = trusted; "lease of the leader changed");
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
                Output::Accepted { job } => self.tell_entries(&AgentMessage::JobAccepted { job }),
                Output::Summary { summary } => self.tell_entries(&AgentMessage::Lead(summary)),
                Output::Deposed => {
                    log::info!("another process leads the group");
                    context.stop_self();
                }
            }
        }
    }

    fn send(&mut self, worker: &WorkerId, incarnation: Incarnation, datagram: &LeaderDatagram) {
        let Some(address) = self.addresses.get(worker) else { return };
        match self.encoder.encode_for(datagram, incarnation) {
            // A datagram that the system does not take counts as lost; the leader repeats what matters.
            Ok(bytes) => drop(self.socket.try_send_to(&bytes, *address)),
            Err(error) => {
                self.metrics.count("leader", "message_too_long");
                log::error!(worker = worker.as_str(); "message does not fit a datagram: {error}");
            }
        }
    }

    fn tell_entries(&self, message: &AgentMessage) {
        for sender in self.entries.values() {
            drop(sender.try_send(message.clone()));
        }
    }

    /// Puts a signed bundle in force and confirms what is in force.
    fn take_bundle(&mut self, signed: &str, context: &mut Context<Self>) {
        let verified = SignedBundle::from_json(signed.as_bytes())
            .and_then(|signed| verify(&signed, &self.parameters.worker.partners));
        let verified = match verified {
            Ok(verified) => verified,
            Err(error) => return log::error!("bundle refused: {error}"),
        };
        let rules = match admit(verified.bundle()) {
            Ok(admission) => admission.group_rules(&self.parameters.group),
            Err(error) => return log::error!("bundle refused: {error}"),
        };
        let Some(rules) = rules else {
            return log::error!(group = self.parameters.group.as_str(); "bundle has no such group");
        };
        if matches!(self.bundle.apply_if_newer(verified), OfferResult::Applied) {
            self.apply(&Input::Rules { rules: Box::new(rules) }, context);
        }
    }

    fn confirm(&self, entry: usize) {
        let Some(sender) = self.entries.get(&entry) else { return };
        let (bundle, service_version) = (self.bundle.version(), self.service_version);
        drop(sender.try_send(AgentMessage::Applied { bundle, service_version }));
    }

    fn handle_entry(&mut self, from: FromEntry, context: &mut Context<Self>) {
        let now_ms = self.clock.now_ms();
        match from.message {
            EntryMessage::Config { signed, .. } => {
                self.take_bundle(&signed, context);
                self.confirm(from.entry);
            }
            EntryMessage::Service { state, version, .. } => {
                self.service_version = self.service_version.max(version);
                if state == DataCentreState::Out {
                    self.permit.withdraw(RowVersion(version));
                }
                self.apply(&Input::Service { state, version }, context);
                self.confirm(from.entry);
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

    /// Asks an entry for a start permit when it is time.
    fn ask_permit(&mut self) {
        let now_ms = self.clock.now_ms();
        if now_ms < self.next_question_ms || self.entries.is_empty() {
            return;
        }
        self.next_question_ms = now_ms + ASK_MS;
        let sequence = self.permit.begin_request(now_ms);
        let asked = self.entries.values().nth(sequence as usize % self.entries.len());
        if let Some(sender) = asked {
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
                return log::debug!("datagram refused: {error}");
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
        self.ask_permit();
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
