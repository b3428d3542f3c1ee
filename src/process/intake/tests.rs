//! Tests of the bounds and of what is given up at them.

use std::time::Duration;

use futures::FutureExt;
use test_case::test_case;

use super::shed::{
    ConnectionState, NEWCOMER_MS, Phase, Progress, SETTLED_MS, select_body, select_connection,
};
use super::*;
use crate::api::{ApiError, ErrorCode};

const NOW_MS: u64 = 100_000;

fn body(age_ms: u64, received_bytes: usize) -> Progress {
    Progress { started_ms: NOW_MS - age_ms, received_bytes, held_bytes: received_bytes }
}

fn connection(phase: Phase, age_ms: u64, received_bytes: usize) -> ConnectionState {
    let since_ms = NOW_MS - age_ms;
    ConnectionState { phase, since_ms, received_bytes, blocked_since_ms: None }
}

fn derive(memory_mb: u64, descriptors: u64) -> IntakeLimits {
    IntakeLimits::derive(&MachineLimits { memory_mb, descriptors })
}

/// Guards against bounds that together exceed the half of the memory that is for clients, or the descriptors.
#[test_case(120, 3_075; "smallest machine of a coordinator")]
#[test_case(128, 4_096; "machine of a host")]
#[test_case(512, 10_250; "largest machine of a coordinator")]
#[test_case(64, 400; "machine of the tests of crowds")]
#[test_case(4_096, 4_096; "more memory than descriptors")]
fn bounds_fit_into_half_of_the_machine(memory_mb: u64, descriptors: u64) {
    let limits = derive(memory_mb, descriptors);

    let connection_bytes = 84 * 1_024;
    let total_bytes = limits.connections * connection_bytes
        + limits.head_bytes
        + limits.body_bytes
        + limits.handling_bytes
        + limits.frame_bytes;
    assert!(total_bytes as u64 <= memory_mb * 1_024 * 1_024 / 2, "{total_bytes}");
    let waiting_bytes = limits.message_bytes + limits.queue_bytes;
    assert!(waiting_bytes as u64 <= memory_mb * 1_024 * 1_024 / 8, "{waiting_bytes}");
    assert!(limits.connections + limits.inner_connections + 200 <= descriptors as usize);
    let with_store_calls = limits.connections + limits.inner_connections + limits.requests;
    assert!(with_store_calls + 100 <= descriptors as usize, "{with_store_calls}");
    assert!(limits.requests < limits.connections);
    assert!(limits.body_bytes >= 262_144);
}

fn limits(variables: &[(&str, &str)]) -> MachineLimits {
    let variable = |name: &str| {
        let found = variables.iter().find(|(other, _)| *other == name);
        found.map(|(_, text)| (*text).to_owned())
    };
    MachineLimits::from_variables(variable).expect("the variables are valid")
}

/// Guards against a process without bounds where a deployment states no limits or only one of them.
#[test]
fn limits_that_are_not_stated_are_those_of_the_machine() {
    let unstated = limits(&[("TEASELHALL_MEMORY_LIMIT_MB", "")]);
    let memory_only = limits(&[("TEASELHALL_MEMORY_LIMIT_MB", "120")]);
    let descriptors_only = limits(&[("TEASELHALL_DESCRIPTOR_LIMIT", "3075")]);

    assert!((1..=256).contains(&unstated.memory_mb), "{unstated:?}");
    assert_eq!(memory_only, MachineLimits { memory_mb: 120, ..unstated });
    assert_eq!(descriptors_only, MachineLimits { descriptors: 3_075, ..unstated });
    assert!(derive(1, 1).connections > 0);
}

/// Guards against the memory of the machine that is read wrongly, or not at all.
#[test_case("MemTotal:         262144 kB\nMemFree: 1 kB\n", Some(256); "machine of 256 MB")]
#[test_case("MemFree: 1 kB\nMemTotal: 5 kB\n", Some(1); "less than a megabyte")]
#[test_case("MemTotal: lots\n", None; "malformed")]
#[test_case("", None; "missing")]
fn memory_of_the_machine_is_read(text: &str, memory_mb: Option<u64>) {
    assert_eq!(super::limits::parse_memory_mb(text), memory_mb);
}

/// Replays bodies that stop just short of their end while ordinary callers send theirs. Guards against a crowd that keeps
/// its memory while ordinary callers are rejected.
#[test]
fn stalled_bodies_are_given_up_before_arriving_ones() {
    let crowd = (0..100).map(|index| (index, body(SETTLED_MS + 10 * index, 262_140)));
    let ordinary = [(200, body(3, 1_000)), (201, body(900, 2_000_000))];

    let victim = select_body(NOW_MS, crowd.chain(ordinary));

    assert_eq!(victim, Some(99), "the one with the least progress for its age");
}

/// Guards against ordinary small bodies that are rejected in the first moments of a crowd.
#[test]
fn among_new_bodies_the_largest_is_given_up() {
    let bodies = [(1, body(40, 262_140)), (2, body(0, 900)), (3, body(20, 262_140))];

    assert_eq!(select_body(NOW_MS, bodies), Some(3));
    assert_eq!(select_body(NOW_MS, std::iter::empty::<(u8, Progress)>()), None);
}

/// Replays a crowd that fills all connections. Guards against the loss of connections that clients keep open for their
/// next request, and of requests that are being handled.
#[test]
fn connections_of_the_crowd_are_closed_before_those_of_clients_that_behave() {
    let silent = (1, connection(Phase::New, NEWCOMER_MS + 1, 0));
    let older_head = (2, connection(Phase::Head, NEWCOMER_MS + 500, 9_000));
    let slow_body = (3, connection(Phase::Body, 5_000, 10));
    let newcomer = (4, connection(Phase::New, 1, 0));
    let idle = (5, connection(Phase::Idle, 14_900, 0));
    let handled = (6, connection(Phase::Handling, 20_000, 0));
    let answered = (7, connection(Phase::Answering, 20_000, 0));
    let blocked_since_ms = Some(NOW_MS - NEWCOMER_MS);
    let unread = (8, ConnectionState { blocked_since_ms, ..connection(Phase::Answering, 20, 0) });
    let mut open = vec![handled, answered, unread, idle, newcomer, slow_body, older_head, silent];

    let mut order = Vec::new();
    while let Some(victim) = select_connection(NOW_MS, open.iter().copied()) {
        open.retain(|(key, _)| *key != victim);
        order.push(victim);
    }

    assert_eq!(order, [2, 1, 8, 3, 4, 5]);
}

/// Replays a crowd whose requests were answered and that stays connected. Guards against newer clients that are locked out,
/// and against newcomers that take more than their share from idle connections.
#[test]
fn idle_connections_are_closed_in_favour_of_a_share_of_newcomers() {
    let idle = (0..90_u64).map(|key| (key, connection(Phase::Idle, 200 + key, 0)));
    let newcomers = |count: u64| (100..100 + count).map(|key| (key, connection(Phase::New, 1, 0)));

    let few = select_connection(NOW_MS, idle.clone().chain(newcomers(10)));
    let many = select_connection(NOW_MS, idle.chain(newcomers(40)));

    assert_eq!(few, Some(89), "the one that has been idle for the longest time");
    assert_eq!(many, Some(100), "a newcomer");
}

/// Guards against a body within the limits that is rejected in calm, and against one that takes more than the bound while
/// others are in progress.
#[tokio::test]
async fn single_body_is_granted_and_others_wait_for_memory() {
    let budget = ByteBudget::new(1_000);
    let first = budget.claim();
    assert_eq!(first.reserve(5_000).await, Ok(()), "it is the only one");
    tokio::time::sleep(Duration::from_millis(SETTLED_MS + 10)).await;
    let second = budget.claim();

    let mut waiting = Box::pin(second.reserve(10));
    assert!((&mut waiting).now_or_never().is_none(), "the first one still holds its memory");
    assert!(first.given_up().now_or_never().is_some());
    drop(first);

    assert_eq!(waiting.await, Ok(()));
    assert_eq!(budget.held_bytes(), 10);
}

fn intake() -> Intake {
    Intake::new(&MachineLimits { memory_mb: 64, descriptors: 400 }, &Metrics::default())
}

/// Guards against decoded messages that wait without bound, and against a large one that waits for ever.
#[tokio::test]
async fn messages_wait_for_the_memory_of_others() {
    let budget = MessageBudget::new(64 * 1_024);
    let large = budget.hold(1 << 20).await;
    assert!(large.is_some(), "it exceeds the budget, but is the only one");

    let mut waiting = Box::pin(budget.hold(100));
    assert!((&mut waiting).now_or_never().is_none(), "the large one was not handled yet");
    drop(large);

    assert!(waiting.await.is_some());
}

/// Guards against messages to a receiver that does not read, which fill the memory, and against the loss of connections
/// whose receivers read.
#[tokio::test]
async fn queue_of_the_slowest_receiver_is_given_up() {
    let budget = QueueBudget::new(10_000);
    let (reading, stalled) = (budget.claim(), budget.claim());
    let mut unread: Vec<_> = (0..9).map(|_| stalled.add(1_000).expect("it fits")).collect();

    for _ in 0..100 {
        drop(reading.add(1_000).expect("its messages are sent at once"));
    }
    let over = [reading.add(1_000), reading.add(1_000)];

    assert!(over.iter().all(Result::is_ok), "its receiver reads");
    assert!(stalled.given_up().now_or_never().is_some());
    assert_eq!(stalled.add(1).err(), Some(Shed));
    assert_eq!(budget.kept_bytes(), 2_000);
    unread.clear();
    drop(over);
    assert_eq!(budget.kept_bytes(), 0);
    assert!(budget.claim().add(50_000).is_ok(), "a single message is always accepted");
}

fn parts(parts: usize, bytes: usize) -> Vec<Result<bytes::Bytes, warp::Error>> {
    (0..parts).map(|_| Ok(bytes::Bytes::from(vec![b' '; bytes]))).collect()
}

/// Guards against bodies that are cut off, or read beyond the limit for one body.
#[tokio::test]
async fn bodies_are_read_whole_up_to_their_limit() {
    let intake = intake();
    let read = |length, count| {
        let limits = BodyLimits::decoded(262_144);
        intake.read_body(length, futures::stream::iter(parts(count, 1_000)), limits, None)
    };
    let too_large = Some(BodyError::TooLarge { limit_bytes: 262_144 });

    let whole = read(None, 262).await.expect("it is within the limit");
    assert_eq!(whole.len(), 262_000);
    assert_eq!(read(None, 263).await.err(), too_large);
    assert_eq!(read(Some(262_145), 0).await.err(), too_large);
    assert_eq!(intake.bodies.held_bytes(), 0);
}

/// Guards against callers that hold a connection with a body that never ends.
#[test_case(BodyLimits::decoded(8), 10; "decoded")]
#[test_case(BodyLimits::forwarded(8, Duration::from_secs(25)), 25; "passed on before a deadline")]
#[tokio::test(start_paused = true)]
async fn body_that_never_ends_is_refused_after_the_timeout(limits: BodyLimits, timeout_s: u64) {
    let endless = futures::stream::unfold((), |()| async {
        tokio::time::sleep(Duration::from_secs(3)).await;
        Some((Ok::<_, warp::Error>(bytes::Bytes::new()), ()))
    });
    let (start, timeout) = (tokio::time::Instant::now(), Duration::from_secs(timeout_s));

    let result = intake().read_body(None, endless, limits, None).await;

    assert_eq!(result.err(), Some(BodyError::TimedOut { timeout }));
    assert_eq!(start.elapsed(), timeout);
}

/// Guards against errors of bodies whose code does not say that the call changed nothing.
#[test_case(BodyError::TooLarge { limit_bytes: 8 }, ErrorCode::TooLarge; "too large")]
#[test_case(BodyError::TimedOut { timeout: Duration::from_secs(10) }, ErrorCode::BadInput; "late")]
#[test_case(BodyError::Shed, ErrorCode::Unavailable; "given up")]
fn errors_of_bodies_have_codes(error: BodyError, code: ErrorCode) {
    let error = ApiError::from(error);

    assert_eq!((error.code, error.outcome), (code, crate::prelude::Outcome::NotRun));
}
