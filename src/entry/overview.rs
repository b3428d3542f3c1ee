//! The routes that list the endpoints and groups connected to this entry, and drain endpoints.

use serde_json::json;
use warp::reply::{Response, json as json_reply};
use warp::{Filter, Rejection, Reply};
use xtra::Address;

use super::groups::{Groups, Summaries};
use super::requests::{DrainEndpoint, ListEndpoints, Requests};
use crate::api::{ApiError, ErrorCode};
use crate::prelude::*;
use crate::store::Table;

/// Returns the routes `GET /v1/endpoints`, `POST /v1/endpoints/{id}/drain` and `GET /v1/groups`.
pub fn routes<T>(
    groups: &Address<Groups>,
    requests: &Address<Requests<T>>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + use<T>
where
    T: Table + Clone,
{
    let groups = groups.clone();
    let with_groups = warp::any().map(move || groups.clone());
    let requests = requests.clone();
    let with_requests = warp::any().map(move || requests.clone());
    let list = warp::path!("v1" / "endpoints").and(warp::get()).and(with_requests.clone());
    let list = list.then(list_endpoints);
    let drain = warp::path!("v1" / "endpoints" / EndpointId / "drain").and(warp::post());
    let drain = drain.and(with_requests).then(drain_endpoint);
    let groups = warp::path!("v1" / "groups").and(warp::get()).and(with_groups).then(list_groups);
    list.or(drain).unify().or(groups).unify()
}

fn stopping_response() -> Response {
    ApiError::new(ErrorCode::Unavailable, "this entry is stopping").into_response()
}

async fn list_endpoints<T>(requests: Address<Requests<T>>) -> Response
where
    T: Table + Clone,
{
    match requests.send(ListEndpoints).await {
        Ok(endpoints) => json_reply(&endpoints).into_response(),
        Err(_) => stopping_response(),
    }
}

async fn drain_endpoint<T>(endpoint: EndpointId, requests: Address<Requests<T>>) -> Response
where
    T: Table + Clone,
{
    match requests.send(DrainEndpoint { endpoint: endpoint.clone() }).await {
        Ok(true) => json_reply(&json!({"endpoint": endpoint, "draining": true})).into_response(),
        Ok(false) => {
            let message = format!("endpoint {endpoint} is not connected to this entry");
            ApiError::new(ErrorCode::NotFound, &message).into_response()
        }
        Err(_) => stopping_response(),
    }
}

async fn list_groups(groups: Address<Groups>) -> Response {
    match groups.send(Summaries).await {
        Ok(summaries) => json_reply(&summaries).into_response(),
        Err(_) => stopping_response(),
    }
}
