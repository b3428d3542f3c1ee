//! Simulation of a capacity group in virtual time: agents, leader leases, leaders and workers, with a table and a
//! network that inject faults.

mod calls;
mod check;
mod leading;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use futures::executor::block_on;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use teaselhall::job::{GroupJobRow, JobRow, group_job_key, group_job_prefix, job_key};
use teaselhall::leader::{self, EpochContext, IndexEntry, Leader, LeaderConfig, change_job};
use teaselhall::membership::{
    LeaderLease, LeaseConfig, LeaseInput, LeaseOutput, LeaseRow, MembersConfig, VersionedRow,
    epoch_key, lease_key,
};
use teaselhall::permit::shorten_for_drift;
use teaselhall::prelude::*;
use teaselhall::scheduler::{GroupRules, Policy, WorkerSpec};
use teaselhall::store::{Commit, Condition, OperationId, RowVersion, Write, Writer};
use teaselhall::wire::{DataCentreState, LeaderMessage, MemberMessage};
use teaselhall::worker::{
    self, TaskName, TaskState, WorkerAgent, WorkerAnswer, WorkerCall, WorkerConfig,
};

use super::fixture;
use super::machine::{Machine, Task};
use super::table::FaultyTable;

pub const HEARTBEAT_MS: u64 = 1_000;
pub const GANG_LEASE_MS: u64 = 10_000;
const LEADER_LEASE_MS: u64 = 5_000;
const TICK_INTERVAL_MS: u64 = 100;
/// The interval at which the entry reads the state of the data centre.
const ENTRY_READ_INTERVAL_MS: u64 = 500;

/// Faults of the network, in thousandths of the datagrams.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkFaults {
    pub lost_per_mille: u32,
    pub duplicated_per_mille: u32,
    pub slow_per_mille: u32,
}

#[derive(Clone, Debug)]
enum Event {
    Tick,
    ToMember { epoch: Epoch, incarnation: Incarnation, message: LeaderMessage },
    ToLeader { message: MemberMessage },
    Call { call: WorkerCall, decided_ms: u64 },
    Answer { answer: WorkerAnswer },
    Lease { input: LeaseInput },
    Leader { epoch: Epoch, input: leader::Input },
    Permit { epoch: Epoch, requested_ms: u64, version: u64, permit_ms: u64 },
    Found { leader: Option<(Epoch, usize)> },
}

/// An event, and the node and boot that it is for. It is dropped if the node has restarted since.
struct QueuedEvent {
    node: usize,
    boot: u64,
    event: Event,
}

/// A simulated agent, with its worker and a drifting clock.
pub struct Node {
    pub id: WorkerId,
    /// The number of starts of the agent.
    boot: u64,
    pub agent: WorkerAgent,
    pub lease: LeaderLease,
    pub leader: Option<(Leader, EpochContext)>,
    /// The newest epoch that the agent has received, and the node that leads in it.
    leader_node: Option<(Epoch, usize)>,
    trusted: bool,
    next_permit_ms: u64,
    /// The deviation of the rate of the node's clock from that of virtual time, in thousandths.
    drift_per_mille: i64,
    paused_until_ms: u64,
    pub machine: Machine,
    /// The time of the last queued call to the worker; calls arrive in order.
    last_call_ms: u64,
}

/// The state of the data centre as the entry read it last, and the time of that read.
struct Entry {
    state: DataCentreState,
    version: u64,
    read_ms: u64,
}

/// The simulated group and the state of its faults and checks.
pub struct World {
    pub now_ms: u64,
    /// Due times and sequence numbers of the queued events, earliest first.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// The queued events by sequence number.
    events: BTreeMap<u64, QueuedEvent>,
    sequence: u64,
    pub nodes: Vec<Node>,
    pub table: FaultyTable,
    /// Delayed commits, with the times at which they are applied.
    delayed_commits: Vec<(u64, Commit)>,
    pub network: NetworkFaults,
    /// The network partition of each node. Datagrams pass only between nodes of the same partition.
    pub partitions: Vec<u8>,
    pub random: ChaCha8Rng,
    entry: Entry,
    /// The state of the data centre in the table, its version and the time of its last change.
    pub data_centre: (DataCentreState, u64, u64),
    pub log: Vec<String>,
    /// Violations of invariants.
    pub violations: Vec<String>,
    /// The start times of all tasks by name, including ended ones.
    started: BTreeMap<String, u64>,
    /// The times since which gangs have been running partially.
    partial_since: BTreeMap<GangId, u64>,
    /// All submitted jobs.
    pub jobs: Vec<JobId>,
}

impl World {
    pub fn new(seed: u64, nodes: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let drifts: Vec<i64> = (0..nodes).map(|_| random.random_range(-5..=5)).collect();
        let mut world = Self {
            now_ms: 1_000,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            nodes: Vec::new(),
            table: FaultyTable::new(seed),
            delayed_commits: Vec::new(),
            network: NetworkFaults::default(),
            partitions: vec![0; nodes],
            random,
            entry: Entry { state: DataCentreState::In, version: 1, read_ms: 0 },
            data_centre: (DataCentreState::In, 1, 0),
            log: Vec::new(),
            violations: Vec::new(),
            started: BTreeMap::new(),
            partial_since: BTreeMap::new(),
            jobs: Vec::new(),
        };
        for (index, drift_per_mille) in drifts.into_iter().enumerate() {
            let machine = Machine::default();
            world.nodes.push(new_node(index, 1, drift_per_mille, machine, nodes));
            world.push(index, index as u64, Event::Tick);
        }
        world
    }

    /// Advances virtual time, and processes the events that become due.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while let Some(Reverse((at_ms, sequence))) = self.queue.peek().copied() {
            if at_ms > end_ms {
                break;
            }
            self.queue.pop();
            self.now_ms = at_ms;
            let Some(queued) = self.events.remove(&sequence) else { continue };
            self.refresh_entry();
            self.apply_delayed_commits();
            let node = &self.nodes[queued.node];
            if queued.boot != node.boot {
                continue;
            }
            if self.now_ms < node.paused_until_ms {
                let delay_ms = node.paused_until_ms - self.now_ms;
                self.push(queued.node, delay_ms, queued.event);
                continue;
            }
            self.dispatch(queued.node, queued.event);
        }
        self.now_ms = end_ms;
    }

    pub fn pause(&mut self, node: usize, duration_ms: u64) {
        self.nodes[node].paused_until_ms = self.now_ms + duration_ms;
        self.record(format!("n{node} is paused for {duration_ms} ms"));
    }

    /// Restarts the agent of a worker. The worker and its tasks keep running.
    pub fn restart(&mut self, node: usize) {
        let old = &mut self.nodes[node];
        let (boot, drift) = (old.boot + 1, old.drift_per_mille);
        let machine = std::mem::take(&mut old.machine);
        self.nodes[node] = new_node(node, boot, drift, machine, self.partitions.len());
        self.push(node, 1, Event::Tick);
        self.record(format!("n{node} restarts"));
    }

    /// Returns the node that leads and whose lease holds by its own clock, if any.
    pub fn leading_node(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|index| {
            self.nodes[*index].lease.epoch_if_leading(self.local_ms(*index)).is_some()
        })
    }

    /// Writes a job to the table, and submits it to the leader in 70 % of the cases. In the others the leader finds it
    /// by a scan.
    pub fn submit(&mut self, job: JobSpec) {
        let row = JobRow {
            spec: job.clone(),
            group: group(),
            state: JobState::Queued,
            saved_ms: 0,
            attempts: 0,
            cancel_requested: false,
        };
        let (key, index_key) = (job_key(&job.id), group_job_key(&group(), &job.id));
        let absent = |key: &str| Condition { key: key.to_owned(), version: RowVersion::ABSENT };
        let index = GroupJobRow { cancel_requested: false };
        let write = |key: &str, value| Write { key: key.to_owned(), value };
        let commit = Commit {
            operation: OperationId(job.id.to_string()),
            conditions: vec![absent(&key), absent(&index_key)],
            writes: vec![
                write(&key, serde_json::to_value(row).unwrap()),
                write(&index_key, serde_json::to_value(index).unwrap()),
            ],
        };
        self.table.store.apply(&commit).unwrap();
        self.jobs.push(job.id.clone());
        let is_submitted = self.random.random_range(0..10) < 7;
        if let Some(node) = self.leading_node().filter(|_| is_submitted) {
            let epoch = self.nodes[node].leader.as_ref().map(|(leader, _)| leader.epoch());
            let input = leader::Input::Submit { job: job.id };
            if let Some(epoch) = epoch {
                self.push(node, 5, Event::Leader { epoch, input });
            }
        }
    }

    pub fn set_data_centre_state(&mut self, state: DataCentreState) {
        self.data_centre = (state, self.data_centre.1 + 1, self.now_ms);
        self.record(format!("data centre {state:?}"));
    }

    pub fn job(&self, job: &JobId) -> JobRow {
        let row = self.table.store.read_row(&job_key(job)).expect("rows of jobs are never deleted");
        serde_json::from_value(row.value).unwrap()
    }

    /// Returns the numbers of the attempts of a job of which at least one task was started.
    pub fn attempts_started(&self, job: &JobId) -> Vec<u32> {
        let names = self.started.keys().filter_map(|name| name.parse::<TaskName>().ok());
        let mut numbers: Vec<u32> =
            names.filter(|name| &name.gang.job == job).map(|name| name.gang.number).collect();
        numbers.dedup();
        numbers.sort_unstable();
        numbers.dedup();
        numbers
    }

    /// Adds a line with the current time to the log.
    pub fn record(&mut self, text: String) {
        let (seconds, millis) = (self.now_ms / 1_000, self.now_ms % 1_000);
        self.log.push(format!("{seconds:3}.{millis:03} {text}"));
    }

    fn record_violation(&mut self, text: String) {
        self.record(format!("VIOLATION {text}"));
        self.violations.push(text);
    }

    /// Returns the current time of a node's clock.
    fn local_ms(&self, node: usize) -> u64 {
        let drift = self.nodes[node].drift_per_mille;
        (self.now_ms as i64 + self.now_ms as i64 * drift / 1_000) as u64
    }

    fn push(&mut self, node: usize, delay_ms: u64, event: Event) {
        self.sequence += 1;
        let boot = self.nodes[node].boot;
        self.queue.push(Reverse((self.now_ms + delay_ms, self.sequence)));
        self.events.insert(self.sequence, QueuedEvent { node, boot, event });
    }

    /// Lets the entry read the state of the data centre, if a read is due and the table is up.
    fn refresh_entry(&mut self) {
        if !self.table.is_down() && self.now_ms >= self.entry.read_ms + ENTRY_READ_INTERVAL_MS {
            let (state, version, _) = self.data_centre;
            self.entry = Entry { state, version, read_ms: self.now_ms };
        }
    }

    fn apply_delayed_commits(&mut self) {
        for commit in self.table.take_delayed() {
            let at_ms = self.now_ms + self.random.random_range(10..4_000);
            self.delayed_commits.push((at_ms, commit));
        }
        let (due, rest) = std::mem::take(&mut self.delayed_commits)
            .into_iter()
            .partition(|(at_ms, _)| *at_ms <= self.now_ms);
        self.delayed_commits = rest;
        let due: Vec<(u64, Commit)> = due;
        for (_, commit) in due {
            let _ = self.table.store.apply(&commit);
        }
    }

    /// Sends a datagram, which may be lost, duplicated or delayed.
    fn transmit(&mut self, from: usize, to: usize, event: Event) {
        if self.partitions[from] != self.partitions[to] {
            return;
        }
        let faults = if from == to { NetworkFaults::default() } else { self.network };
        let copies =
            1 + u32::from(self.random.random_range(0..1_000) < faults.duplicated_per_mille);
        for _ in 0..copies {
            if self.random.random_range(0..1_000) < faults.lost_per_mille {
                continue;
            }
            let slow = self.random.random_range(0..1_000) < faults.slow_per_mille;
            let delay_ms = if slow { 3_000 } else { 30 };
            let delay_ms = self.random.random_range(1..=delay_ms);
            self.push(to, delay_ms, event.clone());
        }
    }

    fn dispatch(&mut self, node: usize, event: Event) {
        match event {
            Event::Tick => self.tick(node),
            Event::ToMember { epoch, incarnation, message } => {
                // A datagram for another incarnation fails authentication, so it is dropped.
                if incarnation == self.nodes[node].agent.incarnation() {
                    if epoch >= self.nodes[node].agent.epoch() {
                        self.apply_lease(node, &LeaseInput::LeaderMessageReceived);
                    }
                    let input = worker::Input::Leader { epoch, incarnation, message };
                    self.apply_agent(node, &input);
                }
            }
            Event::ToLeader { message } => {
                self.apply_leader(node, &leader::Input::Member { message });
            }
            Event::Call { call, decided_ms } => self.call(node, call, decided_ms),
            Event::Answer { answer } => {
                self.apply_agent(node, &worker::Input::Worker { answer });
            }
            Event::Lease { input } => self.apply_lease(node, &input),
            Event::Leader { epoch, input } => {
                if self.epoch_led(node) == Some(epoch) {
                    self.apply_leader(node, &input);
                }
            }
            Event::Permit { epoch, requested_ms, version, permit_ms } => {
                let permit_until_ms = requested_ms + shorten_for_drift(permit_ms);
                let remaining_ms = permit_until_ms.saturating_sub(self.local_ms(node));
                if self.epoch_led(node) == Some(epoch) {
                    self.apply_leader(node, &leader::Input::Permit { version, remaining_ms });
                }
            }
            Event::Found { leader } => {
                if let Some((epoch, leader)) = leader {
                    self.record_leader(node, epoch, leader);
                }
            }
        }
    }

    fn epoch_led(&self, node: usize) -> Option<Epoch> {
        self.nodes[node].leader.as_ref().map(|(leader, _)| leader.epoch())
    }

    fn tick(&mut self, node: usize) {
        self.push(node, TICK_INTERVAL_MS, Event::Tick);
        self.apply_agent(node, &worker::Input::Tick);
        self.apply_lease(node, &LeaseInput::Tick);
        self.apply_leader(node, &leader::Input::Tick);
        self.request_permit(node);
        self.check_invariants();
    }

    fn request_permit(&mut self, node: usize) {
        let (local_ms, epoch) = (self.local_ms(node), self.epoch_led(node));
        let Some(epoch) = epoch.filter(|_| local_ms >= self.nodes[node].next_permit_ms) else {
            return;
        };
        self.nodes[node].next_permit_ms = local_ms + 500;
        let remaining_ms =
            (self.entry.read_ms + shorten_for_drift(2_000)).saturating_sub(self.now_ms);
        let is_in = self.entry.state == DataCentreState::In;
        let permit_ms = if is_in { remaining_ms } else { 0 };
        let (version, delay_ms) = (self.entry.version, self.random.random_range(1..200));
        let permit = Event::Permit { epoch, requested_ms: local_ms, version, permit_ms };
        self.push(node, delay_ms, permit);
        // The entry also sends the state unprompted; that message may be lost with its connection.
        if self.random.random_range(0..3) > 0 {
            let input = leader::Input::DataCentreState { state: self.entry.state, version };
            self.push(node, delay_ms, Event::Leader { epoch, input });
        }
    }

    fn apply_agent(&mut self, node: usize, input: &worker::Input) {
        let local_ms = self.local_ms(node);
        for output in self.nodes[node].agent.handle(local_ms, input, &mut self.random) {
            match output {
                worker::Output::Send { message } => {
                    let leader = self.nodes[node].leader_node;
                    let epoch = self.nodes[node].agent.epoch();
                    if let Some((_, to)) = leader.filter(|(current, _)| *current == epoch) {
                        self.record_member_message(node, &message);
                        self.transmit(node, to, Event::ToLeader { message });
                    }
                }
                worker::Output::FindLeader => self.find_leader(node),
                worker::Output::Call { call } => {
                    let delay_ms = self.random.random_range(1..20);
                    let at_ms = (self.now_ms + delay_ms).max(self.nodes[node].last_call_ms);
                    self.nodes[node].last_call_ms = at_ms;
                    let decided_ms = local_ms;
                    self.push(node, at_ms - self.now_ms, Event::Call { call, decided_ms });
                }
            }
        }
    }
}

fn new_node(index: usize, boot: u64, drift: i64, machine: Machine, nodes: usize) -> Node {
    let id = WorkerId::from(format!("n{index}"));
    let worker = WorkerSpec { id: id.clone(), rack: "r".into(), shape: fixture::shape() };
    let incarnation = Incarnation(boot * 1_000_000);
    Node {
        id,
        boot,
        agent: WorkerAgent::new(WorkerConfig { worker, incarnation, heartbeat_ms: HEARTBEAT_MS }),
        lease: LeaderLease::new(LeaseConfig {
            group: group(),
            holder: format!("n{index}").into(),
            incarnation,
            address: ([127, 0, 0, 1], index as u16).into(),
            lease_ms: LEADER_LEASE_MS,
            group_workers: nodes as u32,
        }),
        leader: None,
        leader_node: None,
        trusted: true,
        next_permit_ms: 0,
        drift_per_mille: drift,
        paused_until_ms: 0,
        machine,
        last_call_ms: 0,
    }
}

fn group() -> GroupId {
    "g".into()
}

fn leader_config(nodes: usize) -> LeaderConfig {
    LeaderConfig {
        group: group(),
        members_config: MembersConfig {
            group_workers: nodes as u32,
            heartbeat_ms: HEARTBEAT_MS,
            gang_lease_ms: GANG_LEASE_MS,
        },
        policy: Policy::Product,
    }
}

fn rules() -> GroupRules {
    fixture::rules()
}
