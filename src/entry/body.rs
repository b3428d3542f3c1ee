//! Reads the bodies of HTTP calls within the bounds of the process.

use warp::{Filter, Rejection};

use crate::api::{ApiError, ErrorCode};
use crate::process::intake::{self, Body, BodyError, BodyLimits};

/// Returns a filter that accepts `POST` with a body of at most `limit_bytes`.
pub(super) fn limited_body(
    limit_bytes: u64,
) -> impl Filter<Extract = (Result<Body, ApiError>,), Error = Rejection> + Clone {
    let body = intake::body(BodyLimits::decoded(limit_bytes));
    warp::post().and(body).map(|body: Result<Body, BodyError>| body.map_err(ApiError::from))
}

impl From<BodyError> for ApiError {
    fn from(error: BodyError) -> Self {
        let (code, message) = match error {
            BodyError::TooLarge { limit_bytes } => {
                (ErrorCode::TooLarge, format!("the body exceeds the limit of {limit_bytes} bytes"))
            }
            BodyError::TimedOut { timeout } => (
                ErrorCode::BadInput,
                format!("the body did not arrive within {} ms", timeout.as_millis()),
            ),
            BodyError::Shed => {
                (ErrorCode::Unavailable, "too many bodies are in progress".to_owned())
            }
            BodyError::Broken(reason) => {
                (ErrorCode::BadInput, format!("the body could not be read: {reason}"))
            }
        };
        Self::new(code, &message)
    }
}
