//! Code that the measurements of the scheduler share.

use teaselhall::scheduler::{Input, Output, ReserveResult, WriteResult};

/// Answers the outputs of a scheduler as agents and a table without failures would, until none is pending. `handle`
/// passes an answer to the scheduler and returns its further outputs.
pub fn answer_outputs<F>(outputs: Vec<Output>, mut handle: F)
where
    F: FnMut(&Input) -> Vec<Output>,
{
    let mut pending = outputs;
    while let Some(output) = pending.pop() {
        let answer = match output {
            Output::Reserve { gang, share, .. } => {
                Input::Reserved { gang, worker: share.worker, result: ReserveResult::Held }
            }
            Output::WriteIntent { gang } => {
                Input::IntentWritten { gang, result: WriteResult::Durable }
            }
            Output::Start { gang, worker, .. } => Input::Started { gang, worker },
            _ => continue,
        };
        pending.extend(handle(&answer));
    }
}
