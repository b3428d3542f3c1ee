//! The actor around the entry's [`GroupDirectory`]: sends jobs to the leaders of groups, and answers agents that look
//! for the leader of their group.

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

/// The actor that keeps the directory of the groups and the addresses of their leaders.
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
    /// Creates the actor without groups. The first bundle adds them.
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

    /// Sends a message, or drops it if its connection is closed or has a full queue. The directory repeats jobs, and
    /// leaders find cancellations by scanning the table.
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
            log::warn!(data_centre = data_centre.as_str(), rack = rack.as_str(); "leader is not returned: the rack is not in the active bundle");
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
    /// Sending side of the connection.
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

/// A bundle became active.
pub struct ApplyBundle {
    /// The bundle.
    pub bundle: Box<Bundle>,
}

/// The state of a data centre was read.
pub struct ApplyDataCentreState {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// State of the data centre.
    pub state: DataCentreState,
}

/// The leader of a group was read from the group's lease row. A lower epoch than the recorded one is ignored.
pub struct LeaderRead {
    /// The group.
    pub group: GroupId,
    /// Epoch of the leader.
    pub epoch: Epoch,
    /// Address of the leader for members.
    pub address: SocketAddr,
}

/// Returns the group to which a job is to be sent, or the reason why no group can run it.
pub struct ChooseGroup {
    /// The job.
    pub job: JobSpec,
}

/// Sends a job whose row is durable to the leader of its group.
pub struct DeliverJob {
    /// The job.
    pub job: Box<JobSpec>,
    /// Group of the job.
    pub group: GroupId,
}

/// Sends cancellations whose rows are durable to the leaders.
pub struct CancelJobs {
    /// The cancelled jobs.
    pub jobs: Vec<JobId>,
}

/// Resends the jobs that their leaders have not confirmed.
pub struct Tick;

/// Returns the current summaries of all groups that have a leader.
pub struct Summaries;

/// Returns the state of the directory for a dump.
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
            AgentMessage::Lead(summary) => self.apply(&Input::LeaderReport { connection, summary }),
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

impl Handler<ApplyDataCentreState> for Groups {
    type Return = ();

    async fn handle(&mut self, apply: ApplyDataCentreState, _: &mut Context<Self>) {
        self.apply(&Input::DataCentreState { data_centre: apply.data_centre, state: apply.state });
    }
}

impl Handler<LeaderRead> for Groups {
    type Return = ();

    async fn handle(&mut self, read: LeaderRead, _: &mut Context<Self>) {
        let leader = self.leaders.entry(read.group).or_insert((read.epoch, read.address));
        if read.epoch >= leader.0 {
            *leader = (read.epoch, read.address);
        }
    }
}

impl Handler<ChooseGroup> for Groups {
    type Return = Result<GroupId, String>;

    async fn handle(
        &mut self,
        choose: ChooseGroup,
        _: &mut Context<Self>,
    ) -> Result<GroupId, String> {
        self.directory.choose(self.clock.now_ms(), &choose.job, &mut self.random)
    }
}

impl Handler<DeliverJob> for Groups {
    type Return = ();

    async fn handle(&mut self, deliver: DeliverJob, _: &mut Context<Self>) {
        self.apply(&Input::Deliver { job: deliver.job, group: deliver.group });
    }
}

impl Handler<CancelJobs> for Groups {
    type Return = ();

    async fn handle(&mut self, cancel: CancelJobs, _: &mut Context<Self>) {
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
