//! Guards against commits that take effect twice, against a wrong result of a commit whose answer was lost, and against
//! urgent calls that are delayed by ordinary ones.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use proptest::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::{
    CallBudget, Commit, CommitOutcome, Committed, Condition, Error, MemoryStore, OperationId,
    Result, Row, RowVersion, Table, Urgency, Write, Writer,
};

const LIMIT: Duration = Duration::from_secs(5);
const KEY: &str = "counter";

/// Simulated outcome of one commit call of the faulty table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallOutcome {
    Applied,
    Unavailable,
    RequestLost,
    AnswerLost,
    AppliedLate,
}

/// In-memory table whose first commits have the given outcomes; later ones are applied.
#[derive(Clone)]
struct FaultyTable {
    store: MemoryStore,
    outcomes: Arc<Mutex<Vec<CallOutcome>>>,
    late: Arc<Mutex<Vec<Commit>>>,
}

impl FaultyTable {
    fn new(outcomes: &[CallOutcome]) -> Self {
        let outcomes = Arc::new(Mutex::new(outcomes.iter().rev().copied().collect()));
        Self { store: MemoryStore::default(), outcomes, late: Arc::default() }
    }

    fn apply_late_commits(&self) {
        for commit in self.late.lock().expect("not poisoned").drain(..) {
            let _ = self.store.apply(&commit);
        }
    }
}

impl Table for FaultyTable {
    async fn read(&self, key: &str) -> Result<Option<Row>> {
        Ok(self.store.read_row(key))
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>> {
        Ok(self.store.scan_rows(prefix))
    }

    async fn commit(&self, commit: &Commit) -> Result<Committed> {
        let call_outcome =
            self.outcomes.lock().expect("not poisoned").pop().unwrap_or(CallOutcome::Applied);
        let unknown_result =
            || Err(Error::UnknownResult { reason: "the answer was lost".to_owned() });
        match call_outcome {
            CallOutcome::Applied => self.store.apply(commit),
            CallOutcome::Unavailable => Err(Error::Unavailable { reason: "down".to_owned() }),
            CallOutcome::RequestLost => unknown_result(),
            CallOutcome::AnswerLost => self.store.apply(commit).and_then(|_| unknown_result()),
            CallOutcome::AppliedLate => {
                self.late.lock().expect("not poisoned").push(commit.clone());
                unknown_result()
            }
        }
    }
}

fn increment(row: Option<&Row>, random: &mut ChaCha8Rng) -> Commit {
    let version = row.map_or(RowVersion::ABSENT, |row| row.version);
    let value = row.and_then(|row| row.value.as_u64()).unwrap_or(0) + 1;
    Commit {
        operation: OperationId::random(random),
        conditions: vec![Condition { key: KEY.to_owned(), version }],
        writes: vec![Write { key: KEY.to_owned(), value: value.into() }],
    }
}

fn run<F>(future: F) -> F::Output
where
    F: Future,
{
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("the runtime starts").block_on(future)
}

fn commit_once(outcomes: &[CallOutcome]) -> (CommitOutcome, FaultyTable) {
    let table = FaultyTable::new(outcomes);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let commit = increment(None, &mut random);
    let outcome = run(Writer::new(table.clone()).commit(&commit, LIMIT, &mut random));
    (outcome, table)
}

/// Guards against a commit that is applied again because the answers to its first calls were lost.
#[test]
fn commit_whose_answers_were_lost_takes_effect_once() {
    let (outcome, table) = commit_once(&[CallOutcome::AnswerLost, CallOutcome::AnswerLost]);

    assert_eq!(outcome, CommitOutcome::Durable(Committed { versions: vec![RowVersion(1)] }));
    assert_eq!(table.store.read_row(KEY).map(|row| row.version), Some(RowVersion(1)));
}

/// Guards against a commit that takes effect twice because its delayed first call arrives after the retry.
#[test]
fn commit_with_a_delayed_first_call_takes_effect_once() {
    let (outcome, table) = commit_once(&[CallOutcome::AppliedLate, CallOutcome::Applied]);

    table.apply_late_commits();

    assert!(matches!(outcome, CommitOutcome::Durable(_)));
    assert_eq!(table.store.read_row(KEY).map(|row| row.version), Some(RowVersion(1)));
}

/// Guards against an unknown result for a commit whose calls all failed without effect.
#[test]
fn commit_with_only_unavailable_calls_is_reported_as_not_applied() {
    let (outcome, table) = commit_once(&[CallOutcome::Unavailable; 100]);

    assert!(matches!(outcome, CommitOutcome::NotApplied(_)), "{outcome:?}");
    assert_eq!(table.store.read_row(KEY), None);
}

/// Guards against reporting a commit as not applied while one of its calls may still take effect.
#[test]
fn commit_with_a_delayed_call_is_reported_as_unknown() {
    let outcomes = [&[CallOutcome::AppliedLate][..], &[CallOutcome::Unavailable; 100]].concat();

    let (outcome, table) = commit_once(&outcomes);
    table.apply_late_commits();

    assert!(matches!(outcome, CommitOutcome::Unknown(_)), "{outcome:?}");
    assert!(table.store.read_row(KEY).is_some());
}

/// Guards against urgent calls that are delayed because ordinary ones exhausted the budget.
#[test]
fn urgent_calls_use_the_reserve_when_ordinary_calls_exhausted_the_budget() {
    let mut budget = CallBudget::new(100);

    let ordinary = (0..200).filter(|_| budget.try_acquire(0, Urgency::Ordinary).is_ok()).count();
    let urgent = (0..200).filter(|_| budget.try_acquire(0, Urgency::Urgent).is_ok()).count();

    assert_eq!((ordinary, urgent), (75, 25));
    assert_eq!(budget.try_acquire(0, Urgency::Urgent), Err(10));
    assert_eq!(budget.try_acquire(10, Urgency::Urgent), Ok(()));
}

proptest! {
    /// Guards against increments that are lost or applied twice, and against wrongly reported outcomes, under any
    /// sequence of faults.
    #[test]
    fn reported_outcomes_agree_with_the_table(seed in any::<u64>()) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let choices = [
            CallOutcome::Applied,
            CallOutcome::Unavailable,
            CallOutcome::RequestLost,
            CallOutcome::AnswerLost,
            CallOutcome::AppliedLate,
        ];
        let outcomes: Vec<CallOutcome> =
            (0..40).map(|_| choices[random.random_range(0..choices.len())]).collect();
        let table = FaultyTable::new(&outcomes);
        let writer = Writer::new(table.clone());
        let (mut durable, mut unknown) = (0, 0);
        for _ in 0..10 {
            let row = table.store.read_row(KEY);
            let commit = increment(row.as_ref(), &mut random);
            match run(writer.commit(&commit, LIMIT, &mut random)) {
                CommitOutcome::Durable(_) => durable += 1,
                CommitOutcome::Unknown(_) => unknown += 1,
                CommitOutcome::Conflict(_) | CommitOutcome::NotApplied(_) => {}
            }
            if random.random_bool(0.5) {
                table.apply_late_commits();
            }
        }
        table.apply_late_commits();

        let count = table.store.read_row(KEY).and_then(|row| row.value.as_u64()).unwrap_or(0);

        prop_assert!((durable..=durable + unknown).contains(&count), "{durable} + {unknown} against {count}");
    }
}
