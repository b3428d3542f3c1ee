//! A table whose answers get lost, whose commits come late, and which is down at times.

use std::sync::{Arc, Mutex};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use teaselhall::store::{Commit, Committed, Error, MemoryStore, Result, Row, Table};

/// Faults of the table, in thousandths of the calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableFaults {
    pub down: bool,
    pub lost_per_mille: u32,
    pub late_per_mille: u32,
}

/// The table. Clones share it.
#[derive(Clone)]
pub struct FaultyTable {
    pub store: MemoryStore,
    state: Arc<Mutex<State>>,
}

struct State {
    faults: TableFaults,
    random: ChaCha8Rng,
    late: Vec<Commit>,
}

impl FaultyTable {
    pub fn new(seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        let state = State { faults: TableFaults::default(), random, late: Vec::new() };
        Self { store: MemoryStore::default(), state: Arc::new(Mutex::new(state)) }
    }

    pub fn set(&self, faults: TableFaults) {
        self.state.lock().unwrap().faults = faults;
    }

    pub fn is_down(&self) -> bool {
        self.state.lock().unwrap().faults.down
    }

    /// Takes the commits whose authors got no answer and which take effect later.
    pub fn take_late(&self) -> Vec<Commit> {
        std::mem::take(&mut self.state.lock().unwrap().late)
    }

    fn check_up(&self) -> Result<()> {
        let down = Error::Unavailable { reason: "the table is down".to_owned() };
        if self.is_down() { Err(down) } else { Ok(()) }
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
        if draw < faults.late_per_mille {
            state.late.push(commit.clone());
            return lost;
        }
        let result = self.store.apply(commit);
        if draw < faults.late_per_mille + faults.lost_per_mille { lost } else { result }
    }
}
