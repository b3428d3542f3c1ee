//! Carries out starts and stops until their results are certain.

use std::time::Duration;

use super::{StartAnswer, WorkerError, WorkerPort, WorkerTarget};
use crate::planner::{StartOrder, StartRefusal};
use crate::prelude::*;
use crate::workflow::TaskId;

/// The number of starts without an answer after which the attempt is given up.
const START_ATTEMPTS: u32 = 6;
/// The pause before an order is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(60);
/// The pause between two stops of an attempt.
const STOP_PAUSE: Duration = Duration::from_millis(200);

/// Starts an attempt. A call without an answer is repeated, since a second start of the same attempt has no effect.
///
/// An attempt that is given up is stopped first: only then is it certain that a late call does not start it.
pub async fn start<P>(
    port: &P,
    target: &WorkerTarget,
    order: &StartOrder,
    fence: Epoch,
    deadline_ms: u64,
) -> Result<(), StartRefusal>
where
    P: WorkerPort,
{
    let mut maybe_started = false;
    for _ in 0..START_ATTEMPTS {
        match port.start(target, order, fence, deadline_ms).await {
            StartAnswer::Started => return Ok(()),
            StartAnswer::Refused(refusal) => {
                if maybe_started {
                    stop(port, target, &order.task, order.attempt, fence).await;
                }
                return Err(refusal);
            }
            StartAnswer::Unknown(reason) => {
                log::warn!(
                    job = order.task.job.as_str(), task = order.task.to_string(), run = order.attempt,
                    reason = reason.as_str();
                    "a start has no answer"
                );
                maybe_started = true;
                tokio::time::sleep(REPEAT_PAUSE).await;
            }
        }
    }
    stop(port, target, &order.task, order.attempt, fence).await;
    Err(StartRefusal::Unhealthy)
}

/// Stops an attempt; returns once the worker has confirmed it or its incarnation is over.
pub async fn stop<P>(port: &P, target: &WorkerTarget, task: &TaskId, attempt: u32, fence: Epoch)
where
    P: WorkerPort,
{
    loop {
        match port.stop(target, task, attempt, fence).await {
            Ok(()) => return,
            Err(
                error @ (WorkerError::Gone | WorkerError::OtherIncarnation | WorkerError::Fenced),
            ) => {
                log::info!(
                    job = task.job.as_str(), task = task.to_string(), run = attempt;
                    "a stop is not needed any more: {error}"
                );
                return;
            }
            Err(error @ WorkerError::Unknown(_)) => {
                log::warn!(
                    job = task.job.as_str(), task = task.to_string(), run = attempt;
                    "a stop is repeated: {error}"
                );
                tokio::time::sleep(STOP_PAUSE).await;
            }
        }
    }
}
