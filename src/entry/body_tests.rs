//! Guards against callers that fill the memory of an entry with a large body, or hold a connection with a slow one.

use std::time::Duration;

use bytes::Bytes;
use futures::stream;

use super::{BODY_TIMEOUT, read_in_time};
use crate::api::ErrorCode;

const LIMIT_BYTES: u64 = 8;

fn parts(count: usize) -> Vec<Result<Bytes, warp::Error>> {
    (0..count).map(|_| Ok(Bytes::from_static(b"1234"))).collect()
}

#[tokio::test(start_paused = true)]
async fn body_over_the_limit_is_refused_with_and_without_content_length() {
    let announced = read_in_time(Some(9), stream::iter(parts(1)), LIMIT_BYTES).await;
    let unannounced = read_in_time(None, stream::iter(parts(3)), LIMIT_BYTES).await;
    let allowed = read_in_time(None, stream::iter(parts(2)), LIMIT_BYTES).await;

    assert_eq!(announced.map_err(|error| error.code), Err(ErrorCode::TooLarge));
    assert_eq!(unannounced.map_err(|error| error.code), Err(ErrorCode::TooLarge));
    assert_eq!(allowed.map(|body| body.len()), Ok(8));
}

#[tokio::test(start_paused = true)]
async fn body_that_never_ends_is_refused_after_the_timeout() {
    let endless = stream::unfold((), |()| async {
        tokio::time::sleep(Duration::from_secs(3)).await;
        Some((Ok::<_, warp::Error>(Bytes::new()), ()))
    });
    let start = tokio::time::Instant::now();

    let result = read_in_time(None, endless, LIMIT_BYTES).await;

    assert_eq!(result.map_err(|error| error.code), Err(ErrorCode::BadInput));
    assert_eq!(start.elapsed(), BODY_TIMEOUT);
}
