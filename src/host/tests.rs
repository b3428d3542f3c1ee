//! Tests of starts and stops, lease deadlines and intervals of lists of a host.

use std::sync::{Arc, Mutex};

use super::expiry::LeaseExpiry;
use super::notice::EndNotice;
use super::orders::StartResult;
use super::suspension::SuspensionDetector;
use super::*;
use crate::workflow::WorkerIncarnation;

/// The duration of leases in the tests, and the longest duration while a host extends them.
const LEASE_MS: u64 = 6_000;
const MAX_LEASE_MS: u64 = 9_000;

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
    let mut lease = LeaseClock::new(LEASE_MS, LEASE_MS);
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
    let mut lease = LeaseClock::new(LEASE_MS, LEASE_MS);
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

/// Returns the proof of a worker that answered last when its clock was at 1,000, with a deadline at 10,000.
fn silent_worker() -> LeaseExpiry {
    let mut expiry = LeaseExpiry::default();
    expiry.advance(50_000);
    expiry.record_answer(1_000, 9_000);
    expiry.record_deadline(10_000);
    expiry
}

/// Advances the host's steady clock from 50,000 by ticks, and returns the time at which the expiry is proven.
fn proven_after_ms(expiry: &mut LeaseExpiry, tick_ms: u64) -> u64 {
    let mut now_ms = 50_000;
    while !expiry.is_proven() {
        now_ms += tick_ms;
        expiry.advance(now_ms);
        assert!(now_ms < 200_000, "the expiry is proven at some time");
    }
    now_ms - 50_000
}

/// Guards against an expiry that is reported before the lease has ended on the worker's clock, which may be 2 % slow, or
/// together with which the host was paused.
#[test]
fn expiry_is_proven_once_the_worker_was_awake_for_its_lease() {
    let after_ms = proven_after_ms(&mut silent_worker(), 250);
    assert!((9_180..10_000).contains(&after_ms), "{after_ms} ms");

    let paused_after_ms = proven_after_ms(&mut silent_worker(), 2_000);
    assert!(paused_after_ms > 60_000 / 2, "{paused_after_ms} ms");
}

/// Guards against an expiry that is reported while the worker lists its attempts, or by a deadline that an earlier process
/// of the host has set and this one does not know.
#[test]
fn expiry_needs_silence_and_counts_unknown_deadlines() {
    let mut answering = silent_worker();
    for now_ms in (50_000..70_000).step_by(250) {
        answering.advance(now_ms);
        answering.record_answer(now_ms - 49_000, 9_000);
        assert!(!answering.is_proven());
    }
    let mut restarted = LeaseExpiry::default();
    restarted.advance(50_000);
    restarted.record_answer(1_000, 17_000);

    assert!(proven_after_ms(&mut restarted, 250) > 17_000);
}

/// Guards against a deadline that follows from the worker's clock before a suspension, during which that clock stood still.
#[test]
fn suspensions_and_pauses_are_detected() {
    let mut detector = SuspensionDetector::default();
    assert_eq!(detector.observe(1_000, 500), None);
    assert_eq!(detector.observe(1_250, 750), None);

    // The machine was suspended for 100 ms.
    assert_eq!(detector.observe(1_600, 1_000), Some(100));
    // The process was paused, and the worker possibly with it.
    assert_eq!(detector.observe(4_600, 4_000), Some(3_000));
    assert_eq!(detector.observe(4_850, 4_250), None);
}

/// Guards against attempts that run on after the leader has started them elsewhere: the host stops what outlasts the lease.
#[test]
fn lease_ends_by_the_clock_that_counts_suspensions() {
    let mut lease = LeaseClock::new(LEASE_MS, LEASE_MS);
    assert!(!lease.has_ended(100_000, 0));
    lease.record_renewal(10_000);

    assert!(!lease.has_ended(10_000 + LEASE_MS, 1_000));
    assert!(lease.has_ended(11_000 + LEASE_MS, 1_000));
}

/// Returns whether a notice counts as one of an incarnation whose first heartbeat arrived at 1,000.
fn is_own_notice(now_ms: u64, is_draining: bool, is_refused: bool) -> bool {
    let mut notice = EndNotice::new(1_000);
    notice.record_notice(now_ms, is_draining, is_refused);
    notice.is_announced()
}

/// Guards against a late notice of an earlier incarnation that, with refused connections, counts as the end of a worker that
/// runs on (review case 14).
#[test]
fn only_a_notice_of_the_current_incarnation_announces_its_end() {
    assert!(is_own_notice(31_000, true, false));

    assert!(!is_own_notice(30_000, true, false), "it may be late");
    assert!(!is_own_notice(90_000, false, false), "the incarnation does not drain");
    assert!(!is_own_notice(90_000, true, true), "a firewall may refuse connections");
}

/// Guards against a program that counts as ended because connections are refused long after a notice, although it answered
/// meanwhile or was ready again.
#[test]
fn notice_is_outdated_by_later_answers() {
    let mut notice = EndNotice::new(0);
    notice.record_notice(40_000, true, false);
    assert!(!notice.record_answer(40_900));
    assert!(notice.is_announced());

    assert!(notice.record_answer(41_000));
    assert!(!notice.is_announced());
    notice.record_notice(42_000, true, false);
    notice.withdraw();
    assert!(!notice.is_announced());
}

/// Guards against a lease that ends although its host is awake and the longest lease has not passed, and against an extension
/// that outlasts a host that is killed.
#[test]
fn awake_host_extends_the_lease_in_short_steps() {
    let mut lease = LeaseClock::new(LEASE_MS, MAX_LEASE_MS);
    lease.record_worker_clock(500, 10_000);
    lease.record_renewal(10_000);
    assert_eq!(lease.deadline_ms(11_000), Some(500 + LEASE_MS));

    // No leader has renewed the lease for 5 s, and the worker answers each second.
    lease.record_worker_clock(5_500, 15_000);
    assert_eq!(lease.deadline_ms(15_000), Some(5_500 + 2_500));
    lease.record_worker_clock(8_500, 18_000);
    assert_eq!(lease.deadline_ms(18_000), Some(500 + MAX_LEASE_MS));
    assert!(!lease.is_extendable(19_000));
}

/// Guards against an extension after a suspension, which the leader does not count on, and while the worker does not answer.
#[test]
fn host_extends_no_lease_after_a_suspension_or_without_answers() {
    let mut lease = LeaseClock::new(LEASE_MS, MAX_LEASE_MS);
    lease.record_worker_clock(500, 10_000);
    lease.record_renewal(10_000);
    assert_eq!(lease.deadline_ms(15_000), Some(500 + LEASE_MS), "no answer for 5 s");

    lease.record_suspension();
    assert_eq!(lease.deadline_ms(15_000), None);
    lease.record_worker_clock(1_500, 15_000);
    assert_eq!(lease.deadline_ms(15_000), Some(1_500 + 1_000));
    assert!(!lease.is_extendable(15_000));

    lease.record_renewal(15_000);
    assert!(lease.is_extendable(15_000));
}
