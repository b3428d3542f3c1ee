//! Tests of the router, and a golden session of router and agent.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

use super::*;
use crate::endpoint::{AgentInput, AgentOutput, EndpointAgent};
use crate::prelude::*;
use crate::wire::{
    AgentMessage, AnswerChecksum, AnswerChunk, DataCentreState, EndpointSpec, EntryMessage,
    NotRunReason,
};

const FIRST: ConnectionId = ConnectionId(1);
const SECOND: ConnectionId = ConnectionId(2);

/// A router with a simulated clock.
struct Fixture {
    router: Router,
    random: ChaCha8Rng,
    now_ms: u64,
}

fn rules() -> RouterRules {
    RouterRules {
        organisations: ["firm".into(), "rival".into()].into(),
        kinds: [("check".into(), Class::Urgent), ("review".into(), Class::Batch)].into(),
        queue_limits: [(Class::Urgent, 1_000), (Class::Batch, 1_000)].into(),
        retry_budget_per_mille: 0,
        limits: RouterLimits { buffer_bytes: 8, ..RouterLimits::default() },
    }
}

fn endpoint(name: &str, slots: u32) -> EndpointSpec {
    EndpointSpec {
        id: name.into(),
        incarnation: Incarnation(9),
        data_centre: "one".into(),
        slots,
        connections: slots.max(64),
        kinds: Vec::new(),
    }
}

fn spec(repeat: Repeat) -> RequestSpec {
    RequestSpec {
        organisation: "firm".into(),
        kind: "check".into(),
        deadline_ms: 1_000,
        repeat,
        key: None,
        body: b"body".to_vec(),
    }
}

impl Fixture {
    /// Creates a router with an endpoint for each number of slots, on connections from 1.
    fn new(slots: &[u32]) -> Self {
        let (router, random) = (Router::new(Incarnation(5)), ChaCha8Rng::seed_from_u64(1));
        let mut fixture = Self { router, random, now_ms: 0 };
        fixture.input(RouterInput::Rules(rules()));
        for (connection, slots) in (1..).map(ConnectionId).zip(slots) {
            let endpoint = endpoint(&format!("endpoint-{connection}"), *slots);
            fixture.input(RouterInput::Announced { connection, endpoint });
        }
        fixture
    }

    fn input(&mut self, input: RouterInput) -> Vec<RouterOutput> {
        self.router.handle(self.now_ms, input, &mut self.random)
    }

    fn submit(&mut self, request: u64, spec: RequestSpec) -> Vec<RouterOutput> {
        self.input(RouterInput::Submit { request, spec })
    }

    fn receive(&mut self, connection: ConnectionId, message: AgentMessage) -> Vec<RouterOutput> {
        self.input(RouterInput::Received { connection, message })
    }

    fn refuse(&mut self, request: u64, number: u32, reason: NotRunReason) -> Vec<RouterOutput> {
        let attempt = attempt(request, number);
        let connection = self.router.attempts[&attempt].connection;
        self.receive(connection, AgentMessage::NotRun { attempt, reason })
    }

    fn fail(&mut self, request: u64, number: u32) -> Vec<RouterOutput> {
        let attempt = attempt(request, number);
        let connection = self.router.attempts[&attempt].connection;
        self.receive(connection, AgentMessage::Failed { attempt, reason: "broke off".to_owned() })
    }

    fn running_on(&self, connection: ConnectionId) -> usize {
        self.router.attempts.values().filter(|attempt| attempt.connection == connection).count()
    }
}

fn attempt(request: u64, number: u32) -> AttemptId {
    AttemptId { incarnation: Incarnation(5), request, number }
}

fn ends(outputs: &[RouterOutput]) -> Vec<(u64, Outcome)> {
    let end = |output: &RouterOutput| match output {
        RouterOutput::End { request, end } => Some((*request, end.outcome())),
        _ => None,
    };
    outputs.iter().filter_map(end).collect()
}

fn sent(outputs: &[RouterOutput]) -> Vec<(ConnectionId, AttemptId)> {
    let sent = |output: &RouterOutput| match output {
        RouterOutput::Send { connection, message: EntryMessage::Attempt(request) } => {
            Some((*connection, request.attempt))
        }
        _ => None,
    };
    outputs.iter().filter_map(sent).collect()
}

fn data(offset_bytes: u64, bytes: &[u8]) -> AnswerChunk {
    AnswerChunk::Data { offset_bytes, bytes: bytes.to_vec() }
}

fn end_of(body: &[u8]) -> AnswerChunk {
    let checksum = AnswerChecksum::default().with(body);
    AnswerChunk::End { length_bytes: body.len() as u64, checksum }
}

/// Guards P4: a message on another connection, or for an attempt that ended or is of another incarnation, must never be
/// delivered as the answer to the running attempt.
#[test_case(SECOND, attempt(1, 2); "another connection")]
#[test_case(FIRST, attempt(1, 1); "earlier attempt")]
#[test_case(FIRST, AttemptId { incarnation: Incarnation(4), request: 1, number: 2 }; "earlier incarnation")]
fn answer_not_for_the_running_attempt_is_ignored(connection: ConnectionId, attempt_id: AttemptId) {
    let mut fixture = Fixture::new(&[1]);
    fixture.submit(1, spec(Repeat::Allowed));
    fixture.fail(1, 1);
    assert!(fixture.router.attempts.contains_key(&attempt(1, 2)));

    for chunk in [AnswerChunk::Head { status: 200 }, data(0, b"wrong"), end_of(b"wrong")] {
        let outputs =
            fixture.receive(connection, AgentMessage::Answer { attempt: attempt_id, chunk });
        assert_eq!(outputs, []);
    }

    assert!(fixture.router.attempts.contains_key(&attempt(1, 2)));
}

/// Guards P4: an answer with missing, overlapping or altered parts must not be reported as done. Duplicate parts, which
/// a connection may deliver, are ignored.
#[test_case(&[data(0, b"abc"), data(0, b"abc"), end_of(b"abc")], Outcome::Done; "duplicate part")]
#[test_case(&[data(0, b"abc"), data(4, b"e"), end_of(b"abcde")], Outcome::Unknown; "gap")]
#[test_case(&[data(0, b"abc"), data(2, b"cd"), end_of(b"abcd")], Outcome::Unknown; "overlap")]
#[test_case(&[data(0, b"abc"), end_of(b"abcd")], Outcome::Unknown; "truncated")]
#[test_case(&[data(0, b"abc"), end_of(b"abd")], Outcome::Unknown; "altered")]
#[test_case(&[data(0, b"abcdefghij"), end_of(b"abcdefghik")], Outcome::Unknown; "altered after streaming began")]
fn only_complete_answers_are_done(chunks: &[AnswerChunk], expected: Outcome) {
    let mut fixture = Fixture::new(&[1]);
    fixture.submit(1, spec(Repeat::Never));
    let mut outputs = Vec::new();

    for chunk in [&[AnswerChunk::Head { status: 200 }], chunks].concat() {
        let message = AgentMessage::Answer { attempt: attempt(1, 1), chunk };
        outputs.extend(fixture.receive(FIRST, message));
    }

    assert_eq!(ends(&outputs), [(1, expected)]);
}

/// Guards P5: a request whose answer had begun must not be reported as `not_run`, even if a faulty agent then refuses
/// it.
#[test]
fn refusal_after_an_answer_began_ends_as_unknown() {
    let mut fixture = Fixture::new(&[1]);
    fixture.submit(1, spec(Repeat::Never));
    let chunk = AnswerChunk::Head { status: 200 };
    fixture.receive(FIRST, AgentMessage::Answer { attempt: attempt(1, 1), chunk });

    let outputs = fixture.refuse(1, 1, NotRunReason::Full);

    assert_eq!(ends(&outputs), [(1, Outcome::Unknown)]);
}

/// Guards P5 and P6: an attempt in flight on a lost connection may have run, so its request is retried only if repeats
/// are allowed, and otherwise ends as unknown.
#[test_case(Repeat::Never, &[(1, Outcome::Unknown)], 0; "repeat never ends as unknown")]
#[test_case(Repeat::Allowed, &[], 1; "repeat allowed is retried elsewhere")]
fn lost_connection_retries_only_repeatable_requests(
    repeat: Repeat,
    expected: &[(u64, Outcome)],
    retries: usize,
) {
    let mut fixture = Fixture::new(&[1]);
    fixture.submit(1, spec(repeat));
    let other = endpoint("other", 1);
    fixture.input(RouterInput::Announced { connection: SECOND, endpoint: other });

    let outputs = fixture.input(RouterInput::Disconnected { connection: FIRST });

    assert_eq!(ends(&outputs), expected);
    assert_eq!(sent(&outputs).len(), retries);
}

/// Guards against a retry that is lost or sent to a draining endpoint, and against an outcome other than `not_run` when
/// all endpoints drain until the deadline.
#[test]
fn refusals_by_draining_endpoints_retry_elsewhere_until_the_deadline() {
    let mut fixture = Fixture::new(&[1, 1]);
    let first = sent(&fixture.submit(1, spec(Repeat::Never)))[0].0;

    let retried = sent(&fixture.refuse(1, 1, NotRunReason::Draining));
    let refused_by_all = fixture.refuse(1, 2, NotRunReason::Draining);
    fixture.now_ms = 1_000;
    let at_deadline = fixture.input(RouterInput::Tick);

    assert_eq!(retried.len(), 1);
    assert_ne!(retried[0].0, first);
    assert_eq!((ends(&refused_by_all), sent(&refused_by_all)), (vec![], vec![]));
    assert_eq!(ends(&at_deadline), [(1, Outcome::NotRun)]);
}

/// Guards against more attempts on an endpoint than it has slots, and against slots that stay unused while requests
/// wait.
#[test]
fn waiting_requests_fill_all_slots_and_no_more() {
    let mut fixture = Fixture::new(&[3, 5]);

    (1..=20).for_each(|request| drop(fixture.submit(request, spec(Repeat::Allowed))));

    assert_eq!((fixture.running_on(FIRST), fixture.running_on(SECOND)), (3, 5));
}

/// Guards against repeated refusals: other entries use the same slots, so after a refusal as full an entry must send
/// fewer attempts than the endpoint has slots.
#[test]
fn refusal_as_full_shrinks_the_window() {
    let mut fixture = Fixture::new(&[8]);
    (1..=8).for_each(|request| drop(fixture.submit(request, spec(Repeat::Allowed))));

    let outputs = fixture.refuse(8, 1, NotRunReason::Full);

    assert_eq!(sent(&outputs), [], "no attempt is sent right after the refusal");
    fixture.now_ms = 1;
    assert_eq!(sent(&fixture.submit(9, spec(Repeat::Allowed))), []);
    assert_eq!(fixture.running_on(FIRST), 7);
}

/// Guards against retries that multiply the load: without successes, the retry budget must run out.
#[test]
fn requests_beyond_the_retry_budget_end_as_not_run() {
    let mut fixture = Fixture::new(&[1_000]);
    (1..=300).for_each(|request| drop(fixture.submit(request, spec(Repeat::Never))));

    let outputs: Vec<_> =
        (1..=300).flat_map(|request| fixture.refuse(request, 1, NotRunReason::Cancelled)).collect();

    assert_eq!(sent(&outputs).len(), 256);
    assert_eq!(ends(&outputs).len(), 44);
    assert!(ends(&outputs).iter().all(|(_, outcome)| *outcome == Outcome::NotRun));
}

/// Guards against a failing endpoint that keeps getting requests, and against a common fault that ejects all endpoints.
#[test]
fn failing_endpoints_are_ejected_up_to_half() {
    let mut fixture = Fixture::new(&[100, 100]);
    let mut failed = [0, 0];
    for request in 1..=60 {
        let connection = sent(&fixture.submit(request, spec(Repeat::Never)))[0].0;
        fixture.fail(request, 1);
        failed[connection.0 as usize - 1] += 1;
    }

    let (fewer, more) = (failed[0].min(failed[1]), failed[0].max(failed[1]));
    assert_eq!(fewer, 5, "the first endpoint with five failures is ejected: {failed:?}");
    assert_eq!(
        more, 55,
        "the other one is not ejected, since at most half of the endpoints may be"
    );
    fixture.now_ms = 1_000;
    let after_ejection =
        (61..=70).flat_map(|request| sent(&fixture.submit(request, spec(Repeat::Never))));
    let probes =
        after_ejection.filter(|(connection, _)| failed[connection.0 as usize - 1] == fewer);
    assert_eq!(probes.count(), 1, "an endpoint gets one request at a time after its ejection");
}

/// Guards against batch requests that are sent before urgent ones, and against many requests of one organisation that
/// delay those of another.
#[test]
fn waiting_requests_are_ordered_by_class_then_running_attempts() {
    let mut fixture = Fixture::new(&[2]);
    let batch = RequestSpec { kind: "review".into(), ..spec(Repeat::Never) };
    let rival = RequestSpec { organisation: "rival".into(), ..spec(Repeat::Never) };
    (1..=4).for_each(|request| drop(fixture.submit(request, spec(Repeat::Never))));
    fixture.submit(5, batch);
    fixture.submit(6, rival);

    let order: Vec<_> =
        [1, 6, 2, 3, 4].iter().flat_map(|request| sent(&fixture.fail(*request, 1))).collect();

    let order: Vec<_> = order.iter().map(|(_, attempt)| attempt.request).collect();
    assert_eq!(order, [6, 3, 4, 5]);
}

/// Guards against attempts sent to an endpoint in a data centre that is out of service.
#[test]
fn endpoint_gets_no_attempts_while_its_data_centre_is_out() {
    let mut fixture = Fixture::new(&[1]);
    let service = |state| RouterInput::DataCentreState { data_centre: "one".into(), state };
    fixture.input(service(DataCentreState::Out));

    let while_out = sent(&fixture.submit(1, spec(Repeat::Never)));
    let back = sent(&fixture.input(service(DataCentreState::In)));

    assert_eq!((while_out.len(), back.len()), (0, 1));
}

/// Guards against an attempt for a request that already ended as `not_run`, because the result of its claim arrives
/// after the deadline.
#[test]
fn claim_after_the_deadline_starts_no_attempt() {
    let mut fixture = Fixture::new(&[1]);
    let keyed = RequestSpec { key: Some("k".to_owned()), ..spec(Repeat::Never) };
    fixture.submit(1, keyed);
    fixture.now_ms = 1_000;
    let ended = fixture.input(RouterInput::Tick);

    let late = fixture.input(RouterInput::Claim { request: 1, result: ClaimResult::Claimed });

    assert_eq!(ends(&ended), [(1, Outcome::NotRun)]);
    assert!(matches!(ended[0], RouterOutput::Finish { outcome: Outcome::NotRun, .. }));
    assert_eq!(late, []);
}

/// Guards the dump: the state of a router with attempts and waiting requests must survive a round trip through JSON.
#[test]
fn busy_router_round_trips_through_json() {
    let mut fixture = Fixture::new(&[1]);
    (1..=3).for_each(|request| drop(fixture.submit(request, spec(Repeat::Never))));

    let json = serde_json::to_string(&fixture.router).unwrap();

    assert_eq!(serde_json::from_str::<Router>(&json).unwrap(), fixture.router);
}

/// Golden session of one complete exchange: announcement, request with an idempotency key, claim, refusal, retry,
/// answer and recorded outcome. Guards against unintended changes of the messages and their order.
#[test]
fn golden_session() {
    let mut fixture = Fixture::new(&[]);
    let mut agent = EndpointAgent::new();
    let mut lines = Vec::new();
    let line = |from: &str, value: serde_json::Value| format!("{from}: {value}");
    let to_router = |fixture: &mut Fixture, input: RouterInput, lines: &mut Vec<String>| {
        lines.push(line("> router", serde_json::to_value(&input).unwrap()));
        let outputs = fixture.input(input);
        let text = |output| line("< router", serde_json::to_value(output).unwrap());
        lines.extend(outputs.iter().map(text));
        outputs
    };
    let to_agent = |agent: &mut EndpointAgent, input: AgentInput, lines: &mut Vec<String>| {
        lines.push(line("> agent", serde_json::to_value(&input).unwrap()));
        let outputs = agent.handle(7, input);
        let text = |output| line("< agent", serde_json::to_value(output).unwrap());
        lines.extend(outputs.iter().map(text));
        outputs
    };
    let connected = AgentInput::Connected { connection: FIRST, entry: Incarnation(5) };
    let announced =
        |slots| AgentInput::Announced { endpoint: endpoint("one", slots), instance: None };
    let keyed = RequestSpec { key: Some("k".to_owned()), ..spec(Repeat::Never) };
    let mut from_agent = Vec::new();

    from_agent.extend(to_agent(&mut agent, connected, &mut lines));
    from_agent.extend(to_agent(&mut agent, announced(2), &mut lines));
    let first = attempt(1, 1);
    let busy = AgentMessage::NotRun { attempt: first, reason: NotRunReason::Full };
    let mut inputs = vec![
        RouterInput::Announced { connection: FIRST, endpoint: endpoint("one", 2) },
        RouterInput::Submit { request: 1, spec: keyed },
        RouterInput::Claim { request: 1, result: ClaimResult::Claimed },
        RouterInput::Received { connection: FIRST, message: busy },
    ];
    for input in inputs.drain(..) {
        to_router(&mut fixture, input, &mut lines);
    }
    fixture.now_ms = 10;
    for output in to_router(&mut fixture, RouterInput::Tick, &mut lines) {
        let RouterOutput::Send { connection, message } = output else { continue };
        to_agent(&mut agent, AgentInput::Received { connection, message }, &mut lines);
    }
    let attempt = attempt(1, 2);
    for input in [
        AgentInput::Head { attempt, status: 200 },
        AgentInput::Data { attempt, bytes: b"answer".to_vec() },
        AgentInput::End { attempt },
    ] {
        for output in to_agent(&mut agent, input, &mut lines) {
            let AgentOutput::Send { connection, message } = output else { continue };
            to_router(&mut fixture, RouterInput::Received { connection, message }, &mut lines);
        }
    }

    insta::assert_snapshot!(lines.join("\n"));
}
