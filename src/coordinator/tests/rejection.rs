//! Tests of submissions that are rejected under load.

use super::*;
use crate::admission::{LoadSummary, ServiceLoad, WorkerGroup};
use crate::rules::Queue;

fn rules_with_queue() -> Rules {
    let queue = Queue {
        name: "queue".to_owned(),
        host: String::new(),
        path_start: String::new(),
        service: "service".to_owned(),
        priority: 0,
        attempts: 3,
        stretch: 1.5,
        objective_ms: 300,
        public: true,
    };
    Rules { queues: vec![queue], organisations: Vec::new(), ..rules(1) }
}

/// Returns a load under which every urgent job is rejected.
fn overload() -> LoadSummary {
    let room = Resources { cores_milli: 8_000, memory_mb: 8_000, accelerators: 8 };
    let group = WorkerGroup { labels: Vec::new(), room, workers: 1 };
    let service = ServiceLoad {
        service: "service".to_owned(),
        groups: vec![group],
        backlog_ms: vec![(0, 600_000)],
    };
    LoadSummary { services: vec![service], ..LoadSummary::default() }
}

/// Starts a coordinator without workers, so that it publishes no load of its own for the service.
async fn overloaded_member(store: &MemoryRowStore) -> Vec<Member> {
    publish_rules(store, &rules_with_queue()).await;
    let members = members(1, store);
    wait_until_ready(&members).await;
    set_load(&members[0], overload());
    members
}

fn set_load(member: &Member, load: LoadSummary) {
    let service = member.service();
    service.shared.set_load(service.clock.now_ms(), load);
}

async fn row_of(store: &MemoryRowStore, job: &JobId) -> Option<Vec<u8>> {
    let row = store.new_client().read(&job_key(job.as_str())).await;
    row.expect("the store answers").map(|row| row.content)
}

/// Guards against a rejected job that is stored, and against one that is reported as existing.
#[tokio::test]
async fn rejected_job_is_not_stored_and_has_no_state() {
    let store = MemoryRowStore::default();
    let members = overloaded_member(&store).await;
    let job = JobId::from("job");

    let outcome = members[0].service().submit(&job, &record(), 3_000).await;

    assert!(matches!(outcome, Submission::Rejected { retry_after_s: 1.., .. }), "{outcome:?}");
    assert_eq!(members[0].service().progress(&job).await, Ok(None));
    assert_eq!(row_of(&store, &job).await, Some(Vec::new()));
}

/// Guards against a job that runs although its client was told that it never does: the write of an earlier request
/// without an answer is applied after the rejection.
#[tokio::test]
async fn late_write_of_an_earlier_request_is_not_applied_after_a_rejection() {
    let store = MemoryRowStore::default();
    let members = overloaded_member(&store).await;
    let job = JobId::from("job");
    let earlier = Transaction {
        conditions: vec![(job_key("job"), 0)],
        puts: vec![(job_key("job"), workflow::encode(&record()))],
        removals: Vec::new(),
    };
    let late_client = store.new_client();
    late_client.set_fault(StoreFault::Delayed);
    assert!(matches!(late_client.transact(&earlier).await, Err(RowError::Unknown { .. })));

    let outcome = members[0].service().submit(&job, &record(), 3_000).await;
    late_client.apply_delayed();

    assert!(matches!(outcome, Submission::Rejected { .. }), "{outcome:?}");
    assert_eq!(row_of(&store, &job).await, Some(Vec::new()));
}

/// Guards against an accepted job whose repeated submission is rejected, and against a rejected one that can never be
/// submitted again.
#[tokio::test]
async fn resubmission_follows_the_stored_row() {
    let store = MemoryRowStore::default();
    let members = overloaded_member(&store).await;
    let service = members[0].service();
    let (stored, rejected) = (JobId::from("stored"), JobId::from("rejected"));
    let puts = vec![(job_key("stored"), workflow::encode(&record()))];
    let transaction = Transaction { puts, ..Transaction::default() };
    store.new_client().transact(&transaction).await.expect("the store answers");

    assert_eq!(service.submit(&stored, &record(), 3_000).await, Submission::Accepted);
    let outcome = service.submit(&rejected, &record(), 3_000).await;
    assert!(matches!(outcome, Submission::Rejected { .. }), "{outcome:?}");
    set_load(&members[0], LoadSummary::default());
    assert_eq!(service.submit(&rejected, &record(), 3_000).await, Submission::Accepted);

    assert_eq!(row_of(&store, &rejected).await, Some(workflow::encode(&record())));
}

/// Guards against rejections by a load that is no longer known.
#[tokio::test]
async fn outdated_load_rejects_nothing() {
    let store = MemoryRowStore::default();
    let members = overloaded_member(&store).await;
    let service = members[0].service();
    let arrived_ms = service.clock.now_ms().saturating_sub(10_000);
    service.shared.set_load(arrived_ms, overload());

    let outcome = service.submit(&JobId::from("job"), &record(), 3_000).await;

    assert_eq!(outcome, Submission::Accepted);
}

/// Guards against a job that runs although its client was told that it never does: another coordinator still repeats the
/// write of an earlier request, and takes the row of the rejection for one that it may replace.
#[tokio::test]
async fn submission_in_progress_does_not_replace_a_newer_rejection() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules_with_queue()).await;
    let members = members(2, &store);
    wait_until_ready(&members).await;
    let job = JobId::from("job");
    let earlier = slow_submission(&members[0], &job).await;

    set_load(&members[1], overload());
    let rejected = members[1].service().submit(&job, &record(), 3_000).await;

    assert!(matches!(rejected, Submission::Rejected { .. }), "{rejected:?}");
    assert_eq!(earlier.await.expect("no panic"), Submission::NotAccepted);
    assert_eq!(row_of(&store, &job).await, Some(Vec::new()));
}
