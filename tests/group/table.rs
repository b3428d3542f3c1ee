//! A table that injects faults: lost answers, delayed commits and outages.

use std::sync::{Arc, Mutex};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use teaselhall::store::{Commit, Committed, Error, MemoryStore, Result, Row, Table};

/// Faults of the table; rates are in thousandths of the commits.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableFaults {
    /// Whether all calls fail.
    pub down: bool,
    /// The rate of commits that are processed but get no answer.
    pub lost_per_mille: u32,
    /// The rate of commits that get no answer and are applied later.
    pub delayed_per_mille: u32,
}

/// A [`MemoryStore`] with injected faults. Clones share the store and the faults.
#[derive(Clone)]
pub struct FaultyTable {
    pub store: MemoryStore,
    state: Arc<Mutex<State>>,
}

struct State {
    faults: TableFaults,
    random: ChaCha8Rng,
    delayed: Vec<Commit>,
}

impl FaultyTable {
    pub fn new(seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        let state = State { faults: TableFaults::default(), random, delayed: Vec::new() };
        Self { store: MemoryStore::default(), state: Arc::new(Mutex::new(state)) }
    }

    pub fn set_faults(&self, faults: TableFaults) {
        self.state.lock().unwrap().faults = faults;
    }

    pub fn is_down(&self) -> bool {
        self.state.lock().unwrap().faults.down
    }

    /// Removes and returns the delayed commits. The caller applies them later.
    pub fn take_delayed(&self) -> Vec<Commit> {
        std::mem::take(&mut self.state.lock().unwrap().delayed)
    }

    fn check_up(&self) -> Result<()> {
        let unavailable = Error::Unavailable { reason: "the table is down".to_owned() };
        if self.is_down() { Err(unavailable) } else { Ok(()) }
    }
}

impl Table for FaultyTable {
    async fn read(&self, key: &str) -> Result<Option<Row>> {
        self.check_up()?;
        Ok(self.store.read_row(key))
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>> {
        self.check_up()?;
        Ok(self.store.scan_rows(prefix))
    }

    async fn commit(&self, commit: &Commit) -> Result<Committed> {
        self.check_up()?;
        let lost = Err(Error::UnknownResult { reason: "the answer was lost".to_owned() });
        let mut state = self.state.lock().unwrap();
        let (faults, draw) = (state.faults, state.random.random_range(0..1_000));
        if draw < faults.delayed_per_mille {
            state.delayed.push(commit.clone());
            return lost;
        }
        let result = self.store.apply(commit);
        if draw < faults.delayed_per_mille + faults.lost_per_mille { lost } else { result }
    }
}
