//! Tests of jobs whose workers' answers are lost.

use super::*;

/// Guards against a task that runs again after it is done: the answer to its start is lost, it ends before the start is
/// repeated, and the worker then refuses the repeated start.
#[tokio::test]
async fn task_that_ended_before_its_start_was_answered_does_not_run_again() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(1, &store);
    let worker = start_worker(&addresses(&members), &store, 100).await;
    worker.with(|state| state.loses_start_answers = true);
    wait_until_ready(&members).await;

    let job = JobId::from("job");
    assert_eq!(members[0].service().submit(&job, &record(), 3_000).await, Submission::Accepted);
    assert_eq!(wait_until_finished(&members[0], &job).await, JobResult::Done);

    let started = worker.with(|state| state.starts.clone());
    assert!(started.iter().all(|(_, attempt)| *attempt == 1), "{started:?}");
}
