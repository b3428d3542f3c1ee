//! Guards against commits that take effect twice, against false certainty about lost answers, and against urgent calls
//! that wait behind ordinary ones.

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

/// What happens to one call of the faulty table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Works,
    RefusedBefore,
    LostBefore,
    LostAfter,
    AppliedLate,
}

/// A table in memory whose commits meet the given fates, then work.
#[derive(Clone)]
struct FaultyTable {
    store: MemoryStore,
    fates: Arc<Mutex<Vec<Fate>>>,
    late: Arc<Mutex<Vec<Commit>>>,
}

impl FaultyTable {
    fn new(fates: &[Fate]) -> Self {
        let fates = Arc::new(Mutex::new(fates.iter().rev().copied().collect()));
        Self { store: MemoryStore::default(), fates, late: Arc::default() }
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
        let fate = self.fates.lock().expect("not poisoned").pop().unwrap_or(Fate::Works);
        let lost = || Err(Error::UnknownResult { reason: "the answer was lost".to_owned() });
        match fate {
            Fate::Works => self.store.apply(commit),
            Fate::RefusedBefore => Err(Error::Unavailable { reason: "down".to_owned() }),
            Fate::LostBefore => lost(),
            Fate::LostAfter => self.store.apply(commit).and_then(|_| lost()),
            Fate::AppliedLate => {
                self.late.lock().expect("not poisoned").push(commit.clone());
                lost()
            }
        }
    }
}

fn increment(from: Option<&Row>, random: &mut ChaCha8Rng) -> Commit {
    let version = from.map_or(RowVersion::ABSENT, |row| row.version);
    let value = from.and_then(|row| row.value.as_u64()).unwrap_or(0) + 1;
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

fn commit_once(fates: &[Fate]) -> (CommitOutcome, FaultyTable) {
    let table = FaultyTable::new(fates);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let commit = increment(None, &mut random);
    let outcome = run(Writer::new(table.clone()).commit(&commit, LIMIT, &mut random));
    (outcome, table)
}

#[test]
fn commit_whose_answer_was_lost_takes_effect_once() {
    let (outcome, table) = commit_once(&[Fate::LostAfter, Fate::LostAfter]);

    assert_eq!(outcome, CommitOutcome::Durable(Committed { versions: vec![RowVersion(1)] }));
    assert_eq!(table.store.read_row(KEY).map(|row| row.version), Some(RowVersion(1)));
}

#[test]
fn commit_that_is_applied_late_is_not_applied_again() {
    let (outcome, table) = commit_once(&[Fate::AppliedLate, Fate::Works]);

    table.apply_late_commits();

    assert!(matches!(outcome, CommitOutcome::Durable(_)));
    assert_eq!(table.store.read_row(KEY).map(|row| row.version), Some(RowVersion(1)));
}

#[test]
fn commit_that_was_always_refused_is_certainly_not_applied() {
    let (outcome, table) = commit_once(&[Fate::RefusedBefore; 100]);

    assert!(matches!(outcome, CommitOutcome::NotApplied(_)), "{outcome:?}");
    assert_eq!(table.store.read_row(KEY), None);
}

#[test]
fn commit_that_may_still_be_applied_is_unknown() {
    let fates = [&[Fate::AppliedLate][..], &[Fate::RefusedBefore; 100]].concat();

    let (outcome, table) = commit_once(&fates);
    table.apply_late_commits();

    assert!(matches!(outcome, CommitOutcome::Unknown(_)), "{outcome:?}");
    assert!(table.store.read_row(KEY).is_some());
}

#[test]
fn urgent_calls_pass_a_budget_that_ordinary_calls_used_up() {
    let mut budget = CallBudget::new(100);

    let ordinary = (0..200).filter(|_| budget.take(0, Urgency::Ordinary).is_ok()).count();
    let urgent = (0..200).filter(|_| budget.take(0, Urgency::Urgent).is_ok()).count();

    assert_eq!((ordinary, urgent), (75, 25));
    assert_eq!(budget.take(0, Urgency::Urgent), Err(10));
    assert_eq!(budget.take(10, Urgency::Urgent), Ok(()));
}

proptest! {
    /// Guards against lost or doubled increments, and against wrong certainty, under any sequence of faults.
    #[test]
    fn certain_outcomes_agree_with_the_table(seed in any::<u64>()) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let fates = [Fate::Works, Fate::RefusedBefore, Fate::LostBefore, Fate::LostAfter, Fate::AppliedLate];
        let fates: Vec<Fate> = (0..40).map(|_| fates[random.random_range(0..fates.len())]).collect();
        let table = FaultyTable::new(&fates);
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
