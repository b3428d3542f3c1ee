//! The simulation: virtual time, a faulty network, entries, agents, endpoints, callers and a table.

mod parts;

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use teaselhall::endpoint::{AgentInput, EndpointAgent};
use teaselhall::prelude::*;
use teaselhall::request::{
    ConnectionId, KeyClaim, RequestEnd, RequestSpec, Router, RouterInput, RouterLimits, RouterRules,
};
use teaselhall::store::{Commit, MemoryStore};
use teaselhall::wire::{AgentMessage, DataCentreState, EntryMessage};

const ENTRIES: usize = 2;
const AGENTS: usize = 2;
const SLOTS: u32 = 2;
const TICK_MS: u64 = 10;
/// The virtual time at which the simulation ends, in milliseconds. By then all faults have ended, and every deadline
/// and grace period has passed.
const END_MS: u64 = 600;
const BUFFER_BYTES: u64 = 60;

pub struct World {
    pub entries: Vec<Entry>,
    pub calls: Vec<Call>,
    pub executions: Vec<Execution>,
    pub violations: Vec<String>,
    pub totals: Totals,
    agents: Vec<Agent>,
    table: MemoryStore,
    table_down: bool,
    now_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    next_id: u64,
    random: ChaCha8Rng,
}

pub struct Entry {
    pub router: Router,
    incarnation: Incarnation,
    requests: BTreeMap<u64, usize>,
    connections: BTreeSet<ConnectionId>,
}

struct Agent {
    agent: EndpointAgent,
    incarnation: Incarnation,
    connections: BTreeMap<ConnectionId, usize>,
    forwards: BTreeSet<AttemptId>,
    draining: bool,
    data_centre_out: bool,
}

#[derive(Debug)]
pub struct Call {
    pub token: u64,
    pub repeat: Repeat,
    pub ends: Vec<RequestEnd>,
    pub submitted: bool,
    pub gone: bool,
    pub entry_crashed: bool,
    pub incarnation: Incarnation,
    pub request: u64,
    pub streamed: Option<Vec<u8>>,
    entry: usize,
    key: Option<String>,
}

/// Execution of an attempt, as an endpoint recorded it.
#[derive(Debug)]
pub struct Execution {
    pub token: u64,
    pub attempt: AttemptId,
    pub answered: bool,
}

/// A claim of an idempotency key, or the record of its outcome, that is in progress.
#[derive(Clone)]
struct KeyCall {
    entry: usize,
    incarnation: Incarnation,
    request: u64,
    claim: KeyClaim,
    outcome: Option<Outcome>,
}

enum Event {
    Submit(usize),
    CallerGone(usize),
    ToAgent(usize, ConnectionId, EntryMessage),
    ToEntry(usize, ConnectionId, AgentMessage),
    Connect(usize, usize),
    Break(usize),
    BreakAtAgent(usize, ConnectionId),
    BreakAtEntry(usize, ConnectionId),
    CrashEntry(usize),
    CrashAgent(usize),
    Drain(usize),
    Announce(usize),
    DataCentreState(DataCentreState),
    Table(bool),
    Key(KeyCall),
    KeyWrite(KeyCall, Commit),
    LateWrite(Commit),
    Endpoint(usize, Incarnation, usize, AgentInput),
    Tick,
}

/// Counts of the outcomes and faults that occurred, so that the campaign fails if one of them occurred too rarely.
#[derive(Debug, Default)]
pub struct Totals {
    counts: BTreeMap<&'static str, u64>,
}

impl Totals {
    pub fn add(&mut self, other: &Self) {
        for (name, count) in &other.counts {
            *self.counts.entry(name).or_default() += count;
        }
    }

    fn record(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    pub fn assert_all_seen(&self) {
        let names = [
            "whole",
            "streamed",
            "not_run",
            "unknown",
            "recorded",
            "retry",
            "tombstoned",
            "already started",
            "refused",
            "lost",
            "duplicated",
            "altered",
            "entry crash",
            "agent crash",
            "drained",
            "claim lost",
            "broken after stream",
        ];
        for name in names {
            let count = self.counts.get(name).copied().unwrap_or_default();
            assert!(count >= 100, "{name:?} occurred only {count} times in the campaign: {self:?}");
        }
    }
}

fn answer_of(token: u64, length: usize) -> Vec<u8> {
    let mut answer = format!("{token:04}:{length:04}:").into_bytes();
    answer.resize(length.max(10), b'a' + (token % 26) as u8);
    answer
}

pub fn answer_is_complete(token: u64, body: &[u8]) -> bool {
    body == answer_of(token, body.len())
}

fn rules() -> RouterRules {
    RouterRules {
        organisations: ["firm".into()].into(),
        kinds: [("check".into(), Class::Urgent), ("review".into(), Class::Batch)].into(),
        queue_limits: [(Class::Urgent, 3), (Class::Batch, 3)].into(),
        retry_budget_per_mille: 200,
        limits: RouterLimits {
            buffer_bytes: BUFFER_BYTES,
            cancel_grace_ms: 20,
            attempt_expiry_ms: 100,
            eject_ms: 20,
            eject_failures: 3,
            ..RouterLimits::default()
        },
    }
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            entries: Vec::new(),
            calls: Vec::new(),
            executions: Vec::new(),
            violations: Vec::new(),
            totals: Totals::default(),
            agents: Vec::new(),
            table: MemoryStore::default(),
            table_down: false,
            now_ms: 0,
            events: BTreeMap::new(),
            next_id: 1,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        world.entries = (0..ENTRIES).map(|_| world.new_entry()).collect();
        world.agents = (0..AGENTS).map(|_| world.new_agent()).collect();
        for agent in 0..AGENTS {
            world.schedule_at(0, Event::Announce(agent));
            (0..ENTRIES).for_each(|entry| world.schedule_at(1, Event::Connect(agent, entry)));
        }
        world.plan_calls();
        world.plan_faults();
        (0..END_MS / TICK_MS).for_each(|tick| world.schedule_at(tick * TICK_MS, Event::Tick));
        world
    }

    pub fn run(&mut self) {
        while let Some(((now_ms, _), event)) = self.events.pop_first() {
            self.now_ms = now_ms;
            self.handle(event);
        }
    }

    fn new_entry(&mut self) -> Entry {
        let incarnation = Incarnation(self.new_id());
        let mut router = Router::new(incarnation);
        router.handle(self.now_ms, RouterInput::Rules(rules()), &mut self.random);
        Entry { router, incarnation, requests: BTreeMap::new(), connections: BTreeSet::new() }
    }

    fn new_agent(&mut self) -> Agent {
        Agent {
            agent: EndpointAgent::new(),
            incarnation: Incarnation(self.new_id()),
            connections: BTreeMap::new(),
            forwards: BTreeSet::new(),
            draining: false,
            data_centre_out: false,
        }
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn schedule_at(&mut self, at_ms: u64, event: Event) {
        let id = self.new_id();
        self.events.insert((at_ms, id), event);
    }

    fn schedule_within(&mut self, max_delay_ms: u64, event: Event) {
        let delay_ms = self.random.random_range(0..=max_delay_ms);
        self.schedule_at(self.now_ms + delay_ms, event);
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn plan_calls(&mut self) {
        for token in 0..self.random.random_range(4..12) {
            let repeat = if self.chance(50) { Repeat::Never } else { Repeat::Allowed };
            let key = self.chance(40).then(|| format!("key-{token}"));
            let copies = if key.is_some() { self.random.random_range(1..=3) } else { 1 };
            for _ in 0..copies {
                let number = self.calls.len();
                let entry = self.random.random_range(0..ENTRIES);
                self.calls.push(Call {
                    token,
                    repeat,
                    ends: Vec::new(),
                    submitted: false,
                    gone: false,
                    entry_crashed: false,
                    incarnation: Incarnation(0),
                    request: 0,
                    streamed: None,
                    entry,
                    key: key.clone(),
                });
                let start_ms = self.random.random_range(2..150);
                self.schedule_at(start_ms, Event::Submit(number));
                if self.chance(15) {
                    let gone_ms = start_ms + self.random.random_range(0..40);
                    self.schedule_at(gone_ms, Event::CallerGone(number));
                }
            }
        }
    }

    fn plan_faults(&mut self) {
        for _ in 0..self.random.random_range(0..4) {
            let at_ms = self.random.random_range(2..160);
            let entry = self.random.random_range(0..ENTRIES);
            let agent = self.random.random_range(0..AGENTS);
            let end_ms = at_ms + self.random.random_range(5..60);
            match self.random.random_range(0..6) {
                0 => self.schedule_at(at_ms, Event::CrashEntry(entry)),
                1 => self.schedule_at(at_ms, Event::CrashAgent(agent)),
                2 => {
                    self.schedule_at(at_ms, Event::Drain(agent));
                    self.schedule_at(end_ms, Event::Announce(agent));
                }
                3 => {
                    self.schedule_at(at_ms, Event::DataCentreState(DataCentreState::Out));
                    self.schedule_at(end_ms, Event::DataCentreState(DataCentreState::In));
                }
                4 => {
                    self.schedule_at(at_ms, Event::Table(true));
                    self.schedule_at(end_ms, Event::Table(false));
                }
                _ => self.schedule_at(at_ms, Event::Break(agent)),
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit(call) => self.submit(call),
            Event::CallerGone(call) => self.caller_gone(call),
            Event::ToAgent(agent, connection, message) => {
                if self.agents[agent].connections.contains_key(&connection) {
                    self.handle_agent_input(agent, AgentInput::Received { connection, message });
                }
            }
            Event::ToEntry(entry, connection, message) => self.deliver(entry, connection, message),
            Event::Connect(agent, entry) => self.connect(agent, entry),
            Event::Break(agent) => {
                let open: Vec<_> = self.agents[agent].connections.keys().copied().collect();
                open.into_iter().for_each(|connection| self.break_at_agent(agent, connection));
            }
            Event::BreakAtAgent(agent, connection) => self.break_at_agent(agent, connection),
            Event::BreakAtEntry(entry, connection) => {
                if self.entries[entry].connections.remove(&connection) {
                    self.handle_router_input(entry, RouterInput::Disconnected { connection });
                }
            }
            Event::CrashEntry(entry) => self.crash_entry(entry),
            Event::CrashAgent(agent) => self.crash_agent(agent),
            Event::Drain(agent) => {
                self.agents[agent].draining = true;
                self.handle_agent_input(agent, AgentInput::Drain);
            }
            Event::Announce(agent) => {
                let endpoint = self.spec(agent);
                let instance = Some(self.new_id().to_string());
                self.handle_agent_input(agent, AgentInput::Announced { endpoint, instance });
                self.agents[agent].draining = self.agents[agent].agent.is_draining();
            }
            Event::DataCentreState(state) => self.change_data_centre_state(state),
            Event::Table(down) => self.table_down = down,
            Event::Key(call) => self.read_key(call),
            Event::KeyWrite(call, commit) => self.write_key(call, &commit),
            Event::LateWrite(commit) => drop(self.table.apply(&commit)),
            Event::Endpoint(agent, incarnation, execution, input) => {
                self.on_endpoint_event(agent, incarnation, execution, input);
            }
            Event::Tick => {
                (0..ENTRIES).for_each(|entry| self.handle_router_input(entry, RouterInput::Tick));
                (0..AGENTS).for_each(|agent| self.handle_agent_input(agent, AgentInput::Tick));
            }
        }
    }

    fn submit(&mut self, number: usize) {
        let deadline_ms = self.random.random_range(1..200);
        let request = self.new_id();
        let kind = if self.chance(50) { "check" } else { "review" };
        let call = &mut self.calls[number];
        let entry = call.entry;
        call.submitted = true;
        call.request = request;
        call.incarnation = self.entries[entry].incarnation;
        self.entries[entry].requests.insert(request, number);
        let spec = RequestSpec {
            organisation: "firm".into(),
            kind: if call.key.is_some() { "check" } else { kind }.into(),
            deadline_ms,
            repeat: call.repeat,
            key: call.key.clone(),
            body: call.token.to_string().into_bytes(),
        };
        self.handle_router_input(entry, RouterInput::Submit { request, spec });
    }

    fn caller_gone(&mut self, number: usize) {
        let call = &mut self.calls[number];
        if call.submitted && !call.entry_crashed && call.ends.is_empty() {
            call.gone = true;
            let (entry, request) = (call.entry, call.request);
            self.handle_router_input(entry, RouterInput::CallerGone { request });
        }
    }

    fn deliver(&mut self, entry: usize, connection: ConnectionId, message: AgentMessage) {
        if !self.entries[entry].connections.contains(&connection) {
            return;
        }
        match message {
            AgentMessage::Announce(endpoint) => {
                self.handle_router_input(entry, RouterInput::Announced { connection, endpoint });
            }
            message => {
                self.handle_router_input(entry, RouterInput::Received { connection, message })
            }
        }
    }

    fn connect(&mut self, agent: usize, entry: usize) {
        let connection = ConnectionId(self.new_id());
        self.entries[entry].connections.insert(connection);
        self.agents[agent].connections.insert(connection, entry);
        let incarnation = self.entries[entry].incarnation;
        self.handle_agent_input(agent, AgentInput::Connected { connection, entry: incarnation });
    }

    /// Breaks a connection at the agent. The entry detects this within 30 ms; the agent connects again within 30 ms.
    fn break_at_agent(&mut self, agent: usize, connection: ConnectionId) {
        if let Some(entry) = self.agents[agent].connections.remove(&connection) {
            self.handle_agent_input(agent, AgentInput::Disconnected { connection });
            self.schedule_within(30, Event::BreakAtEntry(entry, connection));
            self.schedule_within(30, Event::Connect(agent, entry));
        }
    }

    fn crash_entry(&mut self, number: usize) {
        self.totals.record("entry crash");
        let new = self.new_entry();
        let old = std::mem::replace(&mut self.entries[number], new);
        for call in old.requests.values() {
            self.calls[*call].entry_crashed = true;
        }
        for connection in old.connections {
            for agent in 0..AGENTS {
                if self.agents[agent].connections.contains_key(&connection) {
                    self.schedule_within(30, Event::BreakAtAgent(agent, connection));
                }
            }
        }
    }

    fn crash_agent(&mut self, number: usize) {
        self.totals.record("agent crash");
        let new = self.new_agent();
        let old = std::mem::replace(&mut self.agents[number], new);
        for (connection, entry) in old.connections {
            self.schedule_within(30, Event::BreakAtEntry(entry, connection));
            self.schedule_within(30, Event::Connect(number, entry));
        }
        self.schedule_within(20, Event::Announce(number));
    }

    fn change_data_centre_state(&mut self, state: DataCentreState) {
        let version = self.new_id();
        for agent in 0..AGENTS {
            self.agents[agent].data_centre_out = state == DataCentreState::Out;
            let message = EntryMessage::DataCentreState { state, version, permit_ms: 0 };
            let open = self.agents[agent].connections.keys().next().copied();
            match open {
                Some(connection) => {
                    self.handle_agent_input(agent, AgentInput::Received { connection, message });
                }
                None => self.agents[agent].data_centre_out = false,
            }
        }
        let data_centre = DataCentreId::from("one");
        self.handle_router_input(0, RouterInput::DataCentreState { data_centre, state });
    }
}
