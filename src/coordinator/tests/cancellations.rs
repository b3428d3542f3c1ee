//! Tests of cancellations of jobs whose submissions have no answer yet.

use super::super::job_rows::{JobListing, cancel_key};
use super::super::takeover::read_jobs;
use super::*;

async fn is_stored(store: &MemoryRowStore, key: &RowKey) -> bool {
    store.new_client().read(key).await.expect("the store answers").is_some()
}

/// Guards against a job that runs although its client was told that there is no such job: the write of its submission is
/// applied after the answer (review case 15).
#[tokio::test]
async fn late_write_is_not_applied_after_a_cancellation_found_no_job() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(1, &store);
    wait_until_ready(&members).await;
    let (service, job) = (members[0].service(), JobId::from("job"));
    members[0].store.set_fault(StoreFault::Delayed);
    assert_eq!(service.submit(&job, &record(), 1_000).await, Submission::Unknown);
    members[0].store.set_fault(StoreFault::None);
    eventually("the store answers again", || !service.store.is_failing()).await;

    let cancelled = service.cancel(&job, 3_000).await;
    members[0].store.apply_delayed();

    assert_eq!(cancelled, Cancellation::NoSuchJob);
    assert!(!is_stored(&store, &job_key("job")).await);
    assert_eq!(service.progress(&job).await, Ok(None));
}

/// Guards against a coordinator that still repeats the write of a submission and stores the job after another one has
/// answered that there is no such job.
#[tokio::test]
async fn submission_in_progress_does_not_store_a_cancelled_job() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(2, &store);
    wait_until_ready(&members).await;
    let job = JobId::from("job");
    let submission = slow_submission(&members[0], &job).await;

    assert_eq!(members[1].service().cancel(&job, 3_000).await, Cancellation::NoSuchJob);

    assert_eq!(submission.await.expect("no panic"), Submission::Cancelled);
    assert!(!is_stored(&store, &job_key("job")).await);
}

/// Guards against a job that is stored by a repetition of its submission that arrives after its cancellation, and against
/// cancellations of one job that contradict each other.
#[tokio::test]
async fn cancelled_job_is_not_stored_by_a_later_submission() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(1, &store);
    wait_until_ready(&members).await;
    let (service, job) = (members[0].service(), JobId::from("job"));

    assert_eq!(service.cancel(&job, 3_000).await, Cancellation::NoSuchJob);
    assert_eq!(service.submit(&job, &record(), 3_000).await, Submission::Cancelled);
    assert_eq!(service.cancel(&job, 3_000).await, Cancellation::NoSuchJob);

    assert!(!is_stored(&store, &job_key("job")).await);
}

/// Guards against an answer "no such job" while the store has not confirmed the cancellation.
#[tokio::test]
async fn cancellation_without_an_answer_of_the_store_is_in_doubt() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(1, &store);
    wait_until_ready(&members).await;

    members[0].store.set_fault(StoreFault::Delayed);
    let outcome = members[0].service().cancel(&JobId::from("job"), 1_000).await;

    assert_eq!(outcome, Cancellation::Unknown);
}

/// Guards against rows of cancellations that stay in the store for good because the coordinator that wrote them has ended.
#[tokio::test]
async fn new_leader_finds_cancellations_without_a_job() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(1, &store);
    wait_until_ready(&members).await;
    let service = members[0].service();
    let (stored, missing) = (JobId::from("stored"), JobId::from("missing"));
    assert_eq!(service.submit(&stored, &record(), 3_000).await, Submission::Accepted);
    assert_eq!(service.cancel(&stored, 3_000).await, Cancellation::Accepted);
    assert_eq!(service.cancel(&missing, 3_000).await, Cancellation::NoSuchJob);
    let candidate = candidate("c0", free_address(), 1);
    let claim = claim_leadership(&store, &candidate, None).await;
    let claim = claim.expect("the process has led before");

    let takeover = read_jobs(&service.store, &claim, &mut JobListing::default()).await;

    let found = takeover.expect("the store answers").early_cancellations;
    assert_eq!(found.iter().map(|(job, _)| job).collect::<Vec<_>>(), [&missing]);
    assert!(is_stored(&store, &cancel_key("missing")).await);
}
