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

/// Returns an attempt whose sequence number is the number of its request.
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

fn sends(outputs: &[AgentOutput], expected: &AgentMessage) -> bool {
    let is_expected = |output: &AgentOutput| matches!(output, AgentOutput::Send { message, .. } if message == expected);
    outputs.iter().any(is_expected)
}

fn refused(outputs: &[AgentOutput], request: u64, reason: NotRunReason) -> bool {
    !starts(outputs) && sends(outputs, &AgentMessage::NotRun { attempt: id(request), reason })
}

/// Guards P5: an attempt that arrives after its cancellation must never start, even after the window has advanced
/// beyond its sequence number.
#[test]
fn attempt_after_its_cancellation_never_starts() {
    let mut agent = agent();

    let cancelled = agent.handle(0, cancel(1));
    let at_once = agent.handle(0, attempt(1));
    (2..10_000).for_each(|request| {
        agent.handle(0, attempt(request));
        agent.handle(0, AgentInput::End { attempt: id(request) });
    });
    let after_window = agent.handle(1 << 40, attempt(1));

    assert!(sends(&cancelled, &AgentMessage::Tombstoned { attempt: id(1) }));
    assert!(!starts(&at_once));
    assert!(!starts(&after_window));
}

/// Guards P6: a duplicate of an attempt that is running, ended or was refused must neither start nor be answered.
#[test]
fn duplicate_attempts_are_ignored() {
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

/// Guards against a tombstone for an attempt that ran, also after the window has advanced beyond its sequence number.
#[test]
fn cancellation_of_a_started_attempt_gets_no_tombstone() {
    let mut agent = agent();
    agent.handle(0, attempt(1));
    agent.handle(0, AgentInput::End { attempt: id(1) });
    let started = AgentMessage::AlreadyStarted { attempt: id(1) };

    assert!(sends(&agent.handle(0, cancel(1)), &started));
    agent.handle(0, attempt(1_000_000));
    assert!(sends(&agent.handle(0, cancel(1)), &started));
}

/// Guards against the start of an attempt of a crashed entry that arrives on a connection of its next incarnation.
#[test]
fn attempt_of_another_incarnation_is_ignored() {
    let mut agent = EndpointAgent::new();
    agent.handle(0, announced(None));
    agent.handle(0, AgentInput::Connected { connection: ENTRY, entry: Incarnation(6) });

    assert_eq!(agent.handle(0, attempt(1)), []);
    assert_eq!(agent.handle(0, cancel(1)), []);
}

/// Guards P7 and P8: no attempt may start after the drain began, and the endpoint may exit only once no request is in
/// flight.
#[test]
fn drain_refuses_attempts_and_completes_after_those_in_flight() {
    let mut agent = agent();
    agent.handle(0, attempt(1));

    let drain = agent.handle(0, AgentInput::Drain);
    let next = agent.handle(0, attempt(2));
    let end = agent.handle(0, AgentInput::End { attempt: id(1) });

    assert!(sends(&drain, &AgentMessage::Drain) && !drain.contains(&AgentOutput::Drained));
    assert!(refused(&next, 2, NotRunReason::Draining));
    assert!(end.contains(&AgentOutput::Drained));
}

/// Guards P7: an announcement that was sent before the drain and arrives after it must not make the agent accept
/// attempts again.
#[test_case(Some("first"), false; "late announcement of the same process")]
#[test_case(Some("second"), true; "new process")]
#[test_case(None, true; "process without a name")]
fn announcement_after_a_drain_counts_only_from_a_new_process(
    instance: Option<&str>,
    expected: bool,
) {
    let mut agent = agent();
    agent.handle(0, AgentInput::Drain);

    agent.handle(0, announced(instance));

    assert_eq!(starts(&agent.handle(0, attempt(1))), expected);
}

/// Guards P7: no announcement may end a drain while requests are in flight.
#[test]
fn announcement_during_a_drain_is_ignored() {
    let mut agent = agent();
    agent.handle(0, attempt(1));
    agent.handle(0, AgentInput::Drain);

    agent.handle(0, announced(None));

    assert!(refused(&agent.handle(0, attempt(2)), 2, NotRunReason::Draining));
}

/// Guards P3: an entry with an older state of the data centre must not put it back in service at the agent.
#[test]
fn older_data_centre_state_is_ignored() {
    let mut agent = agent();
    let service =
        |state, version| received(EntryMessage::DataCentreState { state, version, permit_ms: 0 });

    agent.handle(0, service(DataCentreState::Out, 2));
    agent.handle(0, service(DataCentreState::In, 1));
    let while_out = agent.handle(0, attempt(1));
    agent.handle(0, service(DataCentreState::In, 3));

    assert!(refused(&while_out, 1, NotRunReason::DataCentreOut));
    assert!(starts(&agent.handle(0, attempt(2))));
}

/// Guards against an attempt that starts after its deadline, and against one that occupies a slot without limit because
/// the endpoint does not answer.
#[test]
fn attempts_past_their_deadline_are_refused_or_aborted() {
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
    assert_eq!(
        agent.running(),
        1,
        "the slot stays occupied until the connection to the endpoint has ended"
    );
    assert_eq!(agent.handle(1_001, AgentInput::Tick), [], "an attempt is aborted only once");
}

/// Guards P5: an endpoint that refused the connection received nothing, so the attempt must be reported as not run, and
/// a duplicate of it must not start.
#[test]
fn attempt_at_an_unreachable_endpoint_ends_as_not_run() {
    let mut agent = agent();
    agent.handle(0, attempt(1));

    let outputs = agent.handle(0, AgentInput::Unreachable { attempt: id(1) });

    assert!(refused(&outputs, 1, NotRunReason::EndpointGone));
    assert!(sends(&agent.handle(0, cancel(1)), &AgentMessage::Tombstoned { attempt: id(1) }));
    assert_eq!(agent.handle(0, attempt(1)), []);
}

/// Guards the dump: the state of an agent with a running attempt must survive a round trip through JSON.
#[test]
fn busy_agent_round_trips_through_json() {
    let mut agent = agent();
    agent.handle(0, attempt(1));

    let json = serde_json::to_string(&agent).unwrap();

    assert_eq!(serde_json::from_str::<EndpointAgent>(&json).unwrap(), agent);
}
