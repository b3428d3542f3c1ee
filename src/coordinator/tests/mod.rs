//! Tests of coordinators: real connections on loopback, a store in memory, and workers that do as they are told.

mod submissions;
mod transaction_retry;
mod worker;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::job_rows::job_key;
use super::message::JobUpdate;
use super::takeover::{Head, TakeoverError, head_key, take_over};
use super::*;
use crate::host::{self, HostSettings, WorkerHeartbeat, WorkerTarget};
use crate::planner::{JobProgress, WorkerReport};
use crate::prelude::*;
use crate::rules::{Organisation, Rules};
use crate::store::{MemoryRowStore, RowError, RowKey, RowStore, StoreFault, Transaction};
use crate::workflow::{
    self, JobRecord, JobResult, Resources, StepSpec, WorkerIncarnation, WorkflowSpec,
};
use worker::InProcessWorker;

const DIRECTIVES: &str = "directives";
/// Enough for several elections on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);

fn source() -> DirectiveSource {
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

async fn publish(store: &MemoryRowStore, rules: &Rules) {
    let content = serde_json::to_vec(rules).expect("rules can be written");
    let puts = vec![(RowKey::new(DIRECTIVES, "rules"), content)];
    let transaction = Transaction { puts, ..Transaction::default() };
    store.new_client().transact(&transaction).await.expect("the store takes it");
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

/// A coordinator with a runtime of its own, so that it can be killed.
struct Member {
    running: Running<MemoryRowStore>,
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
        &self.running.service
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.kill();
    }
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has ports");
    listener.local_addr().expect("a bound socket has an address")
}

fn member(name: &str, address: SocketAddr, seeds: &[SocketAddr], store: &MemoryRowStore) -> Member {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime can be built");
    let store = store.new_client();
    let settings = CoordinatorSettings {
        process: ProcessId::from(name),
        inner_address: address,
        seeds: seeds.to_vec(),
        frame_key: [7; 32],
    };
    let started = start(settings, store.clone(), source(), Metrics::default());
    let running = std::thread::scope(|scope| {
        let start = scope.spawn(|| runtime.block_on(started));
        start.join().expect("no panic").expect("the address is free")
    });
    Member { running, runtime: Some(runtime), store }
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
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "{what} within {PATIENCE:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn ready(members: &[Member]) {
    for member in members {
        eventually("a coordinator is ready", || member.service().is_ready()).await;
    }
}

/// Starts a host beside a worker in this process.
async fn start_worker(seeds: &[SocketAddr], run_ms: u64) -> InProcessWorker {
    let port = InProcessWorker::default();
    port.with(|state| state.run_ms = run_ms);
    let settings =
        HostSettings { worker: WorkerId::from("w"), seeds: seeds.to_vec(), frame_key: [7; 32] };
    let running = host::start(settings, port.clone(), Metrics::default());
    let report = WorkerReport {
        incarnation: WorkerIncarnation { worker: WorkerId::from("w"), born_ms: 1 },
        service: "service".to_owned(),
        data_centre: DataCentreId::from("dc"),
        rack: None,
        labels: Vec::new(),
        room: Resources { cores_milli: 8_000, memory_mb: 8_000, accelerators: 8 },
        draining: false,
        leaves_in_ms: None,
    };
    let target = WorkerTarget { address: "w".to_owned(), instance: "i".to_owned() };
    assert!(running.heartbeat(WorkerHeartbeat { report, target, sequence: 1 }).await);
    tokio::spawn(async move {
        let _running = running;
        std::future::pending::<()>().await;
    });
    port
}

fn addresses(members: &[Member]) -> Vec<SocketAddr> {
    members.iter().map(|member| member.running.inner_address).collect()
}

async fn until_over(member: &Member, job: &JobId) -> JobResult {
    let until = Instant::now() + PATIENCE;
    loop {
        if let Ok(Some(JobProgress::Finished(result))) = member.service().progress(job).await {
            return result;
        }
        assert!(Instant::now() < until, "the job is over within {PATIENCE:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a path that is broken between its parts: a job is submitted to each coordinator and done.
#[tokio::test]
async fn jobs_of_all_coordinators_are_done() {
    let store = MemoryRowStore::default();
    publish(&store, &rules(1)).await;
    let members = members(3, &store);
    let worker = start_worker(&addresses(&members), 100).await;
    ready(&members).await;

    for (index, member) in members.iter().enumerate() {
        let job = JobId::from(format!("job{index}").as_str());
        assert_eq!(member.service().submit(&job, &record(), 3_000).await, Submission::Accepted);
        let other = &members[(index + 1) % members.len()];
        assert_eq!(until_over(other, &job).await, JobResult::Done);
    }

    assert_eq!(worker.with(|state| state.starts.len()), 6);
}

/// Guards against jobs that are lost or run twice when the leader dies, and against takeovers that take long.
#[tokio::test]
async fn another_coordinator_goes_on_when_the_leader_dies() {
    let store = MemoryRowStore::default();
    publish(&store, &rules(1)).await;
    let mut members = members(3, &store);
    let worker = start_worker(&addresses(&members), 4_000).await;
    ready(&members).await;
    let job = JobId::from("job");
    assert_eq!(members[0].service().submit(&job, &record(), 3_000).await, Submission::Accepted);
    eventually("the tasks run", || worker.with(|state| state.runs.len()) == 2).await;
    let leader = leader_of(&store).await;

    let index = members.iter().position(|member| member.running.name == leader);
    members[index.expect("the leader is one of them")].kill();
    eventually("another leads", || worker.with(|state| state.fence) > Epoch(1)).await;

    let other = members.iter().find(|member| member.runtime.is_some()).expect("two are left");
    assert_eq!(until_over(other, &job).await, JobResult::Done);
    assert_eq!(worker.with(|state| state.starts.len()), 2);
}

async fn leader_of(store: &MemoryRowStore) -> ProcessId {
    let row = store.new_client().read(&head_key()).await.expect("the store answers");
    let head: Head = workflow::decode(&row.expect("somebody leads").content).expect("a head");
    head.leadership.leader
}

/// Guards against a coordinator that is useless while the store turns it away, and that misses new rules meanwhile.
#[tokio::test]
async fn others_help_a_coordinator_that_the_store_turns_away() {
    let store = MemoryRowStore::default();
    publish(&store, &rules(1)).await;
    let members = members(3, &store);
    let _worker = start_worker(&addresses(&members), 100).await;
    ready(&members).await;
    let leader = leader_of(&store).await;
    let cut_off = members.iter().find(|member| member.running.name != leader).expect("two follow");

    cut_off.store.set_fault(StoreFault::Down);
    publish(&store, &rules(2)).await;
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
    assert_eq!(until_over(cut_off, &job).await, JobResult::Done);
}

/// Guards against a leader that leads on while the store turns it away.
#[tokio::test]
async fn a_leader_that_the_store_turns_away_is_replaced() {
    let store = MemoryRowStore::default();
    publish(&store, &rules(1)).await;
    let members = members(3, &store);
    ready(&members).await;
    let leader = leader_of(&store).await;
    let cut_off = members.iter().find(|member| member.running.name == leader);

    cut_off.expect("the leader is one of them").store.set_fault(StoreFault::Down);

    let until = Instant::now() + PATIENCE;
    while leader_of(&store).await == leader {
        assert!(Instant::now() < until, "another leads within {PATIENCE:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against jobs and rules that are missed because the connections of the watches went silent without an end.
#[tokio::test]
async fn feeds_whose_connections_go_silent_are_opened_again() {
    let store = MemoryRowStore::default();
    publish(&store, &rules(1)).await;
    let members = members(1, &store);
    let _worker = start_worker(&addresses(&members), 100).await;
    ready(&members).await;

    store.stall_watches();
    publish(&store, &rules(2)).await;
    let silent_since = Instant::now();
    let job = JobId::from("job");
    let key = job_key(job.as_str());
    let puts = vec![(key, workflow::encode(&record()))];
    let transaction = Transaction { puts, ..Transaction::default() };
    store.new_client().transact(&transaction).await.expect("the store takes it");

    assert_eq!(until_over(&members[0], &job).await, JobResult::Done);
    eventually("the new rules arrive", || {
        members[0].service().rules().is_some_and(|rules| rules.version == 2)
    })
    .await;
    assert!(silent_since.elapsed() < Duration::from_secs(5));
}

/// Guards against rules that go back to an older version, whatever an old read says.
#[tokio::test]
async fn rules_only_move_forward() {
    let store = MemoryRowStore::default();
    publish(&store, &rules(5)).await;
    let members = members(1, &store);
    ready(&members).await;

    publish(&store, &rules(4)).await;
    store.forget_history();
    publish(&store, &rules(6)).await;
    eventually("the newest rules are in force", || {
        let version = members[0].service().rules().map(|rules| rules.version);
        assert!(version >= Some(5));
        version == Some(6)
    })
    .await;
}

/// Guards against a transaction of an earlier leader that is applied after its replacement.
#[tokio::test]
async fn a_late_transaction_of_an_earlier_leader_has_no_effect() {
    let store = MemoryRowStore::default();
    let address = free_address();
    let first = ProcessId::from("first");
    let second = ProcessId::from("second");
    let taken = take_over(&store, (&first, address, Incarnation(1)), None).await;
    let taken = taken.expect("nobody leads");
    let late = Transaction {
        conditions: vec![(head_key(), taken.head_version)],
        puts: vec![(RowKey::new(PROGRESS_TABLE, "job.0"), vec![1])],
        removals: Vec::new(),
    };

    store.set_fault(StoreFault::Late);
    assert!(matches!(store.transact(&late).await, Err(RowError::Unknown { .. })));
    let own = (&second, address, Incarnation(2));
    let other = store.new_client();
    let replaced = take_over(&other, own, Some(&taken.leadership)).await.expect("it is silent");
    store.apply_late();

    assert!(replaced.leadership.epoch > taken.leadership.epoch);
    let row = other.read(&RowKey::new(PROGRESS_TABLE, "job.0")).await;
    assert_eq!(row, Ok(None));
}

/// Guards against two leaders of one epoch, and against a candidate that replaces a leader that it has not heard of.
#[tokio::test]
async fn a_candidate_that_comes_late_learns_who_leads() {
    let store = MemoryRowStore::default();
    let address = free_address();
    let names = [ProcessId::from("a"), ProcessId::from("b"), ProcessId::from("c")];
    let first = take_over(&store, (&names[0], address, Incarnation(1)), None).await;
    let first = first.expect("nobody leads").leadership;
    let second = take_over(&store, (&names[1], address, Incarnation(2)), Some(&first)).await;
    let second = second.expect("the first is silent").leadership;

    let third = take_over(&store, (&names[2], address, Incarnation(3)), Some(&first)).await;

    assert!(matches!(third, Err(TakeoverError::Lost(Some(leader))) if leader == second));
}

/// Guards against a takeover whose answer is lost: the same process takes over from itself.
#[tokio::test]
async fn a_takeover_whose_answer_is_lost_is_repeated() {
    let store = MemoryRowStore::default();
    let own = ProcessId::from("a");
    let own = (&own, free_address(), Incarnation(1));
    store.set_fault(StoreFault::LostAnswers);
    assert!(matches!(take_over(&store, own, None).await, Err(TakeoverError::Store(_))));

    store.set_fault(StoreFault::None);
    let taken = take_over(&store, own, None).await.expect("it leads already");

    assert_eq!(taken.leadership.epoch, Epoch(2));
}

/// Guards against an earlier leader whose late report replaces that of its successor, and against accepted jobs that
/// vanish from the view when a new leader tells what it has.
#[test]
fn the_view_of_jobs_follows_the_newest_leader() {
    let mut view = JobView::default();
    let (job, other) = (JobId::from("job"), JobId::from("other"));
    let update = |job: &JobId, progress| JobUpdate {
        job: job.clone(),
        queue: "queue".to_owned(),
        progress: Some(progress),
    };
    view.accepted(&job, "queue");
    view.update(Epoch(2), true, &[update(&other, JobProgress::Running)]);
    assert_eq!(view.progress(&job), Some(JobProgress::Pending));
    assert_eq!(view.waiting("queue"), 1);

    view.update(Epoch(2), false, &[update(&job, JobProgress::Finished(JobResult::Done))]);
    view.update(Epoch(1), false, &[update(&job, JobProgress::Running)]);

    assert_eq!(view.progress(&job), Some(JobProgress::Finished(JobResult::Done)));
    assert_eq!(view.waiting("queue"), 0);
}
