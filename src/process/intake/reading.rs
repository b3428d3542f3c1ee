//! Reads request bodies within the bounds of the process.

use std::sync::Arc;
use std::time::Duration;

use bytes::Buf;
use derive_more::Deref;
use futures::{Stream, StreamExt};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use warp::{Filter, Rejection};

use super::{ByteClaim, Intake, Reason, RequestGuard};

/// Time in which a body must arrive unless its request states another.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a complete body waits for the memory to handle it; clients wait for 3 s.
const HANDLING_TIMEOUT: Duration = Duration::from_secs(2);
/// Step in which the memory of a body grows. Doubling would hold up to twice the bytes that arrived.
const GROWTH_BYTES: usize = 32 * 1_024;
/// Memory that handling a request takes whose body is decoded, relative to the body: the text, the decoded job, its row
/// and the call that stores it.
const DECODED_FACTOR: usize = 4;
/// Memory that handling a request takes whose body is passed on, relative to the body: the body, and its frame.
const FORWARDED_FACTOR: usize = 2;

/// Limits of the body of a request.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    size_bytes: u64,
    timeout: Duration,
    handling_factor: usize,
}

impl BodyLimits {
    /// Returns the limits of a body of at most `size_bytes` that is decoded. It must arrive within 10 s.
    pub fn decoded(size_bytes: u64) -> Self {
        Self { size_bytes, timeout: BODY_TIMEOUT, handling_factor: DECODED_FACTOR }
    }

    /// Returns the limits of a body of at most `size_bytes` that is passed on as it is. It must arrive within `timeout`.
    pub fn forwarded(size_bytes: u64, timeout: Duration) -> Self {
        Self { size_bytes, timeout, handling_factor: FORWARDED_FACTOR }
    }
}

/// Reason for which a body was not received; the request was not acted on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds the limit for one body.
    TooLarge {
        /// The limit in bytes.
        limit_bytes: u64,
    },
    /// The body did not arrive in time.
    TimedOut {
        /// The time in which it had to arrive.
        timeout: Duration,
    },
    /// The body was given up because too many are in progress.
    Shed,
    /// The body could not be read.
    Broken(String),
}

/// Complete body. Its share of the memory for requests in progress is held until this value is dropped.
#[derive(Debug, Deref)]
pub struct Body {
    #[deref]
    bytes: Vec<u8>,
    handling: Option<OwnedSemaphorePermit>,
}

impl Body {
    /// Separates the content from the share of the memory, which the caller holds until the content is released.
    pub fn into_parts(self) -> (Vec<u8>, Option<OwnedSemaphorePermit>) {
        (self.bytes, self.handling)
    }
}

/// Returns a filter that reads the body of a request within the bounds of the process that accepted its connection.
/// Requests are rejected with status 500 unless [`Intake::serve`] accepted the connection.
pub fn body(
    limits: BodyLimits,
) -> impl Filter<Extract = (Result<Body, BodyError>,), Error = Rejection> + Clone {
    warp::header::optional("content-length")
        .and(warp::body::stream())
        .and(warp::ext::get::<RequestGuard>())
        .then(move |length, stream, guard: RequestGuard| async move {
            guard.read_body(length, stream, limits).await
        })
}

impl Intake {
    /// Reads a body, and waits for the memory to handle it.
    ///
    /// # Errors
    ///
    /// [`BodyError`]; the reason is counted.
    pub async fn read_body<S, B>(
        &self,
        length: Option<u64>,
        stream: S,
        limits: BodyLimits,
        guard: Option<&RequestGuard>,
    ) -> Result<Body, BodyError>
    where
        S: Stream<Item = Result<B, warp::Error>> + Send,
        B: Buf,
    {
        let read = self.read_and_admit(length, stream, limits, guard);
        let result = read.await;
        match &result {
            Err(BodyError::TooLarge { .. }) => self.report.record(Reason::BodyTooLarge),
            Err(BodyError::TimedOut { .. }) => self.report.record(Reason::BodyTimeout),
            Err(BodyError::Shed) => self.report.record(Reason::BodyBytes),
            Err(BodyError::Broken(_)) | Ok(_) => {}
        }
        result
    }

    async fn read_and_admit<S, B>(
        &self,
        length: Option<u64>,
        stream: S,
        limits: BodyLimits,
        guard: Option<&RequestGuard>,
    ) -> Result<Body, BodyError>
    where
        S: Stream<Item = Result<B, warp::Error>> + Send,
        B: Buf,
    {
        let BodyLimits { size_bytes, timeout, .. } = limits;
        if length.is_some_and(|length| length > size_bytes) {
            return Err(BodyError::TooLarge { limit_bytes: size_bytes });
        }
        let claim = self.bodies.claim();
        let bytes = {
            let collected = collect(&claim, stream, size_bytes);
            tokio::select! {
                biased;
                collected = collected => collected?,
                () = claim.given_up() => return Err(BodyError::Shed),
                () = tokio::time::sleep(timeout) => return Err(BodyError::TimedOut { timeout }),
            }
        };
        let handling =
            self.admit(&claim, bytes.len().saturating_mul(limits.handling_factor)).await?;
        if let Some(guard) = guard {
            guard.begin_handling();
        }
        Ok(Body { bytes, handling })
    }

    /// Waits for the memory to handle a complete body. The body counts as in progress meanwhile, and may be given up.
    async fn admit(
        &self,
        claim: &ByteClaim,
        handling_bytes: usize,
    ) -> Result<Option<OwnedSemaphorePermit>, BodyError> {
        let wanted_kib = handling_bytes / 1_024;
        if wanted_kib == 0 {
            return Ok(None);
        }
        let permits = wanted_kib.min(self.limits.handling_kib());
        let permits = u32::try_from(permits).unwrap_or(u32::MAX);
        let handling: Arc<Semaphore> = self.handling_kib.clone();
        tokio::select! {
            biased;
            permit = handling.acquire_many_owned(permits) => Ok(permit.ok()),
            () = claim.given_up() => Err(BodyError::Shed),
            () = tokio::time::sleep(HANDLING_TIMEOUT) => Err(BodyError::Shed),
        }
    }
}

async fn collect<S, B>(claim: &ByteClaim, stream: S, limit_bytes: u64) -> Result<Vec<u8>, BodyError>
where
    S: Stream<Item = Result<B, warp::Error>> + Send,
    B: Buf,
{
    let mut collected = Vec::new();
    futures::pin_mut!(stream);
    while let Some(part) = stream.next().await {
        let mut part = part.map_err(|error| BodyError::Broken(error.to_string()))?;
        let received_bytes = collected.len() + part.remaining();
        if received_bytes as u64 > limit_bytes {
            return Err(BodyError::TooLarge { limit_bytes });
        }
        if received_bytes > collected.capacity() {
            let wanted_bytes = received_bytes.next_multiple_of(GROWTH_BYTES);
            let extra_bytes = wanted_bytes - collected.capacity();
            claim.reserve(extra_bytes).await.map_err(|_| BodyError::Shed)?;
            collected.reserve_exact(wanted_bytes - collected.len());
        }
        while part.has_remaining() {
            collected.extend_from_slice(part.chunk());
            part.advance(part.chunk().len());
        }
        claim.record_received(collected.len());
    }
    Ok(collected)
}
