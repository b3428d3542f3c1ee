//! The routes for gang jobs.

use std::convert::Infallible;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use warp::http::StatusCode;
use warp::reply::{Response, json, with_status};
use warp::{Filter, Rejection, Reply};
use xtra::Address;

use super::body::limited_body;
use super::groups::{CancelJobs, ChooseGroup, DeliverJob, Groups};
use crate::api::{ApiError, ErrorCode};
use crate::bundle::Bundle;
use crate::intake;
use crate::job::JobRow;
use crate::prelude::*;
use crate::process::intake::Body;
use crate::store::{Table, Writer};

/// The maximum size of a job's body, in bytes.
const JOB_BODY_LIMIT_BYTES: u64 = 64 << 10;
/// The maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// State shared by the routes for jobs.
#[derive(Clone, Debug)]
pub struct Jobs<T> {
    /// Writer of the table that holds the jobs' rows.
    pub writer: Writer<T>,
    /// Actor that chooses the group of a job and sends the job to its leader.
    pub groups: Address<Groups>,
    /// The active bundle, against which jobs are checked.
    pub bundle: watch::Receiver<Option<Bundle>>,
}

/// Body of `POST /v1/jobs`: a job without its ID, which the entry assigns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitJob {
    /// Organisation that submits the job.
    pub organisation: OrganisationId,
    /// Kind of work.
    pub kind: KindId,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task needs.
    pub task: TaskSpec,
    /// Required proximity of the tasks to each other.
    pub adjacency: Adjacency,
    /// Declared run time, in milliseconds.
    pub declared_run_ms: u64,
    /// Whether the job may run again after a failure.
    #[serde(default)]
    pub repeat: Repeat,
    /// Whether the job's tasks can be checkpointed and resumed.
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

/// Returns the routes `POST /v1/jobs`, `GET /v1/jobs`, `GET /v1/jobs/{id}` and `DELETE /v1/jobs/{id}`.
pub fn routes<T>(
    jobs: &Jobs<T>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + use<T>
where
    T: Table + Clone,
{
    let all = || warp::path!("v1" / "jobs").and(with_jobs(jobs));
    let one = || warp::path!("v1" / "jobs" / JobId).and(with_jobs(jobs));
    let key = warp::header::optional("idempotency-key");
    let submit = all().and(key).and(limited_body(JOB_BODY_LIMIT_BYTES)).then(submit);
    let list = all().and(warp::get()).then(list);
    let show = one().and(warp::get()).then(show);
    let cancel = one().and(warp::delete()).then(cancel);
    submit.or(list).unify().or(show).unify().or(cancel).unify()
}

fn with_jobs<T>(
    jobs: &Jobs<T>,
) -> impl Filter<Extract = (Jobs<T>,), Error = Infallible> + Clone + use<T>
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

async fn submit<T>(jobs: Jobs<T>, key: Option<String>, body: Result<Body, ApiError>) -> Response
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
        Some("") => {
            return Err(ApiError::new(ErrorCode::BadInput, "header idempotency-key is empty"));
        }
        Some(key) if key.len() > MAX_KEY_BYTES => {
            let message = format!("header idempotency-key exceeds {MAX_KEY_BYTES} bytes");
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
        return Err(ApiError::new(ErrorCode::Unavailable, "this entry has no active bundle yet"));
    };
    intake::check(&spec, &bundle)?;
    let group =
        jobs.groups.send(ChooseGroup { job: spec.clone() }).await.map_err(stopping_error)?;
    let group = group.map_err(|reason| ApiError::new(ErrorCode::BadInput, &reason))?;
    let row = intake::submit(&jobs.writer, &spec, &group, &mut seeded_rng()).await?;
    let deliver = DeliverJob { job: Box::new(row.spec.clone()), group: row.group.clone() };
    if row.state == JobState::Queued && jobs.groups.send(deliver).await.is_err() {
        log::info!(job = row.spec.id.as_str(); "job is stored, but not sent to its leader, because this entry is stopping; the leader's scan finds it");
    }
    log::info!(job = row.spec.id.as_str(), group = row.group.as_str(); "job accepted");
    Ok(row)
}

fn parse(body: &[u8]) -> Result<SubmitJob, ApiError> {
    let malformed =
        |error: serde_json::Error| ApiError::new(ErrorCode::BadInput, &error.to_string());
    serde_json::from_slice(body).map_err(malformed)
}

/// Returns a seeded generator that can be held across an `await`, unlike the generator of the thread.
fn seeded_rng() -> rand_chacha::ChaCha8Rng {
    use rand_chacha::rand_core::SeedableRng;
    rand_chacha::ChaCha8Rng::from_rng(&mut rand::rng())
}

fn stopping_error(_: xtra::Error) -> ApiError {
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
    let row = intake::cancel(&jobs.writer, &id, &mut seeded_rng()).await;
    if row.is_ok() && jobs.groups.send(CancelJobs { jobs: vec![id] }).await.is_err() {
        log::info!(
            "cancellation is stored, but not sent, because this entry is stopping; the leader's scan finds it"
        );
    }
    reply(StatusCode::ACCEPTED, row.map_err(ApiError::from))
}
