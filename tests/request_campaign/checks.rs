//! Compares what callers were told with what the endpoints recorded.

use teaselhall::prelude::*;
use teaselhall::request::RequestEnd;

use crate::world::{Call, World, answer_is_whole};

type Check = Result<(), String>;

pub fn check(world: &World) -> Check {
    for (number, call) in world.calls.iter().enumerate() {
        check_call(world, call).map_err(|fault| format!("call {number}: {fault}: {call:?}"))?;
    }
    if let Some(fault) = world.faults.first() {
        return Err(fault.clone());
    }
    for entry in &world.entries {
        let summary = entry.router.summary();
        let empty = summary.attempts == 0 && summary.waiting.values().all(|count| *count == 0);
        if !empty || !summary.running.is_empty() {
            return Err(format!("router keeps something of ended requests: {summary:?}"));
        }
    }
    Ok(())
}

fn check_call(world: &World, call: &Call) -> Check {
    check_runs(world, call)?;
    match call.ends.as_slice() {
        [] if call.submitted && !call.entry_crashed && !call.gone => Err("no outcome".to_owned()),
        [] => Ok(()),
        [end] => check_end(world, call, end),
        _ => Err("more than one outcome".to_owned()),
    }
}

/// All calls with one token are one request if they have a key; otherwise each token has one call.
fn check_runs(world: &World, call: &Call) -> Check {
    let runs: Vec<_> = world.runs.iter().filter(|run| run.token == call.token).collect();
    if call.repeat == Repeat::Never && runs.len() > 1 {
        return Err(format!("ran {} times: {runs:?}", runs.len()));
    }
    let first = runs.first().map(|run| (run.attempt.incarnation, run.attempt.request));
    if runs.iter().any(|run| Some((run.attempt.incarnation, run.attempt.request)) != first) {
        return Err(format!("two calls with one key ran: {runs:?}"));
    }
    Ok(())
}

fn check_end(world: &World, call: &Call, end: &RequestEnd) -> Check {
    let token_runs = || world.runs.iter().filter(|run| run.token == call.token);
    let mut own_runs = token_runs().filter(|run| {
        (run.attempt.incarnation, run.attempt.request) == (call.incarnation, call.request)
    });
    let true_end = match end {
        RequestEnd::Whole { status, body } => {
            *status == 200
                && call.streamed.is_none()
                && answer_is_whole(call.token, body)
                && own_runs.any(|run| run.answered)
        }
        RequestEnd::Streamed => {
            let body = call.streamed.as_deref().unwrap_or_default();
            answer_is_whole(call.token, body) && own_runs.any(|run| run.answered)
        }
        RequestEnd::NotRun(_) => own_runs.next().is_none() && call.streamed.is_none(),
        RequestEnd::Recorded(Outcome::Done) => token_runs().any(|run| run.answered),
        RequestEnd::Recorded(Outcome::NotRun) => token_runs().next().is_none(),
        RequestEnd::Recorded(Outcome::Unknown) | RequestEnd::Unknown { .. } => true,
    };
    if true_end { Ok(()) } else { Err(format!("outcome {:?} is not true", end.outcome())) }
}
