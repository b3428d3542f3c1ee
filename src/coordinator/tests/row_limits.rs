//! Tests of coordinators whose rows come close to the limits of the store.

use super::*;

/// A job whose tasks need no resources.
fn wide_record(tasks: u32) -> JobRecord {
    let mut record = record();
    record.spec.steps[0] = StepSpec { tasks, ..StepSpec::default() };
    record
}

/// Guards against leaders that step down one after the other because the state of a large job with long checkpoints
/// exceeds a row of the store (review case 7).
#[tokio::test]
async fn state_of_a_large_job_does_not_stop_the_leader() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(2, &store);
    let worker = start_worker(&addresses(&members), &store, 1_500).await;
    worker.with(|state| {
        state.checkpoint = Some("s".repeat(64));
        state.stagger_us = 1_000;
    });
    wait_until_ready(&members).await;

    let (large, small) = (JobId::from("large"), JobId::from("small"));
    let service = members[0].service();
    assert_eq!(service.submit(&large, &wide_record(1_024), 3_000).await, Submission::Accepted);
    eventually("the tasks run", || worker.with(|state| state.running.len()) > 900).await;
    assert_eq!(service.submit(&small, &record(), 3_000).await, Submission::Accepted);

    assert_eq!(wait_until_finished(&members[1], &large).await, JobResult::Done);
    assert_eq!(wait_until_finished(&members[1], &small).await, JobResult::Done);
    assert_eq!(store.refused_transactions(), 0);
    assert_eq!(worker.with(|state| state.fence), Epoch(1));
}

/// Guards against leaders that step down one after the other because the store refuses the state of one job, whatever the
/// reason.
#[tokio::test]
async fn refused_state_of_one_job_does_not_stop_the_leader() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(2, &store);
    let worker = start_worker(&addresses(&members), &store, 200).await;
    wait_until_ready(&members).await;
    store.set_row_limit(400);

    let (large, small) = (JobId::from("large"), JobId::from("small"));
    let service = members[0].service();
    assert_eq!(service.submit(&large, &wide_record(60), 3_000).await, Submission::Accepted);
    assert_eq!(service.submit(&small, &record(), 3_000).await, Submission::Accepted);
    assert_eq!(wait_until_finished(&members[1], &small).await, JobResult::Done);
    let started = worker.with(|state| state.starts.clone());
    assert!(started.iter().all(|(task, _)| task.job == small), "{started:?}");
    assert_eq!(worker.with(|state| state.fence), Epoch(1));

    store.set_row_limit(DEFAULT_ROW_LIMIT_BYTES);
    assert_eq!(wait_until_finished(&members[1], &large).await, JobResult::Done);
}

/// Guards against a job that clients submit without end because the store can never hold it.
#[tokio::test]
async fn job_that_exceeds_a_row_is_rejected_for_good() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(1, &store);
    wait_until_ready(&members).await;
    let mut too_large = record();
    too_large.spec.steps[0].required_label = Some("l".repeat(DEFAULT_ROW_LIMIT_BYTES));

    let service = members[0].service();
    let outcome = service.submit(&JobId::from("job"), &too_large, 3_000).await;

    assert!(matches!(outcome, Submission::TooLarge { .. }), "{outcome:?}");
    assert_eq!(service.progress(&JobId::from("job")).await, Ok(None));
}
