//! Carries out starts and stops, and repeats the calls of the worker until their results are definite.

use std::time::Duration;

use super::{StartAnswer, WorkerError, WorkerPort, WorkerTarget};
use crate::planner::{StartOrder, StartRefusal};
use crate::prelude::*;
use crate::workflow::TaskId;

/// The number of calls without an answer after which a start is abandoned.
const MAX_START_CALLS: u32 = 6;
/// The pause before a start without an answer is repeated.
const START_RETRY_PAUSE: Duration = Duration::from_millis(60);
/// The pause before a stop without a definite result is repeated.
const STOP_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Result of the start of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// The attempt exists on the worker.
    Started,
    /// The attempt has never run and will not start.
    Refused(StartRefusal),
    /// The attempt does not run and will not start any more, but it may have run and ended. The worker's next list of
    /// ends tells.
    Stopped,
}

/// Starts an attempt. A call without an answer is repeated, since a second start of the same attempt has no effect.
///
/// After a call without an answer a refusal does not prove that the attempt has not run: the call may have started it, and
/// it may have ended since. The attempt is then stopped, because that call could otherwise still start it later.
pub async fn start<P>(
    port: &P,
    target: &WorkerTarget,
    order: &StartOrder,
    fence: Epoch,
    deadline_ms: u64,
) -> StartResult
where
    P: WorkerPort,
{
    let mut maybe_started = false;
    for _ in 0..MAX_START_CALLS {
        match port.start(target, order, fence, deadline_ms).await {
            StartAnswer::Started => return StartResult::Started,
            // The worker has stopped or ended this attempt or a later one, possibly after an earlier order to start it.
            StartAnswer::Refused(StartRefusal::Superseded) if !maybe_started => {
                return StartResult::Stopped;
            }
            StartAnswer::Refused(refusal) => {
                if !maybe_started {
                    return StartResult::Refused(refusal);
                }
                stop(port, target, &order.task, order.attempt, fence).await;
                return StartResult::Stopped;
            }
            StartAnswer::Unknown(reason) => {
                log::warn!(
                    job = order.task.job.as_str(), task = order.task.to_string(), run = order.attempt,
                    reason = reason.as_str();
                    "start has no answer; repeated after a pause, or stopped after the last call"
                );
                maybe_started = true;
                tokio::time::sleep(START_RETRY_PAUSE).await;
            }
        }
    }
    stop(port, target, &order.task, order.attempt, fence).await;
    StartResult::Stopped
}

/// Stops an attempt. Returns once the worker has confirmed the stop, another incarnation has answered, or it has received
/// a higher fencing token. A refused connection proves none of that.
pub async fn stop<P>(port: &P, target: &WorkerTarget, task: &TaskId, attempt: u32, fence: Epoch)
where
    P: WorkerPort,
{
    loop {
        match port.stop(target, task, attempt, fence).await {
            Ok(()) => return,
            Err(error @ (WorkerError::OtherIncarnation | WorkerError::Fenced)) => {
                log::info!(
                    job = task.job.as_str(), task = task.to_string(), run = attempt;
                    "stop is no longer needed: {error}"
                );
                return;
            }
            Err(error @ (WorkerError::ConnectionRefused | WorkerError::Unknown(_))) => {
                log::warn!(
                    job = task.job.as_str(), task = task.to_string(), run = attempt;
                    "stop has no definite result; repeated after a pause: {error}"
                );
                tokio::time::sleep(STOP_RETRY_PAUSE).await;
            }
        }
    }
}
