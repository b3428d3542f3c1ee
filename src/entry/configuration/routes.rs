//! The routes for bundles, data centres and organisations.

use std::convert::Infallible;
use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;
use warp::http::StatusCode;
use warp::reply::{Response, json, with_status};
use warp::{Filter, Rejection, Reply};

use super::actor::{GetActiveBundle, GetStatuses};
use super::change::{change_bundle, change_data_centre};
use super::poll::{read_body, read_bundle_row};
use super::{Handle, Shared};
use crate::api::{
    ApiError, BundleActionRequest, BundleChanged, BundleStatus, DataCentreStateRequest, ErrorCode,
    OrganisationStatus,
};
use crate::bundle::{Action, SignedBundle, VerifiedBundle, body_key};
use crate::entry::body::limited_body;
use crate::permit::{DataCentreStateChanged, DataCentreStatus};
use crate::prelude::*;
use crate::process::intake::Body;
use crate::store::{ObjectStore, Table};
use crate::wire::DataCentreState;

/// The maximum size of a bundle's body, in bytes. At the design size a bundle has about 7,200 racks of 50 bytes each.
const BUNDLE_LIMIT_BYTES: u64 = 4 << 20;
/// The maximum size of the body of an action on a bundle or data centre, in bytes.
const ACTION_LIMIT_BYTES: u64 = 4 << 10;
/// The maximum length of an operator's name, in characters.
const MAX_OPERATOR_CHARS: usize = 64;

type Result<V> = std::result::Result<V, ApiError>;

/// Returns the routes for bundles, data centres and organisations.
pub fn routes<T, O>(
    handle: &Handle<T, O>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + use<T, O>
where
    T: Table,
    O: ObjectStore,
{
    let shared = handle.shared.clone();
    bundle_routes(&shared)
        .or(data_centre_routes(&shared))
        .unify()
        .or(organisation_routes(&shared))
        .unify()
}

fn bundle_routes<T, O>(
    shared: &Arc<Shared<T, O>>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + use<T, O>
where
    T: Table,
    O: ObjectStore,
{
    let propose = warp::path!("v1" / "bundles" / "propose")
        .and(with_shared(shared))
        .and(limited_body(BUNDLE_LIMIT_BYTES))
        .then(propose);
    let approve = warp::path!("v1" / "bundles" / "approve")
        .and(with_shared(shared))
        .and(limited_body(ACTION_LIMIT_BYTES))
        .then(approve);
    let roll_out = warp::path!("v1" / "bundles" / "rollout")
        .and(with_shared(shared))
        .and(limited_body(ACTION_LIMIT_BYTES))
        .then(roll_out);
    let current = warp::path!("v1" / "bundles" / "current")
        .and(warp::get())
        .and(with_shared(shared))
        .then(current);
    let proposed = warp::path!("v1" / "bundles" / "proposed")
        .and(warp::get())
        .and(with_shared(shared))
        .then(proposed);
    propose.or(approve).unify().or(roll_out).unify().or(current).unify().or(proposed).unify()
}

fn data_centre_routes<T, O>(
    shared: &Arc<Shared<T, O>>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + use<T, O>
where
    T: Table,
    O: ObjectStore,
{
    let out = warp::path!("v1" / "datacentres" / DataCentreId / "out")
        .and(with_shared(shared))
        .and(limited_body(ACTION_LIMIT_BYTES))
        .then(async |id, shared, body| {
            reply(change_state(shared, id, DataCentreState::Out, body).await)
        });
    let back = warp::path!("v1" / "datacentres" / DataCentreId / "in")
        .and(with_shared(shared))
        .and(limited_body(ACTION_LIMIT_BYTES))
        .then(async |id, shared, body| {
            reply(change_state(shared, id, DataCentreState::In, body).await)
        });
    let list = warp::path!("v1" / "datacentres")
        .and(warp::get())
        .and(with_shared(shared))
        .then(data_centres);
    out.or(back).unify().or(list).unify()
}

fn organisation_routes<T, O>(
    shared: &Arc<Shared<T, O>>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + use<T, O>
where
    T: Table,
    O: ObjectStore,
{
    let list = warp::path!("v1" / "organisations")
        .and(warp::get())
        .and(with_shared(shared))
        .then(organisations);
    let show = warp::path!("v1" / "organisations" / OrganisationId)
        .and(warp::get())
        .and(with_shared(shared))
        .then(organisation);
    list.or(show).unify()
}

fn with_shared<T, O>(
    shared: &Arc<Shared<T, O>>,
) -> impl Filter<Extract = (Arc<Shared<T, O>>,), Error = Infallible> + Clone + use<T, O>
where
    T: Table,
    O: ObjectStore,
{
    let shared = shared.clone();
    warp::any().map(move || shared.clone())
}

fn parse<V>(body: Result<Body>) -> Result<V>
where
    V: DeserializeOwned,
{
    let malformed =
        |error: serde_json::Error| ApiError::new(ErrorCode::BadInput, &error.to_string());
    serde_json::from_slice(&body?).map_err(malformed)
}

fn reply<V>(result: Result<V>) -> Response
where
    V: Serialize,
{
    match result {
        Ok(value) => with_status(json(&value), StatusCode::OK).into_response(),
        Err(error) => error.into_response(),
    }
}

async fn propose<T, O>(shared: Arc<Shared<T, O>>, body: Result<Body>) -> Response
where
    T: Table,
    O: ObjectStore,
{
    reply(match parse::<SignedBundle>(body) {
        Ok(signed) => change(shared, Action::Propose { signed: Box::new(signed) }).await,
        Err(error) => Err(error),
    })
}

async fn approve<T, O>(shared: Arc<Shared<T, O>>, body: Result<Body>) -> Response
where
    T: Table,
    O: ObjectStore,
{
    reply(match parse::<BundleActionRequest>(body) {
        Ok(request) => change(shared, Action::Approve(request.into())).await,
        Err(error) => Err(error),
    })
}

async fn roll_out<T, O>(shared: Arc<Shared<T, O>>, body: Result<Body>) -> Response
where
    T: Table,
    O: ObjectStore,
{
    reply(match parse::<BundleActionRequest>(body) {
        Ok(request) => change(shared, Action::RollOut(request.into())).await,
        Err(error) => Err(error),
    })
}

async fn change<T, O>(shared: Arc<Shared<T, O>>, action: Action) -> Result<BundleChanged>
where
    T: Table,
    O: ObjectStore,
{
    Ok(change_bundle(shared, action).await?.into())
}

async fn current<T, O>(shared: Arc<Shared<T, O>>) -> Response
where
    T: Table,
    O: ObjectStore,
{
    reply(active_bundle(&shared).await.map(|bundle| BundleStatus {
        version: bundle.version(),
        digest: bundle.digest(),
        signed: bundle.signed().clone(),
    }))
}

async fn active_bundle<T, O>(shared: &Shared<T, O>) -> Result<Arc<VerifiedBundle>> {
    let bundle = shared.actor.send(GetActiveBundle).await.map_err(stopping_error)?;
    bundle.ok_or_else(|| ApiError::new(ErrorCode::NotFound, "this entry has no active bundle"))
}

fn stopping_error(_: xtra::Error) -> ApiError {
    ApiError::new(ErrorCode::Unavailable, "this entry is stopping")
}

async fn proposed<T, O>(shared: Arc<Shared<T, O>>) -> Response
where
    T: Table,
    O: ObjectStore,
{
    reply(find_proposal(&shared).await)
}

async fn find_proposal<T, O>(shared: &Shared<T, O>) -> Result<BundleStatus>
where
    T: Table,
    O: ObjectStore,
{
    let unavailable = |reason: String| ApiError::new(ErrorCode::Unavailable, &reason);
    let missing = |what: &str| ApiError::new(ErrorCode::NotFound, what);
    let (_, row) = read_bundle_row(shared).await.map_err(unavailable)?;
    let Some(proposal) = &row.proposed else { return Err(missing("no bundle is proposed")) };
    let key = body_key(proposal.version, &proposal.digest);
    let body = read_body(&shared.objects, &key).await.map_err(unavailable)?;
    let status = body.and_then(|body| BundleStatus::of_proposal(&row, body));
    status.ok_or_else(|| {
        missing("the body of the proposed bundle does not exist; propose the bundle again")
    })
}

async fn change_state<T, O>(
    shared: Arc<Shared<T, O>>,
    id: DataCentreId,
    state: DataCentreState,
    body: Result<Body>,
) -> Result<DataCentreStateChanged>
where
    T: Table,
    O: ObjectStore,
{
    let request: DataCentreStateRequest = parse(body)?;
    let length = request.operator.chars().count();
    if length == 0 || length > MAX_OPERATOR_CHARS {
        let message = format!("field operator must have 1 to {MAX_OPERATOR_CHARS} characters");
        return Err(ApiError::new(ErrorCode::BadInput, &message));
    }
    let bundle = active_bundle(&shared).await?;
    if !bundle.bundle().data_centres.iter().any(|data_centre| data_centre.id == id) {
        let message = format!("data centre {id} is not in the active bundle");
        return Err(ApiError::new(ErrorCode::NotFound, &message));
    }
    Ok(change_data_centre(shared, id, state, request.operator).await?)
}

async fn data_centres<T, O>(shared: Arc<Shared<T, O>>) -> Response
where
    T: Table,
    O: ObjectStore,
{
    let statuses: Result<Vec<DataCentreStatus>> =
        shared.actor.send(GetStatuses).await.map_err(stopping_error);
    reply(statuses)
}

async fn organisations<T, O>(shared: Arc<Shared<T, O>>) -> Response
where
    T: Table,
    O: ObjectStore,
{
    reply(active_bundle(&shared).await.map(|bundle| all_organisations(&bundle)))
}

fn all_organisations(bundle: &VerifiedBundle) -> Vec<OrganisationStatus> {
    let organisations = bundle.bundle().organisations.iter();
    organisations.map(|o| OrganisationStatus::new(o, bundle.version())).collect()
}

async fn organisation<T, O>(id: OrganisationId, shared: Arc<Shared<T, O>>) -> Response
where
    T: Table,
    O: ObjectStore,
{
    reply(active_bundle(&shared).await.and_then(|bundle| {
        let found = all_organisations(&bundle).into_iter().find(|o| o.organisation.id == id);
        found.ok_or_else(|| {
            let message = format!("organisation {id} is not in the active bundle");
            ApiError::new(ErrorCode::NotFound, &message)
        })
    }))
}
