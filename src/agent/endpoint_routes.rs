//! The HTTP routes by which an endpoint announces itself and reports that it is shutting down.

use std::net::IpAddr;

use reqwest::Url;
use serde::{Deserialize, Serialize};
use warp::http::StatusCode;
use warp::reply::{Response, json, with_status};
use warp::{Filter, Rejection, Reply};
use xtra::Address;

use super::endpoint::{Announce, Drain, Endpoint};
use crate::api::{ApiError, ErrorCode};
use crate::prelude::*;
use crate::process::intake::{self, Body, BodyError, BodyLimits};
use crate::wire::EndpointSpec;

/// The maximum size of the body of an announcement.
const BODY_LIMIT_BYTES: u64 = 64 << 10;
/// The maximum number of slots, and of connections, of an endpoint. It is well below the agent's window of attempts.
const MAX_SLOTS: u32 = 1_024;

/// State shared by the routes.
#[derive(Clone, Debug)]
pub struct EndpointRoutes {
    /// The actor of the agent beside the endpoint.
    pub endpoint: Address<Endpoint>,
    /// The endpoint that is configured in the settings.
    pub id: EndpointId,
    /// The incarnation of this agent.
    pub incarnation: Incarnation,
    /// The data centre of this agent.
    pub data_centre: DataCentreId,
}

/// The body of `POST /v1/announce`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnounceBody {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The http URL to which requests are posted, with a loopback address.
    pub url: String,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The maximum number of connections that the endpoint accepts.
    pub connections: u32,
    /// The kinds of requests that the endpoint handles; all kinds if empty.
    #[serde(default)]
    pub kinds: Vec<KindId>,
    /// The name of the endpoint's process. If it is set, a late announcement of a drained process is ignored instead of
    /// ending the drain.
    #[serde(default)]
    pub instance: Option<String>,
}

/// Returns the routes `POST /v1/announce` and `POST /v1/drain`. The latter responds when no request is in flight.
pub fn routes(
    routes: &EndpointRoutes,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + use<> {
    let routes = routes.clone();
    let with_routes = warp::any().map(move || routes.clone());
    let body = intake::body(BodyLimits::decoded(BODY_LIMIT_BYTES));
    let announce = warp::path!("v1" / "announce")
        .and(warp::post())
        .and(with_routes.clone())
        .and(body)
        .then(|routes, body| async move { reply(announce(routes, body).await) });
    let drain = warp::path!("v1" / "drain")
        .and(warp::post())
        .and(with_routes)
        .then(|routes| async move { reply(drain(routes).await) });
    announce.or(drain).unify()
}

fn reply(result: Result<(), ApiError>) -> Response {
    match result {
        Ok(()) => with_status(json(&serde_json::json!({})), StatusCode::OK).into_response(),
        Err(error) => error.into_response(),
    }
}

fn bad_input(message: &str) -> ApiError {
    ApiError::new(ErrorCode::BadInput, message)
}

fn stopping(_: xtra::Error) -> ApiError {
    ApiError::new(ErrorCode::Unavailable, "this agent is stopping")
}

async fn announce(routes: EndpointRoutes, body: Result<Body, BodyError>) -> Result<(), ApiError> {
    let body: AnnounceBody =
        serde_json::from_slice(&body?).map_err(|error| bad_input(&error.to_string()))?;
    let url = validate_announcement(&routes, &body)?;
    let endpoint = EndpointSpec {
        id: body.endpoint,
        incarnation: routes.incarnation,
        data_centre: routes.data_centre,
        slots: body.slots,
        connections: body.connections,
        kinds: body.kinds,
    };
    let announce = Announce { endpoint, url, instance: body.instance };
    let result = routes.endpoint.send(announce).await.map_err(stopping)?;
    result.map_err(|reason| ApiError::new(ErrorCode::Unavailable, &reason))
}

/// Validates an announcement, and returns its URL.
fn validate_announcement(routes: &EndpointRoutes, body: &AnnounceBody) -> Result<Url, ApiError> {
    if body.endpoint != routes.id {
        let message =
            format!("field endpoint must be {:?}, the endpoint of this agent", routes.id.as_str());
        return Err(bad_input(&message));
    }
    for (name, count) in [("slots", body.slots), ("connections", body.connections)] {
        if !(1..=MAX_SLOTS).contains(&count) {
            return Err(bad_input(&format!(
                "field {name} must be from 1 to {MAX_SLOTS}, not {count}"
            )));
        }
    }
    let url = Url::parse(&body.url).map_err(|error| bad_input(&format!("field url: {error}")))?;
    let host = url.host_str().unwrap_or_default().trim_matches(['[', ']']);
    let is_local = host.parse::<IpAddr>().is_ok_and(|address| address.is_loopback());
    if url.scheme() != "http" || !is_local {
        return Err(bad_input("field url must be an http URL with a loopback address"));
    }
    Ok(url)
}

async fn drain(routes: EndpointRoutes) -> Result<(), ApiError> {
    let drained = routes.endpoint.send(Drain).await.map_err(stopping)?;
    let agent_ended = |_| ApiError::new(ErrorCode::Unavailable, "this agent is stopping");
    drained.await.map_err(agent_ended)
}
