//! The routes for gang jobs.

use std::convert::Infallible;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use warp::http::StatusCode;
use warp::reply::{Response, json, with_status};
use warp::{Filter, Rejection, Reply};
use xtra::Address;

use super::body::limited_body;
use super::groups::{Cancel, Choose, Deliver, Groups};
use crate::api::{ApiError, ErrorCode};
use crate::bundle::Bundle;
use crate::intake;
use crate::job::JobRow;
use crate::prelude::*;
use crate::store::{Table, Writer};

/// The greatest body of a job.
const JOB_BODY_LIMIT_BYTES: u64 = 64 << 10;
/// The longest idempotency key.
const MAX_KEY_BYTES: usize = 256;

/// What the routes for jobs need.
#[derive(Clone, Debug)]
pub struct Jobs<T> {
    /// The table.
    pub writer: Writer<T>,
    /// The groups.
    pub groups: Address<Groups>,
    /// The bundle in force.
    pub bundle: watch::Receiver<Option<Bundle>>,
}

/// A job as its caller submits it; the entry gives it its id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitJob {
    /// The organisation that submits it.
    pub organisation: OrganisationId,
    /// The kind of work.
    pub kind: KindId,
    /// The number of tasks.
    pub tasks: u32,
    /// What each task needs.
    pub task: TaskSpec,
    /// How close to each other the tasks must be.
    pub adjacency: Adjacency,
    /// The declared run time.
    pub declared_run_ms: u64,
    /// Whether the job may run again after a failure.
    #[serde(default)]
    pub repeat: Repeat,
    /// Whether its tasks can be checkpointed and resumed.
    #[serde(default)]
    pub can_checkpoint: bool,
}

impl SubmitJob {
    fn into_spec(self, id: JobId) -> JobSpec {
        JobSpec {
            id,
            organisation: self.organisation,
            kind: self.kind,
            tasks: self.tasks,
            task: self.task,
            adjacency: self.adjacency,
            declared_run_ms: self.declared_run_ms,
            repeat: self.repeat,
            can_checkpoint: self.can_checkpoint,
        }
    }
}

/// Serves `POST /v1/jobs`, `GET /v1/jobs`, `GET /v1/jobs/{id}` and `DELETE /v1/jobs/{id}`.
pub fn routes<T>(
    jobs: &Jobs<T>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + use<T>
where
    T: Table + Clone,
{
    let all = || warp::path!("v1" / "jobs").and(with(jobs));
    let one = || warp::path!("v1" / "jobs" / JobId).and(with(jobs));
    let key = warp::header::optional("idempotency-key");
    let submit = all().and(key).and(limited_body(JOB_BODY_LIMIT_BYTES)).then(submit);
    let list = all().and(warp::get()).then(list);
    let show = one().and(warp::get()).then(show);
    let cancel = one().and(warp::delete()).then(cancel);
    submit.or(list).unify().or(show).unify().or(cancel).unify()
}

fn with<T>(jobs: &Jobs<T>) -> impl Filter<Extract = (Jobs<T>,), Error = Infallible> + Clone + use<T>
where
    T: Table + Clone,
{
    let jobs = jobs.clone();
    warp::any().map(move || jobs.clone())
}

fn reply<V>(status: StatusCode, result: Result<V, ApiError>) -> Response
where
    V: Serialize,
{
    match result {
        Ok(value) => with_status(json(&value), status).into_response(),
        Err(error) => error.into_response(),
    }
}

async fn submit<T>(jobs: Jobs<T>, key: Option<String>, body: Result<Vec<u8>, ApiError>) -> Response
where
    T: Table + Clone,
{
    let accepted = match body {
        Ok(body) => accept(&jobs, key.as_deref(), &body).await,
        Err(error) => Err(error),
    };
    reply(StatusCode::ACCEPTED, accepted)
}

async fn accept<T>(jobs: &Jobs<T>, key: Option<&str>, body: &[u8]) -> Result<JobRow, ApiError>
where
    T: Table + Clone,
{
    let submitted = parse(body)?;
    let spec = match key {
        Some("") => return Err(ApiError::new(ErrorCode::BadInput, "the idempotency key is empty")),
        Some(key) if key.len() > MAX_KEY_BYTES => {
            let message = format!("the idempotency key is over {MAX_KEY_BYTES} bytes");
            return Err(ApiError::new(ErrorCode::BadInput, &message));
        }
        Some(key) => {
            let id = intake::keyed_job_id(&submitted.organisation, key);
            submitted.into_spec(id)
        }
        None => submitted.into_spec(intake::random_job_id(&mut rand::rng())),
    };
    let bundle = jobs.bundle.borrow().clone();
    let Some(bundle) = bundle else {
        return Err(ApiError::new(ErrorCode::Unavailable, "no bundle is in force"));
    };
    intake::check(&spec, &bundle)?;
    let group = jobs.groups.send(Choose { job: spec.clone() }).await.map_err(stopping)?;
    let group = group.map_err(|reason| ApiError::new(ErrorCode::BadInput, &reason))?;
    let row = intake::submit(&jobs.writer, &spec, &group, &mut seeded()).await?;
    let deliver = Deliver { job: Box::new(row.spec.clone()), group: row.group.clone() };
    if row.state == JobState::Queued && jobs.groups.send(deliver).await.is_err() {
        log::info!(job = row.spec.id.as_str(); "job is left to its leader's scan, because this entry is stopping");
    }
    log::info!(job = row.spec.id.as_str(), group = row.group.as_str(); "job accepted");
    Ok(row)
}

fn parse(body: &[u8]) -> Result<SubmitJob, ApiError> {
    let malformed =
        |error: serde_json::Error| ApiError::new(ErrorCode::BadInput, &error.to_string());
    serde_json::from_slice(body).map_err(malformed)
}

/// Returns a generator that can be held while waiting, which the thread's own cannot.
fn seeded() -> rand_chacha::ChaCha8Rng {
    use rand_chacha::rand_core::SeedableRng;
    rand_chacha::ChaCha8Rng::from_rng(&mut rand::rng())
}

fn stopping(_: xtra::Error) -> ApiError {
    ApiError::new(ErrorCode::Unavailable, "this entry is stopping")
}

async fn list<T>(jobs: Jobs<T>) -> Response
where
    T: Table + Clone,
{
    reply(StatusCode::OK, intake::list(jobs.writer.table()).await.map_err(ApiError::from))
}

async fn show<T>(id: JobId, jobs: Jobs<T>) -> Response
where
    T: Table + Clone,
{
    let row = intake::read(jobs.writer.table(), &id).await.map(|(row, _)| row);
    reply(StatusCode::OK, row.map_err(ApiError::from))
}

async fn cancel<T>(id: JobId, jobs: Jobs<T>) -> Response
where
    T: Table + Clone,
{
    let row = intake::cancel(&jobs.writer, &id, &mut seeded()).await;
    if row.is_ok() && jobs.groups.send(Cancel { jobs: vec![id] }).await.is_err() {
        log::info!("cancellation is left to the leader's scan, because this entry is stopping");
    }
    reply(StatusCode::ACCEPTED, row.map_err(ApiError::from))
}
