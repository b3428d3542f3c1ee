//! Tests of coordinators with connections on loopback, a store in memory and an in-process worker that carries out all
//! orders.

mod cancellations;
mod damaged_rows;
mod directives_lag;
mod host_connections;
mod lost_answers;
mod lost_progress;
mod pause;
mod rejection;
mod replaced_coordinators;
mod restarted_worker;
mod row_limits;
mod slow_takeover;
mod submissions;
mod suspended_worker;
mod transaction_retry;
mod undurable_result;
mod uneven_machines;
mod unreachable_worker;
mod worker;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use super::job_rows::job_key;
use super::message::JobUpdate;
use super::takeover::{Candidate, Head, TakeoverError, claim_leadership, head_key};
use super::*;
use crate::election::MachineLimits;
use crate::host::{self, HostHandle, HostSettings, WorkerHeartbeat, WorkerTarget};
use crate::planner::{JobProgress, WorkerReport};
use crate::prelude::*;
use crate::rules::{Organisation, Rules};
use crate::store::{MemoryRowStore, RowError, RowKey, RowStore, StoreFault, Transaction};
use crate::workflow::{
    self, JobRecord, JobResult, Resources, StepSpec, WorkerIncarnation, WorkflowSpec,
};
use worker::InProcessWorker;

const DIRECTIVES: &str = "directives";
/// The time limit for an expected state, which is enough for several elections on a busy machine.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

fn directive_source() -> DirectiveSource {
    let decode = |key: &str, content: &[u8]| match key {
        "rules" => serde_json::from_slice::<Rules>(content)
            .map(|rules| Some(DirectiveChange::Rules(Arc::new(rules))))
            .map_err(|error| error.to_string()),
        _ => Ok(None),
    };
    let data_centre_of = |key: &str| key.strip_prefix("out/").map(DataCentreId::from);
    DirectiveSource { table: DIRECTIVES, decode, data_centre_of }
}

fn rules(version: u64) -> Rules {
    let organisation = Organisation {
        name: OrganisationId::from("org"),
        keys: vec!["key".to_owned()],
        guaranteed_accelerators: 8,
    };
    Rules { version, organisations: vec![organisation], ..Rules::default() }
}

async fn publish_rules(store: &MemoryRowStore, rules: &Rules) {
    let content = serde_json::to_vec(rules).expect("rules can be written");
    let puts = vec![(RowKey::new(DIRECTIVES, "rules"), content)];
    let transaction = Transaction { puts, ..Transaction::default() };
    store.new_client().transact(&transaction).await.expect("the store applies the transaction");
}

fn record() -> JobRecord {
    let need = Resources { cores_milli: 1_000, memory_mb: 100, accelerators: 1 };
    let step = StepSpec { tasks: 2, need, ..StepSpec::default() };
    JobRecord {
        queue: "queue".to_owned(),
        organisation: OrganisationId::from("org"),
        service: "service".to_owned(),
        priority: 0,
        attempts: 3,
        accepted_ms: 1,
        spec: WorkflowSpec { payload: "p".to_owned(), steps: vec![step], schedule: None },
    }
}

fn candidate(name: &str, address: SocketAddr, incarnation: u64) -> Candidate {
    Candidate { process: ProcessId::from(name), address, incarnation: Incarnation(incarnation) }
}

/// A coordinator with its own runtime, so that a test can kill it.
struct Member {
    handle: CoordinatorHandle<MemoryRowStore>,
    runtime: Option<tokio::runtime::Runtime>,
    store: MemoryRowStore,
}

impl Member {
    fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    fn service(&self) -> &Service<MemoryRowStore> {
        &self.handle.service
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns an address on a loopback host of its own, so that no connection takes the port before it is bound.
fn free_address() -> SocketAddr {
    static HOSTS: AtomicU32 = AtomicU32::new(1);
    let [_, _, process_high, process_low] = std::process::id().to_be_bytes();
    let host = HOSTS.fetch_add(1, Ordering::Relaxed) as u8;
    let host = std::net::Ipv4Addr::new(127, process_high | 1, process_low, host);
    let listener = std::net::TcpListener::bind((host, 0)).expect("loopback has ports");
    listener.local_addr().expect("a bound socket has an address")
}

fn member(name: &str, address: SocketAddr, seeds: &[SocketAddr], store: &MemoryRowStore) -> Member {
    member_with_fault(name, address, seeds, store, StoreFault::None)
}

/// Starts a coordinator whose client of the store has a fault from the beginning.
fn member_with_fault(
    name: &str,
    address: SocketAddr,
    seeds: &[SocketAddr],
    store: &MemoryRowStore,
    fault: StoreFault,
) -> Member {
    member_on_machine(name, address, seeds, store, fault, None)
}

/// Starts a coordinator on a machine with the stated limits.
fn member_on_machine(
    name: &str,
    address: SocketAddr,
    seeds: &[SocketAddr],
    store: &MemoryRowStore,
    fault: StoreFault,
    machine: Option<MachineLimits>,
) -> Member {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime can be built");
    let store = store.new_client();
    store.set_fault(fault);
    let settings = CoordinatorSettings {
        speed_spread_percent: None,
        worker_lease_ms: MAX_WORKER_LEASE_MS,
        row_limit_bytes: DEFAULT_ROW_LIMIT_BYTES,
        cost: None,
        machine,
        process: ProcessId::from(name),
        inner_address: address,
        seeds: seeds.to_vec(),
        frame_key: [7; 32],
    };
    let metrics = Metrics::default();
    let bounds = intake(&metrics);
    let started = start(settings, store.clone(), directive_source(), metrics, bounds);
    let handle = std::thread::scope(|scope| {
        let start = scope.spawn(|| runtime.block_on(started));
        start.join().expect("no panic").expect("the address is free")
    });
    Member { handle, runtime: Some(runtime), store }
}

/// Returns the bounds of a process whose machine states no limits.
fn intake(metrics: &Metrics) -> Intake {
    Intake::new(&process::intake::MachineLimits::default(), metrics)
}

fn members(count: usize, store: &MemoryRowStore) -> Vec<Member> {
    let addresses: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
    let start = |(index, address): (usize, &SocketAddr)| {
        member(&format!("c{index}"), *address, &addresses, store)
    };
    addresses.iter().enumerate().map(start).collect()
}

async fn eventually<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let until = Instant::now() + WAIT_LIMIT;
    while !holds() {
        assert!(Instant::now() < until, "{what} within {WAIT_LIMIT:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn wait_until_ready(members: &[Member]) {
    for member in members {
        eventually("a coordinator is ready", || member.service().is_ready()).await;
    }
}

/// Starts a host and its worker in this process.
async fn start_worker(
    seeds: &[SocketAddr],
    store: &MemoryRowStore,
    task_duration_ms: u64,
) -> InProcessWorker {
    let (port, host) = start_host(seeds, store, task_duration_ms).await;
    tokio::spawn(async move {
        let _host = host;
        std::future::pending::<()>().await;
    });
    port
}

async fn start_host(
    seeds: &[SocketAddr],
    store: &MemoryRowStore,
    task_duration_ms: u64,
) -> (InProcessWorker, HostHandle<InProcessWorker>) {
    let port = InProcessWorker::default();
    port.with(|state| state.task_duration_ms = task_duration_ms);
    let settings = HostSettings {
        worker: WorkerId::from("w"),
        seeds: seeds.to_vec(),
        frame_key: [7; 32],
        worker_lease_ms: MAX_WORKER_LEASE_MS,
    };
    let bounds = intake(&Metrics::default()).links;
    let host = host::start(settings, port.clone(), store.new_client(), Metrics::default(), bounds);
    assert!(host.heartbeat(heartbeat(&port, 1)).await);
    (port, host)
}

/// Returns a heartbeat of the worker's current incarnation.
fn heartbeat(port: &InProcessWorker, sequence: u64) -> WorkerHeartbeat {
    let born_ms = port.with(|state| state.born_ms());
    let report = WorkerReport {
        incarnation: WorkerIncarnation { worker: WorkerId::from("w"), born_ms },
        service: "service".to_owned(),
        data_centre: DataCentreId::from("dc"),
        rack: None,
        labels: Vec::new(),
        room: Resources { cores_milli: 8_000, memory_mb: 8_000, accelerators: 8 },
        draining: false,
        leaves_in_ms: None,
    };
    let target = WorkerTarget { address: "w".to_owned(), instance: "i".to_owned() };
    WorkerHeartbeat { report, target, sequence }
}

fn addresses(members: &[Member]) -> Vec<SocketAddr> {
    members.iter().map(|member| member.handle.inner_address).collect()
}

/// Begins a submission whose write the store applies after 0.6 s.
async fn slow_submission(member: &Member, job: &JobId) -> tokio::task::JoinHandle<Submission> {
    member.store.set_fault(StoreFault::Slow(Duration::from_millis(600)));
    let (service, job) = (member.service().clone(), job.clone());
    let submission = tokio::spawn(async move { service.submit(&job, &record(), 3_000).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    submission
}

async fn wait_until_finished(member: &Member, job: &JobId) -> JobResult {
    let until = Instant::now() + WAIT_LIMIT;
    loop {
        if let Ok(Some(JobProgress::Finished(result))) = member.service().progress(job).await {
            return result;
        }
        assert!(Instant::now() < until, "the job is finished within {WAIT_LIMIT:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a break anywhere on the path from submission to completion: a job that a client submits to any
/// coordinator has to reach the leader, be run by the worker and be reported as done by another coordinator.
#[tokio::test]
async fn job_submitted_to_any_coordinator_is_done() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(3, &store);
    let worker = start_worker(&addresses(&members), &store, 100).await;
    wait_until_ready(&members).await;

    for (index, member) in members.iter().enumerate() {
        let job = JobId::from(format!("job{index}").as_str());
        assert_eq!(member.service().submit(&job, &record(), 3_000).await, Submission::Accepted);
        let other = &members[(index + 1) % members.len()];
        assert_eq!(wait_until_finished(other, &job).await, JobResult::Done);
    }

    assert_eq!(worker.with(|state| state.starts.len()), 6);
}

/// Guards against jobs that are lost or started twice when the leader dies, and against takeovers that take too long.
#[tokio::test]
async fn leader_dies_while_tasks_run_and_new_leader_finishes_the_job() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let mut members = members(3, &store);
    let worker = start_worker(&addresses(&members), &store, 4_000).await;
    wait_until_ready(&members).await;
    let job = JobId::from("job");
    assert_eq!(members[0].service().submit(&job, &record(), 3_000).await, Submission::Accepted);
    eventually("the tasks run", || worker.with(|state| state.running.len()) == 2).await;
    let leader = leader_of(&store).await;

    let index = members.iter().position(|member| member.handle.name == leader);
    members[index.expect("the leader is one of them")].kill();
    eventually("another coordinator leads", || worker.with(|state| state.fence) > Epoch(1)).await;

    let other =
        members.iter().find(|member| member.runtime.is_some()).expect("two coordinators remain");
    assert_eq!(wait_until_finished(other, &job).await, JobResult::Done);
    assert_eq!(worker.with(|state| state.starts.len()), 2);
}

async fn leader_of(store: &MemoryRowStore) -> ProcessId {
    let row = store.new_client().read(&head_key()).await.expect("the store answers");
    let head: Head = workflow::decode(&row.expect("there is a leader").content).expect("a head");
    head.leadership.leader
}

/// Guards against a coordinator that rejects all submissions and misses new rules while the store is down for it alone.
/// The other coordinators relay its calls and send it the directives.
#[tokio::test]
async fn store_is_down_for_one_follower_and_others_relay_its_calls() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(3, &store);
    let _worker = start_worker(&addresses(&members), &store, 100).await;
    wait_until_ready(&members).await;
    let leader = leader_of(&store).await;
    let cut_off = members
        .iter()
        .find(|member| member.handle.name != leader)
        .expect("two coordinators do not lead");

    cut_off.store.set_fault(StoreFault::Down);
    publish_rules(&store, &rules(2)).await;
    eventually("the new rules arrive", || {
        cut_off.service().rules().is_some_and(|rules| rules.version == 2)
    })
    .await;
    let job = JobId::from("job");
    let mut outcome = Submission::NotAccepted;
    for _ in 0..50 {
        outcome = cut_off.service().submit(&job, &record(), 3_000).await;
        if outcome == Submission::Accepted {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }

    assert_eq!(outcome, Submission::Accepted);
    assert_eq!(wait_until_finished(cut_off, &job).await, JobResult::Done);
}

/// Guards against a leader that keeps the leadership while the store is down for it alone, so that it can commit
/// nothing.
#[tokio::test]
async fn store_is_down_for_the_leader_and_another_coordinator_replaces_it() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(3, &store);
    wait_until_ready(&members).await;
    let leader = leader_of(&store).await;
    let cut_off = members.iter().find(|member| member.handle.name == leader);

    cut_off.expect("the leader is one of them").store.set_fault(StoreFault::Down);

    let until = Instant::now() + WAIT_LIMIT;
    while leader_of(&store).await == leader {
        assert!(Instant::now() < until, "another coordinator leads within {WAIT_LIMIT:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against jobs and rules that are missed because the connections of the watches deliver nothing more but are
/// not closed.
#[tokio::test]
async fn stalled_watches_are_reopened_and_deliver_missed_changes() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(1, &store);
    let _worker = start_worker(&addresses(&members), &store, 100).await;
    wait_until_ready(&members).await;

    store.stall_watches();
    publish_rules(&store, &rules(2)).await;
    let stalled_since = Instant::now();
    let job = JobId::from("job");
    let key = job_key(job.as_str());
    let puts = vec![(key, workflow::encode(&record()))];
    let transaction = Transaction { puts, ..Transaction::default() };
    store.new_client().transact(&transaction).await.expect("the store applies the transaction");

    assert_eq!(wait_until_finished(&members[0], &job).await, JobResult::Done);
    eventually("the new rules arrive", || {
        members[0].service().rules().is_some_and(|rules| rules.version == 2)
    })
    .await;
    assert!(stalled_since.elapsed() < Duration::from_secs(5));
}

/// Guards against rules that return to an older version because a read returns an older row.
#[tokio::test]
async fn older_rules_in_the_store_never_replace_newer_ones() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(5)).await;
    let members = members(1, &store);
    wait_until_ready(&members).await;

    publish_rules(&store, &rules(4)).await;
    store.discard_history();
    publish_rules(&store, &rules(6)).await;
    eventually("the newest rules are applied", || {
        let version = members[0].service().rules().map(|rules| rules.version);
        assert!(version >= Some(5));
        version == Some(6)
    })
    .await;
}

/// Guards against a transaction of an earlier leader that the store applies after another coordinator replaced that
/// leader.
#[tokio::test]
async fn late_transaction_of_replaced_leader_is_not_applied() {
    let store = MemoryRowStore::default();
    let address = free_address();
    let claim = claim_leadership(&store, &candidate("first", address, 1), None).await;
    let claim = claim.expect("there is no leader");
    let late = Transaction {
        conditions: vec![(head_key(), claim.head_version)],
        puts: vec![(RowKey::new(PROGRESS_TABLE, "job.0"), vec![1])],
        removals: Vec::new(),
    };

    store.set_fault(StoreFault::Delayed);
    assert!(matches!(store.transact(&late).await, Err(RowError::Unknown { .. })));
    let other = store.new_client();
    let second = candidate("second", address, 2);
    let replacement = claim_leadership(&other, &second, Some(&claim.head.leadership)).await;
    let replacement = replacement.expect("the stored leadership is the last observed one");
    store.apply_delayed();

    assert!(replacement.head.leadership.epoch > claim.head.leadership.epoch);
    let row = other.read(&RowKey::new(PROGRESS_TABLE, "job.0")).await;
    assert_eq!(row, Ok(None));
}

/// Guards against two leaders of one epoch, and against a candidate that replaces a leader which it has not yet
/// observed.
#[tokio::test]
async fn candidate_with_outdated_leadership_fails_and_receives_the_current_one() {
    let store = MemoryRowStore::default();
    let address = free_address();
    let first = claim_leadership(&store, &candidate("a", address, 1), None).await;
    let first = first.expect("there is no leader").head.leadership;
    let second = claim_leadership(&store, &candidate("b", address, 2), Some(&first)).await;
    let second = second.expect("the stored leadership is the last observed one").head.leadership;

    let third = claim_leadership(&store, &candidate("c", address, 3), Some(&first)).await;

    assert!(matches!(third, Err(TakeoverError::Lost(Some(leader))) if leader == second));
}

/// Guards against a process that cannot lead after the answer to its takeover was lost, because the stored leader is
/// then the process itself.
#[tokio::test]
async fn repeated_takeover_after_lost_answer_succeeds_with_next_epoch() {
    let store = MemoryRowStore::default();
    let candidate = candidate("a", free_address(), 1);
    store.set_fault(StoreFault::LostAnswers);
    let unknown = claim_leadership(&store, &candidate, None).await;
    assert!(matches!(unknown, Err(TakeoverError::Store(_))));

    store.set_fault(StoreFault::None);
    let claim = claim_leadership(&store, &candidate, None).await;

    let claim = claim.expect("the stored leader is itself");
    assert_eq!(claim.head.leadership.epoch, Epoch(2));
}

/// Guards against a late report of an earlier leader that replaces its successor's, and against accepted jobs that are
/// removed from the view when the snapshot of a new leader lacks them.
#[test]
fn view_ignores_earlier_leaders_and_keeps_accepted_jobs_on_snapshot() {
    let mut view = JobView::default();
    let (job, other) = (JobId::from("job"), JobId::from("other"));
    let update = |job: &JobId, progress| JobUpdate {
        job: job.clone(),
        queue: "queue".to_owned(),
        progress: Some(progress),
    };
    view.add_accepted(&job, "queue");
    view.update(Epoch(2), true, &[update(&other, JobProgress::Running)]);
    assert_eq!(view.progress(&job), Some(JobProgress::Pending));
    assert_eq!(view.waiting("queue"), 1);

    view.update(Epoch(2), false, &[update(&job, JobProgress::Finished(JobResult::Done))]);
    view.update(Epoch(1), false, &[update(&job, JobProgress::Running)]);

    assert_eq!(view.progress(&job), Some(JobProgress::Finished(JobResult::Done)));
    assert_eq!(view.waiting("queue"), 0);
}
