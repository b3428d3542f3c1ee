//! HTTP interface of the stand-in.

use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use warp::http::StatusCode;
use warp::reply::{Response, json, with_status};
use warp::{Filter, Rejection, Reply};

use super::{
    Faults, LeaseRenewal, Platform, StartTask, TaskList, TaskRecord, TaskStart, WorkerFault,
    WorkerModel,
};
use crate::api::ApiError;
use crate::prelude::*;
use crate::process::intake::{self, Body, BodyError, BodyLimits};
use crate::store::{Commit, Error};

/// Largest accepted body of a call.
const BODY_LIMIT_BYTES: u64 = 16 << 20;

type Query = HashMap<String, String>;

/// Returns the routes of the table, the object store, the workers and the test interface.
pub(super) fn routes(
    platform: &Platform,
) -> impl Filter<Extract = (impl Reply + use<>,), Error = Rejection> + Clone + use<> {
    table_routes(platform)
        .or(object_routes(platform))
        .unify()
        .or(worker_routes(platform))
        .unify()
        .or(test_routes(platform))
        .unify()
        .recover(describe_rejection)
}

fn with_platform(
    platform: &Platform,
) -> impl Filter<Extract = (Platform,), Error = std::convert::Infallible> + Clone + use<> {
    let platform = platform.clone();
    warp::any().map(move || platform.clone())
}

/// Reason for which a body was not received.
#[derive(Debug)]
struct BodyRefused(BodyError);

impl warp::reject::Reject for BodyRefused {}

/// Returns a filter that reads a body within the bounds of the process, or rejects the request.
pub(super) fn body() -> impl Filter<Extract = (Body,), Error = Rejection> + Clone {
    let body = intake::body(BodyLimits::decoded(BODY_LIMIT_BYTES));
    body.and_then(|body: Result<Body, BodyError>| async {
        body.map_err(|error| warp::reject::custom(BodyRefused(error)))
    })
}

/// Converts the rejection of a body into the error format of the HTTP interface.
pub(super) async fn describe_rejection(rejection: Rejection) -> Result<Response, Rejection> {
    match rejection.find::<BodyRefused>() {
        Some(BodyRefused(error)) => Ok(ApiError::from(error.clone()).into_response()),
        None => Err(rejection),
    }
}

fn table_routes(
    platform: &Platform,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + use<> {
    let row = warp::path!("table" / "row")
        .and(warp::get())
        .and(with_platform(platform))
        .and(warp::query())
        .then(read_row);
    let rows = warp::path!("table" / "rows")
        .and(warp::get())
        .and(with_platform(platform))
        .and(warp::query())
        .then(read_rows);
    let commit = warp::path!("table" / "commit")
        .and(warp::post())
        .and(with_platform(platform))
        .and(body())
        .then(commit);
    row.or(rows).unify().or(commit).unify()
}

fn object_routes(
    platform: &Platform,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + use<> {
    let path = || warp::path!("object");
    let get =
        path().and(warp::get()).and(with_platform(platform)).and(warp::query()).then(get_object);
    let put = path()
        .and(warp::put())
        .and(with_platform(platform))
        .and(warp::query())
        .and(body())
        .then(put_object);
    get.or(put).unify()
}

fn worker_routes(
    platform: &Platform,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + use<> {
    let list = warp::path!("worker" / WorkerId / "tasks")
        .and(warp::get())
        .and(with_platform(platform))
        .map(list_tasks);
    let start = warp::path!("worker" / WorkerId / "tasks")
        .and(warp::post())
        .and(with_platform(platform))
        .and(body())
        .map(start_task);
    let change = warp::path!("worker" / WorkerId / "tasks" / String);
    let change =
        change.and(warp::post()).and(with_platform(platform)).and(body()).map(change_tasks);
    list.or(start).unify().or(change).unify()
}

/// Returns the routes for tests: health, faults and records.
fn test_routes(
    platform: &Platform,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + use<> {
    let health = warp::path!("healthz").map(|| "ok\n".into_response());
    let get_faults = warp::path!("faults").and(warp::get()).and(with_platform(platform));
    let get_faults =
        get_faults.map(|platform: Platform| json(&platform.lock().faults).into_response());
    let post_faults = warp::path!("faults")
        .and(warp::post())
        .and(with_platform(platform))
        .and(body())
        .map(set_faults);
    let starts = warp::path!("record" / "starts").and(with_platform(platform));
    let starts = starts.map(|platform: Platform| json(&platform.lock().starts).into_response());
    let runs = warp::path!("record" / "runs").and(with_platform(platform));
    let runs = runs.map(|platform: Platform| json(&platform.lock().runs).into_response());
    let tasks = warp::path!("record" / "tasks").and(with_platform(platform)).map(record_tasks);
    let now = warp::path!("record" / "now").and(with_platform(platform));
    let now = now.map(|platform: Platform| json(&platform.clock.now_ms()).into_response());
    health
        .or(get_faults)
        .unify()
        .or(post_faults)
        .unify()
        .or(starts)
        .unify()
        .or(runs)
        .unify()
        .or(tasks)
        .unify()
        .or(now)
        .unify()
}

/// Waits for the configured delay of the table; returns an error response if the table is down.
async fn table_fault(platform: &Platform) -> Option<Response> {
    let delay_ms = platform.lock().faults.table_delay_ms;
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    platform.lock().faults.table_down.then(|| StatusCode::SERVICE_UNAVAILABLE.into_response())
}

fn answer<T>(result: &T) -> Response
where
    T: Serialize,
{
    json(result).into_response()
}

fn bad_request(reason: &str) -> Response {
    with_status(reason.to_owned(), StatusCode::BAD_REQUEST).into_response()
}

fn parse<T>(body: &[u8]) -> Result<T, Box<Response>>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|error| Box::new(bad_request(&error.to_string())))
}

async fn read_row(platform: Platform, query: Query) -> Response {
    if let Some(fault) = table_fault(&platform).await {
        return fault;
    }
    match query.get("key") {
        Some(key) => answer(&platform.store.read_row(key)),
        None => bad_request("query parameter \"key\" is missing"),
    }
}

async fn read_rows(platform: Platform, query: Query) -> Response {
    if let Some(fault) = table_fault(&platform).await {
        return fault;
    }
    match query.get("prefix") {
        Some(prefix) => answer(&platform.store.scan_rows(prefix)),
        None => bad_request("query parameter \"prefix\" is missing"),
    }
}

async fn commit(platform: Platform, body: Body) -> Response {
    if let Some(fault) = table_fault(&platform).await {
        return fault;
    }
    let commit: Commit = match parse(&body) {
        Ok(commit) => commit,
        Err(response) => return *response,
    };
    let result = platform.store.apply(&commit);
    if platform.draws_lost_answer() {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    match result {
        Ok(committed) => answer(&committed),
        Err(Error::Conflict { row }) => {
            with_status(json(&row), StatusCode::CONFLICT).into_response()
        }
        Err(error) => bad_request(&error.to_string()),
    }
}

async fn get_object(platform: Platform, query: Query) -> Response {
    if let Some(fault) = table_fault(&platform).await {
        return fault;
    }
    match query.get("key").map(|key| platform.store.get_object(key)) {
        Some(Some(content)) => content.into_response(),
        Some(None) => StatusCode::NOT_FOUND.into_response(),
        None => bad_request("query parameter \"key\" is missing"),
    }
}

async fn put_object(platform: Platform, query: Query, body: Body) -> Response {
    if let Some(fault) = table_fault(&platform).await {
        return fault;
    }
    match query.get("key") {
        Some(key) => {
            platform.store.put_object(key, &body);
            StatusCode::OK.into_response()
        }
        None => bad_request("query parameter \"key\" is missing"),
    }
}

fn list_tasks(worker: WorkerId, platform: Platform) -> Response {
    let now_ms = platform.clock.now_ms();
    platform.with_worker(&worker, |model, _| answer(&model.report(now_ms)))
}

fn start_task(worker: WorkerId, platform: Platform, body: Body) -> Response {
    let start: StartTask = match parse(&body) {
        Ok(start) => start,
        Err(response) => return *response,
    };
    let now_ms = platform.clock.now_ms();
    let mut started = None;
    let reply = platform.with_worker(&worker, |model, fault| {
        started = model.start(now_ms, &start, fault);
        let status = if started.is_some() { StatusCode::OK } else { StatusCode::CONFLICT };
        status.into_response()
    });
    if let Some(overcommitted) = started {
        platform.lock().starts.push(TaskStart {
            at_ms: now_ms,
            worker,
            task: start.task,
            overcommitted,
        });
    }
    reply
}

fn change_tasks(worker: WorkerId, action: String, platform: Platform, body: Body) -> Response {
    let now_ms = platform.clock.now_ms();
    if action == "renew" {
        return match parse::<LeaseRenewal>(&body) {
            Ok(renewal) => {
                let renew = |model: &mut WorkerModel, _| {
                    answer(&model.renew(now_ms, &renewal.tasks, renewal.lease_ms))
                };
                platform.with_worker(&worker, renew)
            }
            Err(response) => *response,
        };
    }
    let tasks: TaskList = match parse(&body) {
        Ok(tasks) => tasks,
        Err(response) => return *response,
    };
    platform.with_worker(&worker, |model, fault| match action.as_str() {
        "checkpoint" => answer(&model.checkpoint(now_ms, &tasks.tasks)),
        "stop" => {
            model.stop(now_ms, &tasks.tasks, fault);
            StatusCode::OK.into_response()
        }
        "throttle" => StatusCode::OK.into_response(),
        _ => StatusCode::NOT_FOUND.into_response(),
    })
}

fn set_faults(platform: Platform, body: Body) -> Response {
    let faults: Faults = match parse(&body) {
        Ok(faults) => faults,
        Err(response) => return *response,
    };
    let mut inner = platform.lock();
    for (worker, _) in faults.workers.iter().filter(|(_, fault)| **fault == WorkerFault::Down) {
        if let Some(model) = inner.workers.get_mut(worker) {
            model.clear();
        }
    }
    log::info!(faults:serde = faults; "faults changed");
    inner.faults = faults;
    StatusCode::OK.into_response()
}

fn record_tasks(platform: Platform) -> Response {
    let now_ms = platform.clock.now_ms();
    let mut records = Vec::new();
    for (worker, model) in &mut platform.lock().workers {
        let record = |report| TaskRecord { worker: worker.clone(), report };
        records.extend(model.report(now_ms).into_iter().map(record));
    }
    answer(&records)
}

impl Platform {
    fn draws_lost_answer(&self) -> bool {
        let mut inner = self.lock();
        let chance = inner.faults.lost_answers_per_mille;
        inner.random.random_range(0..1_000) < chance
    }

    fn with_worker<F>(&self, worker: &WorkerId, handle: F) -> Response
    where
        F: FnOnce(&mut WorkerModel, Option<WorkerFault>) -> Response,
    {
        let mut inner = self.lock();
        let fault = inner.faults.workers.get(worker).copied();
        if fault == Some(WorkerFault::Down) {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        match inner.workers.get_mut(worker) {
            Some(model) => handle(model, fault),
            None => StatusCode::NOT_FOUND.into_response(),
        }
    }
}
