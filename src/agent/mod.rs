//! The agent process, which runs beside a worker or an endpoint.

pub mod bundles;
pub mod endpoint;
pub mod endpoint_routes;
mod find_leader;
mod forward;
pub mod leader;
mod leader_entry;
mod leader_table;
mod lease_table;
pub mod worker;
mod worker_api;

use std::time::Duration;

use serde_json::json;
use snafu::ResultExt;
use tokio::sync::watch;
use warp::Filter;
use xtra::Address;

use crate::bundle::TrustedPartners;
use crate::prelude::*;
use crate::process::intake::{Intake, ListenerKind, MachineLimits};
use crate::process::{
    self, BindSnafu, Metrics, MonotonicClock, PartnersSnafu, Readiness, new_incarnation,
    observe_routes,
};
use crate::scheduler::{Policy, WorkerSpec};
use crate::settings::{AgentRole, AgentSettings, decode_frame_key};
use crate::store::HttpStore;
use crate::wire::{FrameKey, LinkSettings};
use bundles::ActiveBundleReceiver;
use endpoint::{BundleApplied, Drain, Dump, Endpoint};
use endpoint_routes::EndpointRoutes;
use worker::WorkerParameters;

/// The maximum time for which an agent that shuts down waits for requests in flight.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(600);

/// Runs an agent until the process receives a request to shut down.
///
/// # Errors
///
/// [`process::Error`] if the settings are wrong or an address cannot be bound.
pub async fn run(settings: AgentSettings) -> process::Result<()> {
    let metrics = Metrics::default();
    let intake = Intake::new(&MachineLimits::from_environment()?, &metrics);
    let links = LinkSettings {
        bounds: Some(intake.links.clone()),
        ..LinkSettings::new(FrameKey::new(decode_frame_key(&settings.frame_key)?))
    };
    let trusted = TrustedPartners::try_from(settings.partners.clone()).context(PartnersSnafu)?;
    match settings.beside.clone() {
        AgentRole::Endpoint { endpoint } => {
            run_endpoint(&settings, &endpoint, &links, trusted, &metrics, &intake).await
        }
        AgentRole::Worker { .. } => run_worker(&settings, &links, trusted, &metrics, &intake).await,
    }
}

async fn run_endpoint(
    settings: &AgentSettings,
    endpoint: &EndpointId,
    links: &LinkSettings,
    trusted: TrustedPartners,
    metrics: &Metrics,
    intake: &Intake,
) -> process::Result<()> {
    let (clock, readiness) = (MonotonicClock::start(), Readiness::default());
    let actor = endpoint::spawn(clock, metrics);
    let (bundles, active_bundle) = bundles::spawn(trusted);
    endpoint::connect_entries(&actor, &settings.entries, links, &bundles);
    tokio::spawn(confirm_bundles(actor.clone(), active_bundle.clone()));
    let routes = EndpointRoutes {
        endpoint: actor.clone(),
        id: endpoint.clone(),
        incarnation: new_incarnation(),
        data_centre: settings.data_centre.clone(),
    };
    let (dump_actor, process) = (actor.clone(), settings.process.clone());
    let dump = move || dump_endpoint(dump_actor.clone(), process.clone(), active_bundle.clone());
    let routes = endpoint_routes::routes(&routes).or(observe_routes(&readiness, metrics, dump));
    let (stop, stopped) = watch::channel(false);
    let server = intake.spawn_server(
        ListenerKind::Clients,
        settings.http_address,
        routes,
        process::wait_for_shutdown(stopped),
    );
    readiness.set(true);
    process::shutdown_requested().await?;
    readiness.set(false);
    drain(&actor).await;
    let _ = stop.send(true);
    server.await.unwrap_or(Ok(()))
}

/// Refuses new attempts and waits up to [`DRAIN_TIMEOUT`] for those in flight.
async fn drain(actor: &Address<Endpoint>) {
    let Ok(drained) = actor.send(Drain).await else {
        return;
    };
    if tokio::time::timeout(DRAIN_TIMEOUT, drained).await.is_err() {
        log::error!(
            "requests are still in flight after {DRAIN_TIMEOUT:?}, shutting down without waiting for them"
        );
    }
}

/// Sends the actor a [`BundleApplied`] at each update of the active bundle.
async fn confirm_bundles(actor: Address<Endpoint>, mut active_bundle: ActiveBundleReceiver) {
    while active_bundle.changed().await.is_ok() {
        let version = active_bundle.borrow_and_update().as_ref().map(|bundle| bundle.version());
        let Some(version) = version else {
            continue;
        };
        if actor.send(BundleApplied { version }).await.is_err() {
            return;
        }
    }
}

async fn dump_endpoint(
    actor: Address<Endpoint>,
    process: ProcessId,
    active_bundle: ActiveBundleReceiver,
) -> serde_json::Value {
    let summary = actor.send(Dump).await.ok();
    json!({"process": process, "bundle": describe_bundle(&active_bundle), "endpoint": summary})
}

/// Returns the version and the digest of the active bundle, or null if there is none.
pub(crate) fn describe_bundle(active_bundle: &ActiveBundleReceiver) -> serde_json::Value {
    match active_bundle.borrow().as_ref() {
        Some(bundle) => json!({"version": bundle.version(), "digest": bundle.digest()}),
        None => serde_json::Value::Null,
    }
}

async fn run_worker(
    settings: &AgentSettings,
    links: &LinkSettings,
    trusted: TrustedPartners,
    metrics: &Metrics,
    intake: &Intake,
) -> process::Result<()> {
    let (clock, readiness) = (MonotonicClock::start(), Readiness::default());
    let Some(parameters) = worker_parameters(settings, links, trusted) else {
        return Ok(());
    };
    let address = parameters.udp_address;
    let table = HttpStore::new(&settings.platform_url);
    let spawned = worker::spawn(parameters, table, clock, metrics).await;
    let actor = spawned.context(BindSnafu { address })?;
    let (dump_actor, process) = (actor.clone(), settings.process.clone());
    let dump = move || dump_worker(dump_actor.clone(), process.clone());
    let routes = observe_routes(&readiness, metrics, dump);
    let (stop, stopped) = watch::channel(false);
    let server = intake.spawn_server(
        ListenerKind::Clients,
        settings.http_address,
        routes,
        process::wait_for_shutdown(stopped),
    );
    readiness.set(true);
    process::shutdown_requested().await?;
    readiness.set(false);
    if let Ok(done) = actor.send(worker::Shutdown).await {
        let _ = done.await;
    }
    let _ = stop.send(true);
    server.await.unwrap_or(Ok(()))
}

fn worker_parameters(
    settings: &AgentSettings,
    links: &LinkSettings,
    trusted: TrustedPartners,
) -> Option<WorkerParameters> {
    let AgentRole::Worker {
        worker,
        rack,
        shape,
        worker_url,
        udp_address,
        heartbeat_ms,
        gang_lease_ms,
        leader_lease_ms,
    } = settings.beside.clone()
    else {
        return None;
    };
    Some(WorkerParameters {
        process: settings.process.clone(),
        incarnation: new_incarnation(),
        data_centre: settings.data_centre.clone(),
        worker: WorkerSpec { id: worker, rack, shape },
        worker_url,
        udp_address,
        entries: settings.entries.clone(),
        link: links.clone(),
        partners: trusted,
        heartbeat_ms: heartbeat_ms.into(),
        gang_lease_ms: gang_lease_ms.into(),
        leader_lease_ms: leader_lease_ms.into(),
        policy: Policy::Product,
    })
}

async fn dump_worker(
    actor: Address<worker::Worker<HttpStore>>,
    process: ProcessId,
) -> serde_json::Value {
    let state = actor.send(worker::Dump).await.ok();
    json!({"process": process, "worker": state})
}
