//! The route `POST /v1/requests`, which submits requests to the router and returns their answers.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Buf, Bytes};
use futures::Stream;
use serde::Deserialize;
use tokio::sync::{OnceCell, mpsc};
use warp::http::StatusCode;
use warp::reply::{Response, with_header, with_status};
use warp::{Filter, Rejection, Reply};
use xtra::Address;

use super::requests::{
    AnswerPart, CallerGone, Event, OpenInbox, Requests, Submit, answer_part_channel,
};
use crate::api::{ApiError, ErrorCode};
use crate::prelude::*;
use crate::process::InboxSender;
use crate::process::intake::{BodyError, BodyLimits, RequestGuard};
use crate::request::{Refusal, RequestEnd, RequestSpec};
use crate::store::Table;

/// The maximum deadline of a request, in milliseconds: one day.
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1_000;
/// The maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// The response header with the outcome of the request. Before a streamed answer, it is valid only if the body arrives
/// completely.
const OUTCOME_HEADER: &str = "x-teaselhall-outcome";
/// The response header with the ID of the request, by which it is named in logs.
const REQUEST_HEADER: &str = "x-teaselhall-request";

/// State of the route for requests.
#[derive(Debug)]
pub struct RequestRoute<T>
where
    T: Table + Clone,
{
    requests: Address<Requests<T>>,
    inbox: Arc<OnceCell<InboxSender<Event>>>,
    incarnation: Incarnation,
    body_limit_bytes: u64,
    last_request: Arc<AtomicU64>,
}

impl<T> RequestRoute<T>
where
    T: Table + Clone,
{
    /// Creates the route of an entry. An entry may have only one, since the route assigns the numbers of requests.
    pub fn new(
        requests: Address<Requests<T>>,
        incarnation: Incarnation,
        body_limit_bytes: u64,
    ) -> Self {
        let (inbox, last_request) = (Arc::default(), Arc::default());
        Self { requests, inbox, incarnation, body_limit_bytes, last_request }
    }

    async fn inbox(&self) -> Result<InboxSender<Event>, ApiError> {
        let open = || async { self.requests.send(OpenInbox).await.map_err(|_| stopping_error()) };
        self.inbox.get_or_try_init(open).await.cloned()
    }
}

impl<T> Clone for RequestRoute<T>
where
    T: Table + Clone,
{
    fn clone(&self) -> Self {
        Self {
            requests: self.requests.clone(),
            inbox: self.inbox.clone(),
            incarnation: self.incarnation,
            body_limit_bytes: self.body_limit_bytes,
            last_request: self.last_request.clone(),
        }
    }
}

/// Query fields of a request, before they are parsed.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
struct Query {
    organisation: String,
    kind: String,
    deadline_ms: String,
    #[serde(default)]
    repeat: Option<String>,
}

/// Returns the route `POST /v1/requests`.
pub fn routes<T>(
    route: &RequestRoute<T>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + use<T>
where
    T: Table + Clone,
{
    let route = route.clone();
    warp::path!("v1" / "requests")
        .and(warp::post())
        .and(warp::any().map(move || route.clone()))
        .and(raw_query())
        .and(warp::header::optional("idempotency-key"))
        .and(warp::header::optional("content-length"))
        .and(warp::body::stream())
        .and(warp::ext::get::<RequestGuard>())
        .then(handle_call)
}

fn raw_query() -> impl Filter<Extract = (String,), Error = Infallible> + Clone {
    warp::query::raw().or(warp::any().map(String::new)).unify()
}

async fn handle_call<T, S, B>(
    route: RequestRoute<T>,
    query: String,
    key: Option<String>,
    length: Option<u64>,
    body: S,
    guard: RequestGuard,
) -> Response
where
    T: Table + Clone,
    S: Stream<Item = Result<B, warp::Error>> + Send,
    B: Buf,
{
    let spec = match parse(&query, key) {
        Ok(spec) => spec,
        Err(error) => return error.into_response(),
    };
    let deadline = Duration::from_millis(spec.deadline_ms);
    let started = tokio::time::Instant::now();
    let limits = BodyLimits::forwarded(route.body_limit_bytes, deadline);
    // The share of the memory is held until the answer begins.
    let (body, _held) = match guard.read_body(length, body, limits).await {
        Ok(body) => body.into_parts(),
        Err(BodyError::TimedOut { .. }) => {
            return bad_input("the body did not arrive before the deadline").into_response();
        }
        Err(error) => return ApiError::from(error).into_response(),
    };
    let elapsed_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    let deadline_ms = spec.deadline_ms.saturating_sub(elapsed_ms);
    submit(&route, RequestSpec { body, deadline_ms, ..spec }).await
}

fn stopping_error() -> ApiError {
    ApiError::new(ErrorCode::Unavailable, "this entry is stopping")
}

fn bad_input(message: &str) -> ApiError {
    ApiError::new(ErrorCode::BadInput, message)
}

fn parse(query: &str, key: Option<String>) -> Result<RequestSpec, ApiError> {
    let query: Query = parse_query(query)?;
    if key.as_ref().is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
        let message = format!("header idempotency-key must have 1 to {MAX_KEY_BYTES} bytes");
        return Err(bad_input(&message));
    }
    let deadline_ms = match query.deadline_ms.parse() {
        Ok(deadline_ms @ 1..=MAX_DEADLINE_MS) => deadline_ms,
        _ => {
            let message = format!(
                "field deadline_ms must be a number of milliseconds from 1 to {MAX_DEADLINE_MS}, not {:?}",
                query.deadline_ms
            );
            return Err(bad_input(&message));
        }
    };
    let repeat = match query.repeat.as_deref() {
        None | Some("allowed") => Repeat::Allowed,
        Some("never") => Repeat::Never,
        Some(other) => {
            let message = format!("field repeat must be allowed or never, not {other:?}");
            return Err(bad_input(&message));
        }
    };
    Ok(RequestSpec {
        organisation: query.organisation.into(),
        kind: query.kind.into(),
        deadline_ms,
        repeat,
        key,
        body: Vec::new(),
    })
}

/// Decodes a query string with the URL parser. Errors name the missing, unknown or repeated field.
fn parse_query(query: &str) -> Result<Query, ApiError> {
    let url = format!("http://entry/?{query}");
    let url = reqwest::Url::parse(&url).map_err(|error| bad_input(&error.to_string()))?;
    let mut fields = serde_json::Map::new();
    for (name, value) in url.query_pairs() {
        if fields.insert(name.to_string(), value.into()).is_some() {
            return Err(bad_input(&format!("field {name} is given twice")));
        }
    }
    serde_json::from_value(fields.into()).map_err(|error| bad_input(&format!("query: {error}")))
}

async fn submit<T>(route: &RequestRoute<T>, spec: RequestSpec) -> Response
where
    T: Table + Clone,
{
    let inbox = match route.inbox().await {
        Ok(inbox) => inbox,
        Err(error) => return error.into_response(),
    };
    let request = route.last_request.fetch_add(1, Ordering::Relaxed) + 1;
    let (sender, receiver) = answer_part_channel();
    let guard = DisconnectGuard { inbox: inbox.clone(), request, armed: true };
    let submit = Submit { request, spec, parts: sender };
    if inbox.send(Event::Submit(submit)).await.is_err() {
        return stopping_error().into_response();
    }
    let request_id = format!("{}-{request}", route.incarnation);
    with_header(first_part_response(guard, receiver).await, REQUEST_HEADER, request_id)
        .into_response()
}

async fn first_part_response(
    mut guard: DisconnectGuard,
    mut parts: mpsc::Receiver<AnswerPart>,
) -> Response {
    match parts.recv().await {
        Some(AnswerPart::Head { status }) => {
            let answer = warp::reply::stream(body_stream(guard, parts));
            done_response(answer.into_response(), status)
        }
        Some(AnswerPart::End(end)) => {
            guard.armed = false;
            end_response(end)
        }
        Some(AnswerPart::Chunk(_)) | None => {
            unknown_response("this entry dropped the request without an outcome")
        }
    }
}

fn done_response(answer: Response, status: u16) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let answer = with_header(answer, OUTCOME_HEADER, Outcome::Done.to_string());
    with_status(answer, status).into_response()
}

/// Returns the parts of an answer as a stream. If the answer is incomplete, the stream ends with an error, which breaks
/// the caller's connection.
fn body_stream(
    guard: DisconnectGuard,
    parts: mpsc::Receiver<AnswerPart>,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> + Send + Sync + use<> {
    futures::stream::unfold(Some((guard, parts)), |state| async move {
        let (mut guard, mut parts) = state?;
        match parts.recv().await {
            Some(AnswerPart::Chunk(bytes)) => Some((Ok(Bytes::from(bytes)), Some((guard, parts)))),
            Some(AnswerPart::End(RequestEnd::Streamed)) => {
                guard.armed = false;
                None
            }
            end => {
                guard.armed = end.is_none();
                let error = std::io::Error::other("the answer is incomplete");
                Some((Err(error), None))
            }
        }
    })
}

fn end_response(end: RequestEnd) -> Response {
    match end {
        RequestEnd::Whole { status, body } => done_response(body.into_response(), status),
        RequestEnd::Streamed => unknown_response("the answer ended before its head arrived"),
        RequestEnd::Unknown { reason } => unknown_response(&reason),
        RequestEnd::NotRun(refusal) => {
            ApiError::new(error_code(refusal), &refusal.to_string()).into_response()
        }
        RequestEnd::Recorded(outcome) => recorded_error(outcome).into_response(),
    }
}

fn unknown_response(reason: &str) -> Response {
    ApiError::new(ErrorCode::Unknown, reason).into_response()
}

fn recorded_error(outcome: Outcome) -> ApiError {
    let message = format!("an earlier call with this idempotency key ended as {outcome}");
    let code = match outcome {
        Outcome::Done => ErrorCode::Conflict,
        Outcome::NotRun => ErrorCode::Unavailable,
        Outcome::Unknown => ErrorCode::Unknown,
    };
    ApiError { code, message, outcome }
}

fn error_code(refusal: Refusal) -> ErrorCode {
    match refusal {
        Refusal::UnknownOrganisation | Refusal::UnknownKind => ErrorCode::BadInput,
        Refusal::KeyMismatch => ErrorCode::Conflict,
        Refusal::QueueFull => ErrorCode::Overloaded,
        Refusal::NotReady
        | Refusal::TableUnavailable
        | Refusal::DeadlinePassed
        | Refusal::CallerGone
        | Refusal::Attempts(_) => ErrorCode::Unavailable,
    }
}

/// Reports to the router that the caller disconnected, if it is dropped while armed, that is before the request's end.
struct DisconnectGuard {
    inbox: InboxSender<Event>,
    request: u64,
    armed: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        if self.armed {
            let (inbox, request) = (self.inbox.clone(), self.request);
            runtime
                .spawn(async move { inbox.send(Event::CallerGone(CallerGone { request })).await });
        }
    }
}
