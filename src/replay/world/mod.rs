//! The simulated pool: groups with their leaders, workers, the table and an entry that routes jobs.

mod leader;
mod member;
mod operations;
mod store;

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::leader::Leader;
use self::member::Member;
use self::store::Rows;
use super::agent::{Effect, Timer};
use super::error::Result;
use super::event_queue::EventQueue;
use super::measure::{Measures, Meter};
use super::property::{Property, PropertyChecker, PropertyViolation};
use super::session::{ActualOutcome, Event, Session, TableMode};
use crate::bundle::Bundle;
use crate::prelude::*;
use crate::scheduler::{GroupRules, Input, MAX_TICK_INTERVAL_MS, Output, Policy};

/// Time from the crash or pause of a leader to the first takeover: the leader's lease plus the first attempt, in
/// milliseconds.
const TAKEOVER_DELAY_MS: u64 = 6_000;
/// Lease of a gang at its agents, in milliseconds.
const GANG_LEASE_MS: u64 = 15_000;
/// Time without contact after which a leader declares a worker lost: the gang lease and a margin, in milliseconds.
const WORKER_LOST_TIMEOUT_MS: u64 = 15_500;
/// Time for which a start permit stays valid after the contact that renewed it, in milliseconds.
const PERMIT_EXPIRY_MS: u64 = 2_000;
/// Time until the withdrawal of a permit reaches the agents of a live leader, in milliseconds.
const PERMIT_WITHDRAWAL_MS: u64 = 50;
/// Time after which a fenced agent joins again, in milliseconds.
const REJOIN_DELAY_MS: u64 = 30_000;
/// Time after the last input at which the replay ends and jobs that are still open count as lost, in milliseconds.
const OPEN_JOB_TIMEOUT_MS: u64 = 3_600_000;

/// An event of the simulation, due at a virtual time.
#[derive(Debug)]
enum SimEvent {
    /// The input of the session with this index is due.
    SessionInput(usize),
    /// The periodic tick of a leader is due.
    Tick { leader: usize },
    /// An order reaches an agent.
    Order { worker: WorkerId, leader: usize, order: Output },
    /// A report reaches a leader.
    Report { worker: WorkerId, leader: usize, input: Input },
    /// A timer of an agent fires.
    Timer { worker: WorkerId, timer: Timer },
    /// A request of an agent to join reaches a leader.
    Join { worker: WorkerId, leader: usize },
    /// The gang leases of an agent expire that has had no contact since `contact_lost_ms`.
    LeaseExpired { worker: WorkerId, contact_lost_ms: u64 },
    /// A leader declares a worker lost that has had no contact since `contact_lost_ms`.
    WorkerLost { worker: WorkerId, leader: usize, contact_lost_ms: u64 },
    /// A worker is reachable again.
    Reachable { worker: WorkerId },
    /// A fenced agent joins again.
    Rejoin { worker: WorkerId },
    /// A write of a leader reaches the table.
    WriteArrives { leader: usize, job: JobId },
    /// The answer to a write reaches its leader.
    WriteAnswered { leader: usize, job: JobId },
    /// A job's submission reaches the table.
    Accept { job: Box<JobSpec>, actual: ActualOutcome, group: Option<GroupId> },
    /// Another agent tries to take over a group.
    Takeover { group: usize, from: usize },
    /// All members have joined a new leader or their leases have expired.
    MembersAdopted { leader: usize },
    /// A paused leader runs again.
    Resume { leader: usize },
    /// The start permit of a group must be recomputed.
    Permit { group: usize },
    /// A change of a data centre's state reaches the table.
    DataCentreChange { data_centre: DataCentreId, out: bool },
    /// Operators receive the acknowledgement that a data centre is out of service.
    OutAcknowledged { data_centre: DataCentreId, version: u64 },
    /// The return of a data centre to service is complete.
    ReturnCompleted { data_centre: DataCentreId, version: u64 },
}

/// A capacity group.
#[derive(Debug)]
struct Group {
    id: GroupId,
    data_centre: DataCentreId,
    rules: GroupRules,
    /// Index of the leader that holds the group's row.
    leader: usize,
    epoch: Epoch,
    /// Whether agents of the group may start tasks.
    permitted: bool,
    /// Cancellations that are delivered once the group has a live leader.
    pending_cancellations: Vec<JobId>,
}

/// Service state of a data centre.
#[derive(Clone, Copy, Debug, Default)]
struct DataCentreState {
    out: bool,
    version: u64,
    changing: bool,
}

/// The simulated pool with its clock, pending events and measurements.
#[derive(Debug)]
pub(super) struct World {
    policy: Policy,
    queue: EventQueue<SimEvent>,
    network: ChaCha8Rng,
    decisions: ChaCha8Rng,
    events: Vec<Event>,
    pending_inputs: usize,
    bundle: Option<Bundle>,
    groups: Vec<Group>,
    leaders: Vec<Leader>,
    members: BTreeMap<WorkerId, Member>,
    data_centre_states: BTreeMap<DataCentreId, DataCentreState>,
    table: TableMode,
    table_down_ms: Option<u64>,
    rows: Rows,
    actual_outcomes: BTreeMap<JobId, ActualOutcome>,
    open_jobs: BTreeSet<JobId>,
    pending_submissions: usize,
    session_ended: bool,
    deadline_ms: u64,
    checker: PropertyChecker,
    meter: Meter,
    transcript: Vec<String>,
}

/// Result of a replay.
#[derive(Debug)]
pub(super) struct Outcome {
    pub(super) transcript: Vec<String>,
    pub(super) measures: Measures,
    pub(super) violations: Vec<PropertyViolation>,
    pub(super) steps: u64,
}

impl World {
    pub(super) fn new(session: &Session, policy: Policy, seed: u64) -> Self {
        let mut queue = EventQueue::default();
        for (index, input) in session.inputs.iter().enumerate() {
            queue.at(input.at_ms, SimEvent::SessionInput(index));
        }
        let mut network = ChaCha8Rng::seed_from_u64(seed);
        let decisions = ChaCha8Rng::seed_from_u64(network.next_u64());
        Self {
            policy,
            queue,
            network,
            decisions,
            events: session.inputs.iter().map(|input| input.event.clone()).collect(),
            pending_inputs: session.inputs.len(),
            bundle: None,
            groups: Vec::new(),
            leaders: Vec::new(),
            members: BTreeMap::new(),
            data_centre_states: BTreeMap::new(),
            table: TableMode::Up,
            table_down_ms: None,
            rows: Rows::default(),
            actual_outcomes: BTreeMap::new(),
            open_jobs: BTreeSet::new(),
            pending_submissions: 0,
            session_ended: false,
            deadline_ms: session.inputs.last().map_or(0, |input| input.at_ms) + OPEN_JOB_TIMEOUT_MS,
            checker: PropertyChecker::default(),
            meter: Meter::default(),
            transcript: Vec::new(),
        }
    }

    /// Runs the session until each job has ended, the session ends by an input, or the deadline has passed.
    pub(super) fn run(mut self) -> Result<Outcome> {
        while let Some(event) = self.queue.next() {
            self.meter.advance(self.now_ms());
            self.handle_event(event)?;
            if self.is_finished() {
                break;
            }
        }
        self.check_open_jobs();
        Ok(Outcome {
            transcript: self.transcript,
            measures: self.meter.measures(),
            violations: self.checker.violations,
            steps: self.checker.step,
        })
    }

    fn handle_event(&mut self, event: SimEvent) -> Result<()> {
        match event {
            SimEvent::SessionInput(index) => self.apply_input(index)?,
            SimEvent::Tick { leader } => self.tick(leader),
            SimEvent::Order { worker, leader, order } => self.deliver_order(worker, leader, order),
            SimEvent::Report { worker, leader, input } => {
                self.deliver_report(&worker, leader, input)
            }
            SimEvent::Timer { worker, timer } => self.on_timer(&worker, &timer),
            SimEvent::Join { worker, leader } => self.join(&worker, leader),
            SimEvent::LeaseExpired { worker, contact_lost_ms } => {
                self.lease_expired(&worker, contact_lost_ms)
            }
            SimEvent::WorkerLost { worker, leader, contact_lost_ms } => {
                self.worker_lost(&worker, leader, contact_lost_ms)
            }
            SimEvent::Reachable { worker } => self.worker_reachable(&worker),
            SimEvent::Rejoin { worker } => self.rejoin(&worker),
            SimEvent::WriteArrives { leader, job } => self.write_arrives(leader, job),
            SimEvent::WriteAnswered { leader, job } => self.write_answered(leader, job),
            SimEvent::Accept { job, actual, group } => self.accept(*job, actual, group),
            SimEvent::Takeover { group, from } => self.take_over(group, from),
            SimEvent::MembersAdopted { leader } => self.members_adopted(leader),
            SimEvent::Resume { leader } => self.resume(leader),
            SimEvent::Permit { group } => self.update_permit(group),
            SimEvent::DataCentreChange { data_centre, out } => {
                self.change_data_centre(data_centre, out)
            }
            SimEvent::OutAcknowledged { data_centre, version } => {
                self.out_acknowledged(&data_centre, version);
            }
            SimEvent::ReturnCompleted { data_centre, version } => {
                self.return_completed(&data_centre, version)
            }
        }
        Ok(())
    }

    fn is_finished(&self) -> bool {
        let idle =
            self.pending_inputs == 0 && self.open_jobs.is_empty() && self.pending_submissions == 0;
        self.session_ended || idle || self.now_ms() > self.deadline_ms
    }

    /// Reports each open job at the end as lost, unless an input ended the session and the leader's scheduler still has
    /// the job or the leader is not live.
    fn check_open_jobs(&mut self) {
        for job in std::mem::take(&mut self.open_jobs) {
            let row = &self.rows.jobs[&job];
            let leader = &self.leaders[self.groups[row.group].leader];
            let is_known = leader.scheduler.job(&job).is_some() || !leader.is_live();
            if self.session_ended && is_known {
                self.log(format!("open    {job}"));
            } else {
                let detail =
                    format!("{job} was accepted and has no end: {:?}", leader.scheduler.job(&job));
                self.checker.record_violation(self.now_ms(), Property::NoJobLost, detail);
            }
        }
    }

    fn now_ms(&self) -> u64 {
        self.queue.now_ms()
    }

    fn log(&mut self, line: String) {
        let now_ms = self.now_ms();
        self.transcript.push(format!("{:>6}.{:03} {line}", now_ms / 1_000, now_ms % 1_000));
    }

    /// Draws the delay of a datagram, 1 to 3 ms, so that two datagrams may arrive in reverse order.
    fn network_delay_ms(&mut self) -> u64 {
        self.network.random_range(1..=3)
    }

    fn group_index(&self, id: &GroupId) -> Option<usize> {
        self.groups.iter().position(|group| &group.id == id)
    }

    fn add_effects(&mut self, worker: &WorkerId, effects: Vec<Effect>) {
        for effect in effects {
            self.add_effect(worker, effect);
        }
    }

    fn schedule_tick(&mut self, leader: usize) {
        self.queue.after(MAX_TICK_INTERVAL_MS, SimEvent::Tick { leader });
    }
}
