//! Tests of the host.

use std::sync::{Arc, Mutex};

use super::*;
use crate::coordinator::WORKER_LEASE_MS;
use crate::workflow::WorkerIncarnation;

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
        _run: u32,
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
        Err(WorkerError::Gone)
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

async fn start(port: &ScriptedPort) -> Result<(), StartRefusal> {
    let target = WorkerTarget { address: String::new(), instance: String::new() };
    orders::start(port, &target, &order(), Epoch(1), 1).await
}

/// Guards against a start without an answer that is taken for refused: it may be carried out seconds later.
#[tokio::test(start_paused = true)]
async fn a_start_without_an_answer_is_repeated() {
    let port = ScriptedPort::new(vec![unknown(), unknown(), StartAnswer::Started], vec![]);

    assert_eq!(start(&port).await, Ok(()));
    assert_eq!(port.calls(), ["start"; 3]);
}

/// Guards against a refusal after a call that may still be carried out.
#[tokio::test(start_paused = true)]
async fn a_start_that_is_refused_after_one_without_an_answer_is_stopped() {
    let refused = StartAnswer::Refused(StartRefusal::Capacity);
    let port = ScriptedPort::new(vec![unknown(), refused], vec![Ok(())]);

    assert_eq!(start(&port).await, Err(StartRefusal::Capacity));
    assert_eq!(port.calls(), ["start", "start", "stop"]);
}

/// Guards against an attempt that is given up while a late call may start it.
#[tokio::test(start_paused = true)]
async fn a_start_that_is_never_answered_is_stopped_until_that_is_confirmed() {
    let no_answer = || Err(WorkerError::Unknown("no answer".to_owned()));
    let port = ScriptedPort::new(vec![unknown(); 6], vec![no_answer(), no_answer(), Ok(())]);

    assert_eq!(start(&port).await, Err(StartRefusal::Unhealthy));
    assert_eq!(port.calls()[6..], ["stop"; 3]);
}

/// Guards against stops that are repeated for ever at a worker that is gone.
#[tokio::test(start_paused = true)]
async fn a_stop_ends_with_the_incarnation() {
    let port = ScriptedPort::new(vec![], vec![Err(WorkerError::Gone)]);
    let target = WorkerTarget { address: String::new(), instance: String::new() };

    orders::stop(&port, &target, &order().task, 1, Epoch(1)).await;

    assert_eq!(port.calls(), ["stop"]);
}

/// Guards against a lease that outlives the time for which the leader granted it.
#[test]
fn a_lease_counts_from_the_time_when_the_host_asked() {
    let mut lease = LeaseClock::default();
    assert_eq!(lease.deadline_ms(10_000), None);

    // The worker's clock read 500 when its answer arrived here at 10,000.
    lease.answered(500, 10_000);
    lease.renewed(10_000);

    assert_eq!(lease.deadline_ms(12_000), Some(500 + WORKER_LEASE_MS));
    assert_eq!(lease.deadline_ms(10_000 + WORKER_LEASE_MS), None);
}

/// Guards against an answer of the leader that waited in a socket while this process was suspended.
#[test]
fn an_old_renewal_never_shortens_or_extends_a_lease() {
    let mut lease = LeaseClock::default();
    lease.answered(500, 10_000);
    lease.renewed(10_000);

    lease.renewed(8_000);

    assert_eq!(lease.deadline_ms(11_000), Some(500 + WORKER_LEASE_MS));
}

/// Guards against an attempt that stands still and is noticed late, and against lists several times a second for hours.
#[test]
fn young_runs_are_listed_more_often() {
    let entry =
        |attempt| RunningAttempt { task: order().task, attempt, checkpoint: None, percent: 0 };
    let mut pace = super::listing::ListingPace::default();
    assert_eq!(pace.wait_ms(0), 1_000);

    pace.listed(1_000, &[entry(1)]);
    pace.listed(9_000, &[entry(1)]);
    assert_eq!(pace.wait_ms(10_000), 300);
    assert_eq!(pace.wait_ms(11_000), 1_000);

    pace.listed(12_000, &[entry(1), entry(2)]);
    assert_eq!(pace.wait_ms(12_000), 300);
    pace.listed(13_000, &[entry(1)]);
    assert_eq!(pace.wait_ms(13_000), 1_000);
}
