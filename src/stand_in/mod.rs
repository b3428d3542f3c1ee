//! Stand-in for the platform in development and tests: table, object store, workers and endpoints, with faults that can
//! be switched on. docs/platform.md describes its HTTP interface.

mod endpoint;
mod fault;
mod message;
mod route;
#[cfg(test)]
mod tests;
mod worker;

pub use fault::{Faults, WorkerFault};
pub use message::{
    EndpointRun, LeaseRenewal, StartTask, TaskLease, TaskList, TaskRecord, TaskReport, TaskStart,
    TaskState,
};
pub use worker::WorkerModel;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::prelude::*;
use crate::process::intake::{Intake, ListenerKind, MachineLimits};
use crate::process::{self, Metrics, MonotonicClock};
use crate::settings::StandInSettings;
use crate::store::MemoryStore;

/// State of the stand-in, shared by clones.
#[derive(Clone, Debug)]
pub struct Platform {
    clock: MonotonicClock,
    store: MemoryStore,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    faults: Faults,
    random: rand_chacha::ChaCha8Rng,
    workers: BTreeMap<WorkerId, WorkerModel>,
    starts: Vec<TaskStart>,
    runs: Vec<EndpointRun>,
}

/// Seed of the random numbers that decide which commits lose their answers.
const FAULT_SEED: u64 = 7;

impl Platform {
    /// Creates the stand-in with the workers of its settings and without faults.
    pub fn new(settings: &StandInSettings) -> Self {
        use rand_chacha::rand_core::SeedableRng;
        let model = |worker: &crate::settings::WorkerSettings| {
            (worker.id.clone(), WorkerModel::new(worker.shape, settings.usage_lag_ms))
        };
        let inner = Inner {
            faults: Faults::default(),
            random: rand_chacha::ChaCha8Rng::seed_from_u64(FAULT_SEED),
            workers: settings.workers.iter().map(model).collect(),
            starts: Vec::new(),
            runs: Vec::new(),
        };
        Self {
            clock: MonotonicClock::start(),
            store: MemoryStore::default(),
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs the stand-in until the process receives a shutdown request.
///
/// # Errors
///
/// [`process::Error::Bind`] if an address cannot be bound.
pub async fn run(settings: StandInSettings) -> process::Result<()> {
    let platform = Platform::new(&settings);
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let intake = Intake::new(&MachineLimits::from_environment()?, &Metrics::default());
    for endpoint in &settings.endpoints {
        endpoint::spawn(endpoint, &platform, &intake, stopped.clone())?;
    }
    let routes = route::routes(&platform);
    let server = intake.spawn_server(
        ListenerKind::Clients,
        settings.http_address,
        routes,
        process::wait_for_shutdown(stopped),
    );
    log::info!(address = settings.http_address.to_string(); "platform stand-in is listening");
    process::shutdown_requested().await?;
    let _ = stop.send(true);
    server.await.unwrap_or(Ok(()))
}
