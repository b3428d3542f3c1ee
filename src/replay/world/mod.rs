//! The replayed pool: groups with their leaders, fake workers, a fake table and an entry that routes jobs.

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

/// The lease of a group's leader plus the first attempt of a takeover, in milliseconds.
const TAKEOVER_MS: u64 = 6_000;
/// The lease of a gang at its agents, in milliseconds.
const GANG_LEASE_MS: u64 = 15_000;
/// The time of silence after which a leader declares a worker lost: the gang lease and a margin, in milliseconds.
const LOST_MS: u64 = 15_500;
/// The time for which a start permit outlives the contact that renewed it, in milliseconds.
const PERMIT_MS: u64 = 2_000;
/// The time that a withdrawn permit takes to reach the agents of a live leader, in milliseconds.
const PUSH_MS: u64 = 50;
/// The time after which a fenced agent is back, in milliseconds.
const REJOIN_MS: u64 = 30_000;
/// The time after the last input after which jobs that still wait count as lost, in milliseconds.
const HORIZON_MS: u64 = 3_600_000;

/// What happens at a virtual time.
#[derive(Debug)]
enum SimEvent {
    /// The numbered input of the session.
    Session(usize),
    /// A leader's clock.
    Tick { leader: usize },
    /// An order reaches an agent.
    Order { worker: WorkerId, leader: usize, order: Output },
    /// A report reaches a leader.
    Report { worker: WorkerId, leader: usize, input: Input },
    /// An agent's timer is due.
    Wake { worker: WorkerId, timer: Timer },
    /// An agent asks a leader to join.
    Join { worker: WorkerId, leader: usize },
    /// The gang leases of an agent without contact since a time run out.
    LeaseEnds { worker: WorkerId, broken_ms: u64 },
    /// A leader declares a worker lost that has been silent since a time.
    Lost { worker: WorkerId, leader: usize, broken_ms: u64 },
    /// A worker is reachable again.
    Audible { worker: WorkerId },
    /// A fenced agent is back.
    Rejoin { worker: WorkerId },
    /// A write of a leader reaches the table.
    WriteArrives { leader: usize, job: JobId },
    /// The answer to a write reaches its leader.
    WriteAnswered { leader: usize, job: JobId },
    /// A job's submission reaches the table.
    Accept { job: Box<JobSpec>, actual: ActualOutcome, group: Option<GroupId> },
    /// Another agent tries to take over a group.
    Takeover { group: usize, from: usize },
    /// The members that can answer a new leader have answered.
    Adopted { leader: usize },
    /// A paused leader runs again.
    Resume { leader: usize },
    /// The permit of a group is computed again.
    Permit { group: usize },
    /// A change of a data centre's state reaches the table.
    Service { data_centre: DataCentreId, out: bool },
    /// Operators get the acknowledgement that a data centre is out.
    OutAcknowledged { data_centre: DataCentreId, version: u64 },
    /// A data centre's return is over.
    Refilled { data_centre: DataCentreId, version: u64 },
}

/// A capacity group.
#[derive(Debug)]
struct Group {
    id: GroupId,
    data_centre: DataCentreId,
    rules: GroupRules,
    /// The leader that holds the group's row.
    leader: usize,
    epoch: Epoch,
    /// Whether agents of the group may start tasks.
    permitted: bool,
    /// Cancellations that wait for a leader.
    waiting: Vec<JobId>,
}

/// Whether a data centre is in service.
#[derive(Clone, Copy, Debug, Default)]
struct Service {
    out: bool,
    version: u64,
    changing: bool,
}

/// The whole replayed pool.
#[derive(Debug)]
pub(super) struct World {
    policy: Policy,
    queue: EventQueue<SimEvent>,
    network: ChaCha8Rng,
    decisions: ChaCha8Rng,
    events: Vec<Event>,
    sessions_left: usize,
    bundle: Option<Bundle>,
    groups: Vec<Group>,
    leaders: Vec<Leader>,
    members: BTreeMap<WorkerId, Member>,
    services: BTreeMap<DataCentreId, Service>,
    table: TableMode,
    table_down_ms: Option<u64>,
    rows: Rows,
    actual_outcomes: BTreeMap<JobId, ActualOutcome>,
    open: BTreeSet<JobId>,
    in_flight: usize,
    ended: bool,
    horizon_ms: u64,
    checker: PropertyChecker,
    meter: Meter,
    transcript: Vec<String>,
}

/// What a replay leaves.
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
            queue.at(input.at_ms, SimEvent::Session(index));
        }
        let mut network = ChaCha8Rng::seed_from_u64(seed);
        let decisions = ChaCha8Rng::seed_from_u64(network.next_u64());
        Self {
            policy,
            queue,
            network,
            decisions,
            events: session.inputs.iter().map(|input| input.event.clone()).collect(),
            sessions_left: session.inputs.len(),
            bundle: None,
            groups: Vec::new(),
            leaders: Vec::new(),
            members: BTreeMap::new(),
            services: BTreeMap::new(),
            table: TableMode::Up,
            table_down_ms: None,
            rows: Rows::default(),
            actual_outcomes: BTreeMap::new(),
            open: BTreeSet::new(),
            in_flight: 0,
            ended: false,
            horizon_ms: session.inputs.last().map_or(0, |input| input.at_ms) + HORIZON_MS,
            checker: PropertyChecker::default(),
            meter: Meter::default(),
            transcript: Vec::new(),
        }
    }

    /// Runs the session until each job has ended, the session says so, or the horizon is reached.
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
            measures: self.meter.finish(),
            violations: self.checker.violations,
            steps: self.checker.step,
        })
    }

    fn handle_event(&mut self, event: SimEvent) -> Result<()> {
        match event {
            SimEvent::Session(index) => self.apply(index)?,
            SimEvent::Tick { leader } => self.tick(leader),
            SimEvent::Order { worker, leader, order } => self.order(worker, leader, order),
            SimEvent::Report { worker, leader, input } => self.report(&worker, leader, input),
            SimEvent::Wake { worker, timer } => self.wake(&worker, &timer),
            SimEvent::Join { worker, leader } => self.join(&worker, leader),
            SimEvent::LeaseEnds { worker, broken_ms } => self.lease_ends(&worker, broken_ms),
            SimEvent::Lost { worker, leader, broken_ms } => self.lost(&worker, leader, broken_ms),
            SimEvent::Audible { worker } => self.audible(&worker),
            SimEvent::Rejoin { worker } => self.rejoin(&worker),
            SimEvent::WriteArrives { leader, job } => self.write_arrives(leader, job),
            SimEvent::WriteAnswered { leader, job } => self.write_answered(leader, job),
            SimEvent::Accept { job, actual, group } => self.accept(*job, actual, group),
            SimEvent::Takeover { group, from } => self.take_over(group, from),
            SimEvent::Adopted { leader } => self.adopted(leader),
            SimEvent::Resume { leader } => self.resume(leader),
            SimEvent::Permit { group } => self.update_permit(group),
            SimEvent::Service { data_centre, out } => self.change_service(data_centre, out),
            SimEvent::OutAcknowledged { data_centre, version } => {
                self.out_acknowledged(&data_centre, version);
            }
            SimEvent::Refilled { data_centre, version } => self.refilled(&data_centre, version),
        }
        Ok(())
    }

    fn is_finished(&self) -> bool {
        let idle = self.sessions_left == 0 && self.open.is_empty() && self.in_flight == 0;
        self.ended || idle || self.now_ms() > self.horizon_ms
    }

    /// A job that is still open at the end is lost, unless the session was cut short and someone still knows the job.
    fn check_open_jobs(&mut self) {
        for job in std::mem::take(&mut self.open) {
            let row = &self.rows.jobs[&job];
            let leader = &self.leaders[self.groups[row.group].leader];
            let known = leader.scheduler.job(&job).is_some() || !leader.is_live();
            if self.ended && known {
                self.log(format!("open    {job}"));
            } else {
                let detail =
                    format!("{job} was accepted and has no end: {:?}", leader.scheduler.job(&job));
                self.checker.note(self.now_ms(), Property::NoJobLost, detail);
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

    /// A datagram takes 1 to 3 ms, so that two of them may change places.
    fn network_ms(&mut self) -> u64 {
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
