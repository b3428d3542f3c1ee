//! Runs entries, a leader and agents with delays, losses, pauses and wrong clocks, and looks for starts after an
//! acknowledgement.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

use super::*;

/// Promise P3: no start later than this after the acknowledgement.
const PROMISE_MS: u64 = 3_000;
const END_MS: u64 = 16_000;
const OPERATOR_AT_MS: u64 = 6_000;
/// Shorter than in production, so that some reads are sent just before the row changes.
const POLL_MS: u64 = 23;
const START_EVERY_MS: u64 = 3;

/// The processes: entries 0 and 1, leader 2, agents 3 and 4.
const ENTRIES: usize = 2;
const LEADER: usize = 2;
const NODES: usize = 5;

#[derive(Clone, Debug)]
struct Conditions {
    seed: u64,
    loss_percent: u32,
    delay_ms: u64,
    pause_ms: u64,
    /// How old the table's answers to reads may be.
    staleness_ms: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Poll,
    TableRead { entry: usize, sent_at_ms: u64 },
    ReadAnswer { version: RowVersion, state: DataCentreState, sent_at_ms: u64 },
    Ask,
    Question { holder: usize, sequence: u64 },
    PermitAnswer { sequence: u64, version: RowVersion, permit_ms: u64 },
    TryStart,
    Operator(Vec<Output>),
    ToOperator(Input),
    WatchEntries,
}

struct Simulation {
    conditions: Conditions,
    random: ChaCha12Rng,
    now_ms: u64,
    events: BTreeMap<(u64, u64), (usize, Event)>,
    next_event: u64,
    /// The rate of each process's clock in thousandths, and its offset.
    clocks: [(u64, u64); NODES],
    pauses: [u64; NODES],
    /// Each version of the row and the time from which it is durable.
    rows: Vec<(u64, DataCentreState)>,
    withdrawn: [u64; ENTRIES],
    views: [DataCentreView; ENTRIES],
    permits: [Permit; NODES],
    change: DataCentreStateChange,
    starts: Vec<u64>,
    acknowledged_at_ms: Option<u64>,
}

impl Simulation {
    fn new(conditions: &Conditions) -> Self {
        let mut random = ChaCha12Rng::seed_from_u64(conditions.seed);
        let clocks = std::array::from_fn(|_| {
            // Clocks at the limits make permits that are counted wrongly overlap the acknowledgement.
            ([990, 1_000, 1_010][random.random_range(0..3)], random.random_range(0..1_000_000))
        });
        let pauses = std::array::from_fn(|_| random.random_range(0..END_MS));
        let mut simulation = Self {
            conditions: conditions.clone(),
            random,
            now_ms: 0,
            events: BTreeMap::new(),
            next_event: 0,
            clocks,
            pauses,
            rows: vec![(0, DataCentreState::In)],
            withdrawn: [0; ENTRIES],
            views: Default::default(),
            permits: Default::default(),
            change: begin(DataCentreState::Out),
            starts: Vec::new(),
            acknowledged_at_ms: None,
        };
        simulation.schedule_first_events();
        simulation
    }

    fn schedule_first_events(&mut self) {
        for node in 0..NODES {
            let first = if node < ENTRIES { Event::Poll } else { Event::Ask };
            self.after(0, node, first);
            if node > LEADER {
                self.after(0, node, Event::TryStart);
            }
        }
        self.after(OPERATOR_AT_MS, 0, Event::Operator(vec![Output::ReadRow]));
    }

    fn run(mut self) -> Self {
        while let Some(((at_ms, _), (node, event))) = self.events.pop_first() {
            if at_ms > END_MS {
                break;
            }
            self.now_ms = at_ms;
            let resumes_at_ms = self.pauses[node] + self.conditions.pause_ms;
            // The table works while the entry that asked it is paused.
            let at_table = matches!(event, Event::TableRead { .. });
            if !at_table && (self.pauses[node]..resumes_at_ms).contains(&at_ms) {
                self.after(resumes_at_ms - at_ms, node, event);
                continue;
            }
            self.perform(node, event);
        }
        self
    }

    fn after(&mut self, delay_ms: u64, node: usize, event: Event) {
        self.next_event += 1;
        self.events.insert((self.now_ms + delay_ms, self.next_event), (node, event));
    }

    /// Sends a message that may be delayed or lost.
    fn send(&mut self, node: usize, event: Event) {
        if self.random.random_range(0..100) >= self.conditions.loss_percent {
            let delay_ms = self.random.random_range(0..=self.conditions.delay_ms);
            self.after(delay_ms, node, event);
        }
    }

    fn local_ms(&self, node: usize) -> u64 {
        let (rate, offset) = self.clocks[node];
        offset + self.now_ms * rate / 1_000
    }

    fn perform(&mut self, node: usize, event: Event) {
        let local_ms = self.local_ms(node);
        match event {
            Event::Poll => {
                self.withdrawn[node] =
                    self.views[node].withdrawn(local_ms).get(&centre()).copied().unwrap_or(0);
                self.send(node, Event::TableRead { entry: node, sent_at_ms: local_ms });
                self.after(POLL_MS, node, Event::Poll);
            }
            Event::TableRead { entry, sent_at_ms } => {
                let (version, state) = self.read_row(self.conditions.staleness_ms);
                self.send(entry, Event::ReadAnswer { version, state, sent_at_ms });
            }
            Event::ReadAnswer { version, state, sent_at_ms } => {
                self.views[node].observe(&centre(), version, state, sent_at_ms);
            }
            Event::Ask => {
                let sequence = self.permits[node].begin_request(local_ms);
                let granter =
                    if node == LEADER { self.random.random_range(0..ENTRIES) } else { LEADER };
                self.send(granter, Event::Question { holder: node, sequence });
                self.after(POLL_MS, node, Event::Ask);
            }
            Event::Question { holder, sequence } => self.answer_question(node, holder, sequence),
            Event::PermitAnswer { sequence, version, permit_ms } => {
                self.permits[node].record_answer(sequence, version, permit_ms);
            }
            Event::TryStart => {
                if self.permits[node].is_valid(local_ms) {
                    self.starts.push(self.now_ms);
                }
                self.after(START_EVERY_MS, node, Event::TryStart);
            }
            Event::Operator(outputs) => self.serve_change(outputs),
            Event::ToOperator(input) => {
                let outputs = self.change.handle(local_ms, &input);
                self.serve_change(outputs);
            }
            Event::WatchEntries => self.watch_entries(),
        }
    }

    fn answer_question(&mut self, granter: usize, holder: usize, sequence: u64) {
        let local_ms = self.local_ms(granter);
        let (version, permit_ms) = if granter == LEADER {
            (self.permits[granter].version(), self.permits[granter].remaining_ms(local_ms))
        } else {
            let view = &mut self.views[granter];
            let version = view.state(&centre()).map_or(RowVersion::ABSENT, |(_, version)| version);
            (version, view.grant_permit(local_ms, &centre()))
        };
        self.send(holder, Event::PermitAnswer { sequence, version, permit_ms });
    }

    /// Returns the row as it was some time ago.
    fn read_row(&mut self, staleness_ms: u64) -> (RowVersion, DataCentreState) {
        let age_ms = self.random.random_range(0..=staleness_ms);
        let as_of_ms = self.now_ms.saturating_sub(age_ms);
        let count = self.rows.iter().filter(|(since_ms, _)| *since_ms <= as_of_ms).count();
        (RowVersion(count as u64), self.rows[count - 1].1)
    }

    /// Performs what the change wants; entry 0 runs it. The store client repeats calls, so its answers are not lost.
    fn serve_change(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            let delay_ms = self.random.random_range(0..=self.conditions.delay_ms);
            match output {
                Output::ReadRow => {
                    let (version, state) = self.read_row(0);
                    let input = Input::Row { version, row: row(state, "dana") };
                    self.after(delay_ms, 0, Event::ToOperator(input));
                }
                Output::WriteRow { condition, row } => {
                    assert_eq!(condition.0, self.rows.len() as u64);
                    self.rows.push((self.now_ms, row.state));
                    let version = RowVersion(self.rows.len() as u64);
                    let input = written(WriteOutcome::Durable { version });
                    self.after(delay_ms, 0, Event::ToOperator(input));
                }
                Output::WatchEntries => self.after(0, 0, Event::WatchEntries),
                Output::Answer(Ok(_)) => self.acknowledged_at_ms = Some(self.now_ms),
                Output::Answer(Err(refusal)) => panic!("{refusal}"),
                Output::Hold { .. } => {}
            }
        }
    }

    fn watch_entries(&mut self) {
        if self.acknowledged_at_ms.is_some() {
            return;
        }
        let entries = vec![entry(ENTRY, self.withdrawn[0]), entry("entry-2", self.withdrawn[1])];
        self.after(0, 0, Event::ToOperator(Input::Entries { entries }));
        self.after(100, 0, Event::WatchEntries);
    }

    /// Returns how long after the acknowledgement the last start was.
    fn last_start_after_ms(&self) -> Option<u64> {
        let acknowledged_at_ms = self.acknowledged_at_ms?;
        self.starts.last().map(|last| last.saturating_sub(acknowledged_at_ms))
    }
}

fn conditions(staleness_ms: u64) -> impl Strategy<Value = Conditions> {
    let delays_ms = prop_oneof![0_u64..3, 0_u64..1_500];
    let pauses_ms = prop_oneof![Just(0_u64), 0_u64..5_000];
    (any::<u64>(), 0_u32..60, delays_ms, pauses_ms).prop_map(
        move |(seed, loss_percent, delay_ms, pause_ms)| Conditions {
            seed,
            loss_percent,
            delay_ms,
            pause_ms,
            staleness_ms,
        },
    )
}

#[test]
fn in_calm_conditions_work_starts_until_out_and_the_answer_comes_in_time() {
    let calm = Conditions { seed: 1, loss_percent: 0, delay_ms: 5, pause_ms: 0, staleness_ms: 0 };
    let end = Simulation::new(&calm).run();
    let acknowledged_after_ms = end.acknowledged_at_ms.unwrap() - OPERATOR_AT_MS;
    assert!(end.starts.iter().any(|start| *start > OPERATOR_AT_MS - 100), "no starts before");
    assert!(acknowledged_after_ms < 2_100, "{acknowledged_after_ms} ms");
}

/// The seed is fixed, so that every run gives the same verdict.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// With a table whose reads are current, no start follows the acknowledgement at all.
    #[test]
    fn no_start_follows_an_acknowledgement(conditions in conditions(0)) {
        let late_ms = Simulation::new(&conditions).run().last_start_after_ms().unwrap_or(0);
        prop_assert_eq!(late_ms, 0);
    }

    /// With a table whose reads are up to a second old, promise P3 still holds.
    #[test]
    fn stale_reads_do_not_break_the_promise(conditions in conditions(1_000)) {
        let late_ms = Simulation::new(&conditions).run().last_start_after_ms().unwrap_or(0);
        prop_assert!(late_ms <= PROMISE_MS, "a start {} ms after the acknowledgement", late_ms);
    }
}
