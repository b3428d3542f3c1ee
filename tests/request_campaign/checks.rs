//! Compares the outcomes that callers received with the executions that endpoints recorded.

use teaselhall::prelude::*;
use teaselhall::request::RequestEnd;

use crate::world::{Call, World, answer_is_complete};

type Check = Result<(), String>;

pub fn check(world: &World) -> Check {
    for (number, call) in world.calls.iter().enumerate() {
        check_call(world, call)
            .map_err(|violation| format!("call {number}: {violation}: {call:?}"))?;
    }
    if let Some(violation) = world.violations.first() {
        return Err(violation.clone());
    }
    for entry in &world.entries {
        let summary = entry.router.summary();
        let empty = summary.attempts == 0 && summary.waiting.values().all(|count| *count == 0);
        if !empty || !summary.running.is_empty() {
            return Err(format!("router keeps state of ended requests: {summary:?}"));
        }
    }
    Ok(())
}

fn check_call(world: &World, call: &Call) -> Check {
    check_executions(world, call)?;
    match call.ends.as_slice() {
        [] if call.submitted && !call.entry_crashed && !call.gone => Err("no outcome".to_owned()),
        [] => Ok(()),
        [end] => check_end(world, call, end),
        _ => Err("more than one outcome".to_owned()),
    }
}

/// Checks that a request without repetition ran at most once, and that at most one of several calls with one key ran.
///
/// Calls share a token only if they share an idempotency key.
fn check_executions(world: &World, call: &Call) -> Check {
    let executions: Vec<_> =
        world.executions.iter().filter(|execution| execution.token == call.token).collect();
    if call.repeat == Repeat::Never && executions.len() > 1 {
        return Err(format!("ran {} times: {executions:?}", executions.len()));
    }
    let first = executions
        .first()
        .map(|execution| (execution.attempt.incarnation, execution.attempt.request));
    if executions
        .iter()
        .any(|execution| Some((execution.attempt.incarnation, execution.attempt.request)) != first)
    {
        return Err(format!("two calls with one key ran: {executions:?}"));
    }
    Ok(())
}

fn check_end(world: &World, call: &Call, end: &RequestEnd) -> Check {
    let token_executions =
        || world.executions.iter().filter(|execution| execution.token == call.token);
    let mut request_executions = token_executions().filter(|execution| {
        (execution.attempt.incarnation, execution.attempt.request)
            == (call.incarnation, call.request)
    });
    let is_consistent = match end {
        RequestEnd::Whole { status, body } => {
            *status == 200
                && call.streamed.is_none()
                && answer_is_complete(call.token, body)
                && request_executions.any(|execution| execution.answered)
        }
        RequestEnd::Streamed => {
            let body = call.streamed.as_deref().unwrap_or_default();
            answer_is_complete(call.token, body)
                && request_executions.any(|execution| execution.answered)
        }
        RequestEnd::NotRun(_) => request_executions.next().is_none() && call.streamed.is_none(),
        RequestEnd::Recorded(Outcome::Done) => {
            token_executions().any(|execution| execution.answered)
        }
        RequestEnd::Recorded(Outcome::NotRun) => token_executions().next().is_none(),
        RequestEnd::Recorded(Outcome::Unknown) | RequestEnd::Unknown { .. } => true,
    };
    if is_consistent {
        Ok(())
    } else {
        Err(format!("outcome {:?} contradicts the recorded executions", end.outcome()))
    }
}
