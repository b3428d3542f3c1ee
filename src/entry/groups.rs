//! The actor around the entry's [`GroupDirectory`]: sends jobs to leaders, and tells agents who leads their group.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand_chacha::ChaCha8Rng;
use xtra::prelude::*;

use crate::bundle::Bundle;
use crate::directory::{GroupDirectory, Input, Output};
use crate::prelude::*;
use crate::process::{Metrics, MonotonicClock};
use crate::request::ConnectionId;
use crate::wire::{AgentMessage, DataCentreState, EntryMessage, GroupSummary, LinkSender};

/// The actor that knows the groups and their leaders.
#[derive(xtra::Actor)]
pub struct Groups {
    directory: GroupDirectory,
    bundle: Option<Bundle>,
    connections: HashMap<ConnectionId, LinkSender<EntryMessage>>,
    leaders: HashMap<GroupId, (Epoch, SocketAddr)>,
    clock: MonotonicClock,
    metrics: Metrics,
    random: ChaCha8Rng,
}

impl Groups {
    /// Creates the actor without any group; the first bundle brings them.
    pub fn new(clock: MonotonicClock, metrics: &Metrics, random: ChaCha8Rng) -> Self {
        Self {
            directory: GroupDirectory::default(),
            bundle: None,
            connections: HashMap::new(),
            leaders: HashMap::new(),
            clock,
            metrics: metrics.clone(),
            random,
        }
    }

    fn apply(&mut self, input: &Input) {
        for output in self.directory.handle(self.clock.now_ms(), input) {
            let (connection, message) = match output {
                Output::SendJob { connection, job } => {
                    (connection, EntryMessage::SubmitJob { job })
                }
                Output::SendCancel { connection, jobs } => {
                    (connection, EntryMessage::CancelJobs { jobs })
                }
            };
            self.send(connection, message);
        }
    }

    /// Sends a message if its connection has room; the directory repeats jobs, and leaders scan for cancellations.
    fn send(&self, connection: ConnectionId, message: EntryMessage) {
        let sent = self
            .connections
            .get(&connection)
            .is_some_and(|sender| sender.try_send(message).is_ok());
        if !sent {
            self.metrics.count("groups", "message_not_sent");
        }
    }

    fn answer_find_leader(
        &self,
        connection: ConnectionId,
        data_centre: &DataCentreId,
        rack: &RackId,
    ) {
        let groups = self.bundle.iter().flat_map(Bundle::groups);
        let mut found =
            groups.filter(|group| &group.data_centre == data_centre && group.racks.contains(rack));
        let Some(found) = found.next() else {
            log::warn!(data_centre = data_centre.as_str(), rack = rack.as_str(); "rack is not in the bundle in force");
            return;
        };
        let (group, group_workers) = (found.id, found.workers);
        let leader = self.leaders.get(&group).copied();
        self.send(connection, EntryMessage::Leader { group, group_workers, leader });
    }
}

/// A connection of an agent was accepted.
pub struct Connected {
    /// The connection.
    pub connection: ConnectionId,
    /// Its sending side.
    pub sender: LinkSender<EntryMessage>,
}

/// A connection of an agent was lost.
pub struct Disconnected {
    /// The connection.
    pub connection: ConnectionId,
}

/// An agent sent a message about groups or jobs.
pub struct FromAgent {
    /// The connection.
    pub connection: ConnectionId,
    /// The message.
    pub message: AgentMessage,
}

/// A bundle is in force.
pub struct ApplyBundle {
    /// The bundle.
    pub bundle: Box<Bundle>,
}

/// The state of a data centre is known.
pub struct ApplyService {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Its state.
    pub state: DataCentreState,
}

/// The leader of a group is known from its lease row.
pub struct LeaderKnown {
    /// The group.
    pub group: GroupId,
    /// Its leader's epoch.
    pub epoch: Epoch,
    /// Its leader's address for members.
    pub address: SocketAddr,
}

/// Asks for the group that should get a job.
pub struct Choose {
    /// The job.
    pub job: JobSpec,
}

/// Sends a durable job to its leader.
pub struct Deliver {
    /// The job.
    pub job: Box<JobSpec>,
    /// Its group.
    pub group: GroupId,
}

/// Sends a durable cancellation to the leaders.
pub struct Cancel {
    /// The jobs.
    pub jobs: Vec<JobId>,
}

/// Repeats what was not confirmed.
pub struct Tick;

/// Asks for the summaries of all led groups.
pub struct Summaries;

/// Asks for the state of the directory.
pub struct Dump;

impl Handler<Connected> for Groups {
    type Return = ();

    async fn handle(&mut self, connected: Connected, _: &mut Context<Self>) {
        self.connections.insert(connected.connection, connected.sender);
    }
}

impl Handler<Disconnected> for Groups {
    type Return = ();

    async fn handle(&mut self, lost: Disconnected, _: &mut Context<Self>) {
        self.connections.remove(&lost.connection);
        self.apply(&Input::ConnectionLost { connection: lost.connection });
    }
}

impl Handler<FromAgent> for Groups {
    type Return = ();

    async fn handle(&mut self, from: FromAgent, _: &mut Context<Self>) {
        let connection = from.connection;
        match from.message {
            AgentMessage::FindLeader { data_centre, rack, .. } => {
                self.answer_find_leader(connection, &data_centre, &rack);
            }
            AgentMessage::Lead(summary) => self.apply(&Input::Lead { connection, summary }),
            AgentMessage::JobAccepted { job } => self.apply(&Input::JobAccepted { job }),
            _ => self.metrics.count("groups", "unexpected_message"),
        }
    }
}

impl Handler<ApplyBundle> for Groups {
    type Return = ();

    async fn handle(&mut self, apply: ApplyBundle, _: &mut Context<Self>) {
        self.apply(&Input::Bundle { bundle: apply.bundle.clone() });
        self.bundle = Some(*apply.bundle);
    }
}

impl Handler<ApplyService> for Groups {
    type Return = ();

    async fn handle(&mut self, apply: ApplyService, _: &mut Context<Self>) {
        self.apply(&Input::Service { data_centre: apply.data_centre, state: apply.state });
    }
}

impl Handler<LeaderKnown> for Groups {
    type Return = ();

    async fn handle(&mut self, known: LeaderKnown, _: &mut Context<Self>) {
        let leader = self.leaders.entry(known.group).or_insert((known.epoch, known.address));
        if known.epoch >= leader.0 {
            *leader = (known.epoch, known.address);
        }
    }
}

impl Handler<Choose> for Groups {
    type Return = Result<GroupId, String>;

    async fn handle(&mut self, choose: Choose, _: &mut Context<Self>) -> Result<GroupId, String> {
        self.directory.choose(self.clock.now_ms(), &choose.job, &mut self.random)
    }
}

impl Handler<Deliver> for Groups {
    type Return = ();

    async fn handle(&mut self, deliver: Deliver, _: &mut Context<Self>) {
        self.apply(&Input::Deliver { job: deliver.job, group: deliver.group });
    }
}

impl Handler<Cancel> for Groups {
    type Return = ();

    async fn handle(&mut self, cancel: Cancel, _: &mut Context<Self>) {
        self.apply(&Input::Cancel { jobs: cancel.jobs });
    }
}

impl Handler<Tick> for Groups {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        self.apply(&Input::Tick);
    }
}

impl Handler<Summaries> for Groups {
    type Return = Vec<GroupSummary>;

    async fn handle(&mut self, _: Summaries, _: &mut Context<Self>) -> Vec<GroupSummary> {
        self.directory.summaries(self.clock.now_ms())
    }
}

impl Handler<Dump> for Groups {
    type Return = serde_json::Value;

    async fn handle(&mut self, _: Dump, _: &mut Context<Self>) -> serde_json::Value {
        serde_json::to_value(&self.directory).unwrap_or_default()
    }
}
