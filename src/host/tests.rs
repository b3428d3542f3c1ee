//! Tests of starts and stops, lease deadlines and intervals of lists of a host.

use std::sync::{Arc, Mutex};

use super::orders::StartResult;
use super::*;
use crate::workflow::WorkerIncarnation;

/// The duration of leases in the tests.
const LEASE_MS: u64 = 6_000;

/// A worker whose answers to starts are scripted, and which records the calls.
#[derive(Clone, Default)]
struct ScriptedPort {
    starts: Arc<Mutex<Vec<StartAnswer>>>,
    stops: Arc<Mutex<Vec<Result<(), WorkerError>>>>,
    calls: Arc<Mutex<Vec<&'static str>>>,
}

impl ScriptedPort {
    fn new(starts: Vec<StartAnswer>, stops: Vec<Result<(), WorkerError>>) -> Self {
        let port = Self::default();
        *port.starts.lock().expect("no thread panics") = starts;
        *port.stops.lock().expect("no thread panics") = stops;
        port
    }

    fn calls(&self) -> Vec<&'static str> {
        self.calls.lock().expect("no thread panics").clone()
    }

    fn record(&self, call: &'static str) {
        self.calls.lock().expect("no thread panics").push(call);
    }
}

impl WorkerPort for ScriptedPort {
    async fn start(
        &self,
        _target: &WorkerTarget,
        _order: &StartOrder,
        _fence: Epoch,
        _deadline_ms: u64,
    ) -> StartAnswer {
        self.record("start");
        self.starts.lock().expect("no thread panics").remove(0)
    }

    async fn stop(
        &self,
        _target: &WorkerTarget,
        _task: &TaskId,
        _attempt: u32,
        _fence: Epoch,
    ) -> Result<(), WorkerError> {
        self.record("stop");
        self.stops.lock().expect("no thread panics").remove(0)
    }

    async fn renew_lease(
        &self,
        _: &WorkerTarget,
        _: &Renewal,
    ) -> Result<RenewalAnswer, WorkerError> {
        Err(WorkerError::ConnectionRefused)
    }
}

fn unknown() -> StartAnswer {
    StartAnswer::Unknown("no answer".to_owned())
}

fn order() -> StartOrder {
    StartOrder {
        incarnation: WorkerIncarnation { worker: WorkerId::from("w"), born_ms: 1 },
        task: "0123456789abcdef.0.0.0".parse().expect("the name is valid"),
        attempt: 1,
        payload: String::new(),
        checkpoint: None,
    }
}

async fn start(port: &ScriptedPort) -> StartResult {
    let target = WorkerTarget { address: String::new(), instance: String::new() };
    orders::start(port, &target, &order(), Epoch(1), 1).await
}

/// Guards against a start without an answer that is treated as refused although the worker may carry it out seconds
/// later.
#[tokio::test(start_paused = true)]
async fn start_without_answer_is_repeated_until_started() {
    let port = ScriptedPort::new(vec![unknown(), unknown(), StartAnswer::Started], vec![]);

    assert_eq!(start(&port).await, StartResult::Started);
    assert_eq!(port.calls(), ["start"; 3]);
}

/// Guards against a reported refusal while an earlier call without an answer may still start the attempt, or has started it
/// and it has ended since.
#[tokio::test(start_paused = true)]
async fn start_refused_after_call_without_answer_is_stopped() {
    let refused = StartAnswer::Refused(StartRefusal::Capacity);
    let port = ScriptedPort::new(vec![unknown(), refused], vec![Ok(())]);

    assert_eq!(start(&port).await, StartResult::Stopped);
    assert_eq!(port.calls(), ["start", "start", "stop"]);
}

/// Guards against a refusal that is not reported although the attempt has never run.
#[tokio::test(start_paused = true)]
async fn start_refused_by_the_first_answer_is_reported() {
    let refused = StartAnswer::Refused(StartRefusal::Capacity);
    let port = ScriptedPort::new(vec![refused], vec![]);

    assert_eq!(start(&port).await, StartResult::Refused(StartRefusal::Capacity));
    assert_eq!(port.calls(), ["start"]);
}

/// Guards against an attempt that is reported as never run although the worker has ended it, after an order of which the
/// answer was lost on the way to the leader.
#[tokio::test(start_paused = true)]
async fn start_of_an_attempt_that_has_ended_is_not_reported_as_refused() {
    let ended = StartAnswer::Refused(StartRefusal::Superseded);
    let port = ScriptedPort::new(vec![ended], vec![]);

    assert_eq!(start(&port).await, StartResult::Stopped);
}

/// Guards against an attempt that is reported as refused after the last call without an answer, while a late call may
/// still start it.
#[tokio::test(start_paused = true)]
async fn start_that_is_never_answered_is_stopped_until_the_stop_is_confirmed() {
    let no_answer = || Err(WorkerError::Unknown("no answer".to_owned()));
    let port = ScriptedPort::new(vec![unknown(); 6], vec![no_answer(), no_answer(), Ok(())]);

    assert_eq!(start(&port).await, StartResult::Stopped);
    assert_eq!(port.calls()[6..], ["stop"; 3]);
}

/// Guards against stops that are repeated without end after another incarnation has answered.
#[tokio::test(start_paused = true)]
async fn stop_is_not_repeated_after_the_incarnation_ended() {
    let port = ScriptedPort::new(vec![], vec![Err(WorkerError::OtherIncarnation)]);
    let target = WorkerTarget { address: String::new(), instance: String::new() };

    orders::stop(&port, &target, &order().task, 1, Epoch(1)).await;

    assert_eq!(port.calls(), ["stop"]);
}

/// Guards against a stop that counts as confirmed although a firewall refused the connection to the worker, which goes on
/// running the attempt.
#[tokio::test(start_paused = true)]
async fn stop_is_repeated_while_connections_are_refused() {
    let stops = vec![Err(WorkerError::ConnectionRefused), Ok(())];
    let port = ScriptedPort::new(vec![], stops);
    let target = WorkerTarget { address: String::new(), instance: String::new() };

    orders::stop(&port, &target, &order().task, 1, Epoch(1)).await;

    assert_eq!(port.calls(), ["stop", "stop"]);
}

/// Guards against a lease that lasts longer on the worker's clock than the leader granted.
#[test]
fn lease_deadline_counts_from_the_time_of_the_request() {
    let mut lease = LeaseClock::new(LEASE_MS);
    assert_eq!(lease.deadline_ms(10_000), None);

    // The answer with the worker's clock at 500 arrives when the host's clock is at 10,000.
    lease.record_worker_clock(500, 10_000);
    lease.record_renewal(10_000);

    assert_eq!(lease.deadline_ms(12_000), Some(500 + LEASE_MS));
    assert_eq!(lease.deadline_ms(10_000 + LEASE_MS), None);
}

/// Guards against a delayed renewal that changes the lease, such as one that waited in a socket while the process was
/// suspended.
#[test]
fn delayed_earlier_renewal_does_not_change_the_lease() {
    let mut lease = LeaseClock::new(LEASE_MS);
    lease.record_worker_clock(500, 10_000);
    lease.record_renewal(10_000);

    lease.record_renewal(8_000);

    assert_eq!(lease.deadline_ms(11_000), Some(500 + LEASE_MS));
}

/// Guards against attempts without progress that are detected late, and against lists several times per second for as
/// long as an attempt runs.
#[test]
fn wait_before_listing_is_shorter_while_an_attempt_is_young() {
    let entry =
        |attempt| RunningAttempt { task: order().task, attempt, checkpoint: None, percent: 0 };
    let mut interval = super::listing::ListingInterval::default();
    assert_eq!(interval.wait_ms(0), 1_000);

    interval.record_listing(1_000, &[entry(1)]);
    interval.record_listing(9_000, &[entry(1)]);
    assert_eq!(interval.wait_ms(10_000), 300);
    assert_eq!(interval.wait_ms(11_000), 1_000);

    interval.record_listing(12_000, &[entry(1), entry(2)]);
    assert_eq!(interval.wait_ms(12_000), 300);
    interval.record_listing(13_000, &[entry(1)]);
    assert_eq!(interval.wait_ms(13_000), 1_000);
}
