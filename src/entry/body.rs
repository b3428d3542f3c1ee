//! Reads the bodies of HTTP calls, with limits on their size and on the time in which they arrive.

use std::time::Duration;

use bytes::Buf;
use futures::{Stream, StreamExt};
use warp::{Filter, Rejection};

use crate::api::{ApiError, ErrorCode};

/// The time in which the body of a call must arrive. Without it, a slow caller could hold a connection forever.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns a filter that accepts `POST` with a body of at most `limit_bytes`.
pub(super) fn limited_body(
    limit_bytes: u64,
) -> impl Filter<Extract = (Result<Vec<u8>, ApiError>,), Error = Rejection> + Clone {
    warp::post()
        .and(warp::header::optional("content-length"))
        .and(warp::body::stream())
        .then(move |length, stream| read_in_time(length, stream, limit_bytes))
}

/// Reads a body of at most `limit_bytes` that must arrive within 10 s.
///
/// # Errors
///
/// [`ApiError`] if the body is too large, does not arrive in time or its stream fails.
pub async fn read_in_time<S, B>(
    length: Option<u64>,
    stream: S,
    limit_bytes: u64,
) -> Result<Vec<u8>, ApiError>
where
    S: Stream<Item = Result<B, warp::Error>> + Send,
    B: Buf,
{
    let timed_out = |_| {
        let message = format!("the body did not arrive within {} s", BODY_TIMEOUT.as_secs());
        ApiError::new(ErrorCode::BadInput, &message)
    };
    tokio::time::timeout(BODY_TIMEOUT, collect(length, stream, limit_bytes))
        .await
        .map_err(timed_out)?
}

/// Reads a body, and refuses it as soon as its announced or received length exceeds the limit, so that a larger body is
/// never held in memory.
pub(super) async fn collect<S, B>(
    length: Option<u64>,
    body: S,
    limit_bytes: u64,
) -> Result<Vec<u8>, ApiError>
where
    S: Stream<Item = Result<B, warp::Error>> + Send,
    B: Buf,
{
    let too_large = || {
        let message = format!("the body exceeds the limit of {limit_bytes} bytes");
        ApiError::new(ErrorCode::TooLarge, &message)
    };
    if length.is_some_and(|length| length > limit_bytes) {
        return Err(too_large());
    }
    let mut collected = Vec::new();
    futures::pin_mut!(body);
    while let Some(part) = body.next().await {
        let mut part = part.map_err(|error| {
            ApiError::new(ErrorCode::BadInput, &format!("the body could not be read: {error}"))
        })?;
        if (collected.len() + part.remaining()) as u64 > limit_bytes {
            return Err(too_large());
        }
        while part.has_remaining() {
            collected.extend_from_slice(part.chunk());
            part.advance(part.chunk().len());
        }
    }
    Ok(collected)
}

#[cfg(test)]
#[path = "body_tests.rs"]
mod tests;
