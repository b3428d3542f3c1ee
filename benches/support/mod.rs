//! What the measurements of the scheduler share.

use teaselhall::scheduler::{Input, Output, ReserveResult, WriteResult};

/// Carries out what a scheduler wants as agents and a table do that never fail. `handle` gives it their answers.
pub fn obey<F>(outputs: Vec<Output>, mut handle: F)
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
