//! Tests of the agent beside an endpoint.

use test_case::test_case;

use super::*;
use crate::prelude::*;
use crate::request::ConnectionId;
use crate::wire::{
    AgentMessage, AttemptRequest, DataCentreState, EndpointSpec, EntryMessage, NotRunReason,
};

const ENTRY: ConnectionId = ConnectionId(1);

fn endpoint() -> EndpointSpec {
    EndpointSpec {
        id: "one".into(),
        incarnation: Incarnation(9),
        data_centre: "one".into(),
        slots: 2,
        connections: 64,
        kinds: Vec::new(),
    }
}

fn announced(instance: Option<&str>) -> AgentInput {
    AgentInput::Announced { endpoint: endpoint(), instance: instance.map(str::to_owned) }
}

fn agent() -> EndpointAgent {
    let mut agent = EndpointAgent::new();
    agent.handle(0, announced(Some("first")));
    agent.handle(0, AgentInput::Connected { connection: ENTRY, entry: Incarnation(5) });
    agent
}

fn id(request: u64) -> AttemptId {
    AttemptId { incarnation: Incarnation(5), request, number: 1 }
}

/// An attempt whose sequence number is that of its request.
fn attempt(request: u64) -> AgentInput {
    received(EntryMessage::Attempt(AttemptRequest {
        attempt: id(request),
        sequence: request,
        organisation: "firm".into(),
        kind: "check".into(),
        remaining_ms: 1_000,
        body: Vec::new(),
    }))
}

fn cancel(request: u64) -> AgentInput {
    received(EntryMessage::Cancel { attempt: id(request), sequence: request })
}

fn received(message: EntryMessage) -> AgentInput {
    AgentInput::Received { connection: ENTRY, message }
}

fn starts(outputs: &[AgentOutput]) -> bool {
    outputs.iter().any(|output| matches!(output, AgentOutput::Forward(_)))
}

fn says(outputs: &[AgentOutput], expected: &AgentMessage) -> bool {
    let is_it = |output: &AgentOutput| matches!(output, AgentOutput::Send { message, .. } if message == expected);
    outputs.iter().any(is_it)
}

fn refused(outputs: &[AgentOutput], request: u64, reason: NotRunReason) -> bool {
    !starts(outputs) && says(outputs, &AgentMessage::NotRun { attempt: id(request), reason })
}

/// Guards P5: an attempt that arrives after its cancellation never starts, however late.
#[test]
fn tombstone_outlives_late_copies() {
    let mut agent = agent();

    let cancelled = agent.handle(0, cancel(1));
    let at_once = agent.handle(0, attempt(1));
    (2..10_000).for_each(|request| {
        agent.handle(0, attempt(request));
        agent.handle(0, AgentInput::End { attempt: id(request) });
    });
    let late = agent.handle(1 << 40, attempt(1));

    assert!(says(&cancelled, &AgentMessage::Tombstoned { attempt: id(1) }));
    assert!(!starts(&at_once));
    assert!(!starts(&late));
}

/// Guards P6: a copy of an attempt that runs, ran or was refused never starts and gets no answer.
#[test]
fn copies_do_nothing() {
    let mut agent = agent();
    assert!(starts(&agent.handle(0, attempt(1))));
    assert!(starts(&agent.handle(0, attempt(2))));
    assert!(refused(&agent.handle(0, attempt(3)), 3, NotRunReason::Full));

    let while_running = agent.handle(0, attempt(1));
    agent.handle(0, AgentInput::End { attempt: id(1) });
    agent.handle(0, AgentInput::End { attempt: id(2) });
    let afterwards: Vec<_> = (1..=3).flat_map(|n| agent.handle(0, attempt(n))).collect();

    assert_eq!((while_running, afterwards), (vec![], vec![]));
}

/// Guards against a tombstone for a request that ran, also after the window has moved on.
#[test]
fn started_attempt_gets_no_tombstone() {
    let mut agent = agent();
    agent.handle(0, attempt(1));
    agent.handle(0, AgentInput::End { attempt: id(1) });
    let started = AgentMessage::AlreadyStarted { attempt: id(1) };

    assert!(says(&agent.handle(0, cancel(1)), &started));
    agent.handle(0, attempt(1_000_000));
    assert!(says(&agent.handle(0, cancel(1)), &started));
}

/// Guards against an attempt of an entry that crashed, which arrives over a connection of the new one.
#[test]
fn attempt_of_another_incarnation_does_nothing() {
    let mut agent = EndpointAgent::new();
    agent.handle(0, announced(None));
    agent.handle(0, AgentInput::Connected { connection: ENTRY, entry: Incarnation(6) });

    assert_eq!(agent.handle(0, attempt(1)), []);
    assert_eq!(agent.handle(0, cancel(1)), []);
}

/// Guards P7 and P8: nothing starts from the drain on, and the endpoint may leave once nothing is in flight.
#[test]
fn drain_waits_for_requests_in_flight() {
    let mut agent = agent();
    agent.handle(0, attempt(1));

    let drain = agent.handle(0, AgentInput::Drain);
    let next = agent.handle(0, attempt(2));
    let end = agent.handle(0, AgentInput::End { attempt: id(1) });

    assert!(says(&drain, &AgentMessage::Drain) && !drain.contains(&AgentOutput::Drained));
    assert!(refused(&next, 2, NotRunReason::Draining));
    assert!(end.contains(&AgentOutput::Drained));
}

/// Guards P7: an announcement that was under way when the endpoint began to drain does not bring requests back.
#[test_case(Some("first"), false; "late announcement of the same process")]
#[test_case(Some("second"), true; "new process")]
#[test_case(None, true; "process without name")]
fn announcement_after_a_drain(instance: Option<&str>, expected: bool) {
    let mut agent = agent();
    agent.handle(0, AgentInput::Drain);

    agent.handle(0, announced(instance));

    assert_eq!(starts(&agent.handle(0, attempt(1))), expected);
}

/// Guards P7: the drain of a process in flight is not undone by any announcement.
#[test]
fn announcement_during_a_drain_is_ignored() {
    let mut agent = agent();
    agent.handle(0, attempt(1));
    agent.handle(0, AgentInput::Drain);

    agent.handle(0, announced(None));

    assert!(refused(&agent.handle(0, attempt(2)), 2, NotRunReason::Draining));
}

/// Guards P3: the newest state of the data centre counts, whatever an entry with an older view says later.
#[test]
fn stale_entry_does_not_bring_a_data_centre_back() {
    let mut agent = agent();
    let service = |state, version| received(EntryMessage::Service { state, version, permit_ms: 0 });

    agent.handle(0, service(DataCentreState::Out, 2));
    agent.handle(0, service(DataCentreState::In, 1));
    let while_out = agent.handle(0, attempt(1));
    agent.handle(0, service(DataCentreState::In, 3));

    assert!(refused(&while_out, 1, NotRunReason::DataCentreOut));
    assert!(starts(&agent.handle(0, attempt(2))));
}

/// Guards against a request that starts after its caller gave up, and one that holds a slot for ever.
#[test]
fn deadlines_are_kept() {
    let mut agent = agent();
    agent.handle(0, attempt(1));
    let mut late = attempt(2);
    if let AgentInput::Received { message: EntryMessage::Attempt(request), .. } = &mut late {
        request.remaining_ms = 0;
    }

    assert!(refused(&agent.handle(0, late), 2, NotRunReason::DeadlinePassed));
    assert_eq!(agent.handle(999, AgentInput::Tick), []);
    let due = agent.handle(1_000, AgentInput::Tick);

    assert_eq!(due, [AgentOutput::Abort { attempt: id(1) }]);
    assert_eq!(agent.running(), 1, "the slot stays taken until the endpoint's connection ended");
    assert_eq!(agent.handle(1_001, AgentInput::Tick), [], "it is aborted once");
}

/// Guards P5: an endpoint that refused the connection got nothing, and the attempt stays dead.
#[test]
fn unreachable_endpoint_is_not_run() {
    let mut agent = agent();
    agent.handle(0, attempt(1));

    let outputs = agent.handle(0, AgentInput::Unreachable { attempt: id(1) });

    assert!(refused(&outputs, 1, NotRunReason::EndpointGone));
    assert!(says(&agent.handle(0, cancel(1)), &AgentMessage::Tombstoned { attempt: id(1) }));
    assert_eq!(agent.handle(0, attempt(1)), []);
}

/// Guards the dump: the state of a busy agent is JSON and comes back the same.
#[test]
fn state_is_serialised_as_json() {
    let mut agent = agent();
    agent.handle(0, attempt(1));

    let json = serde_json::to_string(&agent).unwrap();

    assert_eq!(serde_json::from_str::<EndpointAgent>(&json).unwrap(), agent);
}
