//! The routes by which an endpoint announces itself and leaves.

use std::net::IpAddr;

use bytes::Bytes;
use reqwest::Url;
use serde::{Deserialize, Serialize};
use warp::http::StatusCode;
use warp::reply::{Response, json, with_status};
use warp::{Filter, Rejection, Reply};
use xtra::Address;

use super::endpoint::{Announce, Drain, Endpoint};
use crate::api::{ApiError, ErrorCode};
use crate::prelude::*;
use crate::wire::EndpointSpec;

/// The greatest body of an announcement.
const BODY_LIMIT_BYTES: u64 = 64 << 10;
/// The most slots and connections of an endpoint, well below the agent's window of attempts.
const MAX_SLOTS: u32 = 1_024;

/// What the routes need.
#[derive(Clone, Debug)]
pub struct EndpointRoutes {
    /// The actor.
    pub endpoint: Address<Endpoint>,
    /// The endpoint that the settings name.
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
    /// Where it takes requests; on this machine.
    pub url: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// The kinds of work that it answers; any kind if empty.
    #[serde(default)]
    pub kinds: Vec<KindId>,
    /// The name of the endpoint's process. With it, a late announcement cannot undo a drain.
    #[serde(default)]
    pub instance: Option<String>,
}

/// Serves `POST /v1/announce` and `POST /v1/drain`. The latter answers when no request is in flight.
pub fn routes(
    routes: &EndpointRoutes,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + use<> {
    let routes = routes.clone();
    let with = warp::any().map(move || routes.clone());
    let body = warp::body::content_length_limit(BODY_LIMIT_BYTES).and(warp::body::bytes());
    let announce = warp::path!("v1" / "announce")
        .and(warp::post())
        .and(with.clone())
        .and(body)
        .then(|routes, body| async move { reply(announce(routes, body).await) });
    let drain = warp::path!("v1" / "drain")
        .and(warp::post())
        .and(with)
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

async fn announce(routes: EndpointRoutes, body: Bytes) -> Result<(), ApiError> {
    let body: AnnounceBody =
        serde_json::from_slice(&body).map_err(|error| bad_input(&error.to_string()))?;
    let url = check(&routes, &body)?;
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

fn check(routes: &EndpointRoutes, body: &AnnounceBody) -> Result<Url, ApiError> {
    if body.endpoint != routes.id {
        let message =
            format!("field endpoint must be {:?}, the endpoint of this agent", routes.id.as_str());
        return Err(bad_input(&message));
    }
    for (name, count) in [("slots", body.slots), ("connections", body.connections)] {
        if !(1..=MAX_SLOTS).contains(&count) {
            return Err(bad_input(&format!("field {name} must be from 1 to {MAX_SLOTS}")));
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
    let ended = |_| ApiError::new(ErrorCode::Unavailable, "this agent is stopping");
    drained.await.map_err(ended)
}
