//! The entry process: the HTTP interface for callers and operators, and the connections of agents.

pub mod body;
pub mod configuration;
pub mod groups;
pub mod jobs;
mod keys;
pub mod listener;
pub mod overview;
pub mod request_routes;
pub mod requests;

use std::net::SocketAddr;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde_json::json;
use snafu::ResultExt;
use tokio::sync::{mpsc, watch};
use warp::reply::Response;
use warp::{Filter, Rejection};
use xtra::{Address, Mailbox};

use crate::api::{ApiError, ErrorCode};
use crate::bundle::{Bundle, TrustedPartners};
use crate::membership::LeaseRow;
use crate::permit::DataCentreStatus;
use crate::prelude::*;
use crate::process::intake::{InnerConnections, Intake, ListenerKind, MachineLimits, bind_inner};
use crate::process::{
    self, BindSnafu, Metrics, MonotonicClock, PartnersSnafu, Readiness, new_incarnation,
    observe_routes,
};
use crate::request::{RouterLimits, RouterRules};
use crate::settings::{EntrySettings, decode_frame_key};
use crate::store::{HttpStore, LimitedTable, Table, Writer};
use crate::wire::{FrameKey, LinkSettings};
use configuration::{Configuration, Identity};
use groups::Groups;
use jobs::Jobs;
use listener::Actors;
use request_routes::RequestRoute;
use requests::Requests;

/// The table of the entry, whose reads and writes are limited per second.
type EntryTable = std::sync::Arc<LimitedTable<HttpStore>>;

/// The maximum number of reads of the table by one entry per second. 27 entries then make fewer than 2,000.
const MAX_READS_PER_SECOND: u64 = 70;
/// The maximum number of writes to the table by one entry per second. 27 entries then make fewer than 300.
const MAX_WRITES_PER_SECOND: u64 = 11;
/// The interval at which unconfirmed jobs are resent to leaders and the lease rows of leaders are read.
const GROUPS_TICK_INTERVAL: Duration = Duration::from_secs(1);
/// The capacity of the mailbox of the groups actor, in messages.
const MAILBOX_CAPACITY: usize = 4_096;
/// The capacity of the channel of configuration events.
const CONFIG_EVENT_CAPACITY: usize = 1_024;
/// The prefix of the keys of the groups' lease rows.
const LEASE_PREFIX: &str = "group/";

/// Runs an entry until the process is asked to stop.
///
/// # Errors
///
/// [`process::Error`] if the settings are wrong or an address cannot be bound.
pub async fn run(settings: EntrySettings) -> process::Result<()> {
    let (clock, metrics, readiness) =
        (MonotonicClock::start(), Metrics::default(), Readiness::default());
    let incarnation = new_incarnation();
    let intake = Intake::new(&MachineLimits::from_environment()?, &metrics);
    let links = LinkSettings {
        bounds: Some(intake.links.clone()),
        ..LinkSettings::new(FrameKey::new(decode_frame_key(&settings.frame_key)?))
    };
    let store = HttpStore::new(&settings.platform_url);
    let table = LimitedTable::new(store.clone(), MAX_READS_PER_SECOND, MAX_WRITES_PER_SECOND);
    let writer = Writer::new(EntryTable::new(table));
    let (config_events, config_receiver) = mpsc::channel(CONFIG_EVENT_CAPACITY);
    let identity = Identity {
        process: settings.process.clone(),
        incarnation,
        data_centre: settings.data_centre.clone(),
        trusted: TrustedPartners::try_from(settings.partners.clone()).context(PartnersSnafu)?,
    };
    let configuration =
        configuration::start(identity, writer.clone(), store, clock, &metrics, config_receiver);
    let groups_actor = Groups::new(clock, &metrics, ChaCha8Rng::from_rng(&mut rand::rng()));
    let groups = xtra::spawn_tokio(groups_actor, Mailbox::bounded(MAILBOX_CAPACITY));
    let random = ChaCha8Rng::from_rng(&mut rand::rng());
    let requests = requests::spawn(incarnation, writer.clone(), clock, &metrics, random);
    tokio::spawn(distribute_bundles(
        configuration.bundle.clone(),
        groups.clone(),
        requests.clone(),
    ));
    tokio::spawn(distribute_data_centre_states(
        configuration.data_centre_statuses.clone(),
        groups.clone(),
        requests.clone(),
    ));
    tokio::spawn(poll_leader_leases(writer.clone(), groups.clone()));
    let actors =
        Actors { requests: requests.clone(), groups: groups.clone(), config: config_events };
    serve_agents(settings.agent_address, links, incarnation, actors, &intake)?;

    let dump = dump(&settings, &groups, &requests, configuration.actor());
    let jobs = Jobs { writer, groups: groups.clone(), bundle: configuration.bundle.clone() };
    let request_route = RequestRoute::new(requests.clone(), incarnation, settings.body_limit_bytes);
    let routes = request_routes::routes(&request_route)
        .or(observe_routes(&readiness, &metrics, dump))
        .or(jobs::routes(&jobs))
        .or(configuration::routes(&configuration))
        .or(overview::routes(&groups, &requests))
        .recover(describe_rejection);
    let (stop, stopped) = watch::channel(false);
    let server = intake.spawn_server(
        ListenerKind::Clients,
        settings.http_address,
        routes,
        process::wait_for_shutdown(stopped),
    );
    readiness.set(true);
    process::shutdown_requested().await?;
    // The load balancer sends no more calls to an entry that is not ready; the server still answers those in flight.
    readiness.set(false);
    let _ = stop.send(true);
    let served = server.await.unwrap_or(Ok(()));
    configuration.stop().await;
    served
}

fn serve_agents(
    address: SocketAddr,
    links: LinkSettings,
    incarnation: Incarnation,
    actors: Actors<EntryTable>,
    intake: &Intake,
) -> process::Result<()> {
    let socket = bind_inner(address).context(BindSnafu { address })?;
    let connections = InnerConnections::new(intake.clone());
    tokio::spawn(listener::serve(socket, links, incarnation, actors, connections));
    Ok(())
}

async fn distribute_bundles(
    mut bundles: watch::Receiver<Option<Bundle>>,
    groups: Address<Groups>,
    requests: Address<Requests<EntryTable>>,
) {
    loop {
        let bundle = bundles.borrow_and_update().clone();
        if let Some(bundle) = bundle {
            let rules = RouterRules::new(&bundle, RouterLimits::default());
            let _ = requests.send(requests::ApplyRules { rules }).await;
            let _ = groups.send(groups::ApplyBundle { bundle: Box::new(bundle) }).await;
        }
        if bundles.changed().await.is_err() {
            return;
        }
    }
}

async fn distribute_data_centre_states(
    mut updates: watch::Receiver<Vec<DataCentreStatus>>,
    groups: Address<Groups>,
    requests: Address<Requests<EntryTable>>,
) {
    loop {
        let statuses = updates.borrow_and_update().clone();
        for DataCentreStatus { data_centre, state, .. } in statuses {
            let apply = requests::ApplyDataCentreState { data_centre: data_centre.clone(), state };
            let _ = requests.send(apply).await;
            let _ = groups.send(groups::ApplyDataCentreState { data_centre, state }).await;
        }
        if updates.changed().await.is_err() {
            return;
        }
    }
}

/// Reads the lease rows of the groups, so that members can find their leader, and resends unconfirmed jobs to leaders.
async fn poll_leader_leases(writer: Writer<EntryTable>, groups: Address<Groups>) {
    let mut interval = tokio::time::interval(GROUPS_TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while groups.is_connected() {
        interval.tick().await;
        let _ = groups.send(groups::Tick).await;
        // While the table is down, the leaders that were read last remain recorded.
        let rows = writer.table().scan(LEASE_PREFIX).await.unwrap_or_default();
        for row in rows {
            let group = row.key.trim_start_matches(LEASE_PREFIX);
            let Ok(lease) = serde_json::from_value::<LeaseRow>(row.value) else {
                log::warn!(key = row.key.as_str(); "lease row of a group is malformed; it is skipped");
                continue;
            };
            let (epoch, address) = (lease.epoch, lease.address);
            let _ = groups.send(groups::LeaderRead { group: group.into(), epoch, address }).await;
        }
    }
}

/// Returns the function that collects the state of this entry's actors for a dump.
fn dump(
    settings: &EntrySettings,
    groups: &Address<Groups>,
    requests: &Address<Requests<EntryTable>>,
    configuration: &Address<Configuration>,
) -> impl Fn() -> futures::future::BoxFuture<'static, serde_json::Value> + Clone + use<> {
    let process = settings.process.clone();
    let (groups, requests, configuration) =
        (groups.clone(), requests.clone(), configuration.clone());
    move || {
        let process = process.clone();
        let (groups, requests, configuration) =
            (groups.clone(), requests.clone(), configuration.clone());
        Box::pin(async move {
            json!({
                "process": process,
                "configuration": configuration.send(configuration::Dump).await.ok(),
                "requests": requests.send(requests::Dump).await.ok(),
                "groups": groups.send(groups::Dump).await.ok(),
            })
        })
    }
}

/// Converts rejections of the routes into the error format of the HTTP interface.
async fn describe_rejection(rejection: Rejection) -> Result<Response, Rejection> {
    let (code, message) = if rejection.find::<warp::reject::PayloadTooLarge>().is_some() {
        (ErrorCode::TooLarge, "the body exceeds the limit")
    } else if rejection.find::<warp::reject::LengthRequired>().is_some() {
        (ErrorCode::BadInput, "header content-length is missing")
    } else if rejection.find::<warp::reject::MethodNotAllowed>().is_some() {
        (ErrorCode::BadInput, "the method is not allowed on this path")
    } else if rejection.is_not_found() {
        (ErrorCode::NotFound, "the path does not exist")
    } else {
        (ErrorCode::BadInput, "the call is malformed")
    };
    Ok(ApiError::new(code, message).into_response())
}
