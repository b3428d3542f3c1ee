//! Tests of a worker that restarts under the name that it had.

use super::*;

/// Guards against tasks that are started again although the new incarnation of their worker runs them: it accepted the
/// orders for the earlier one before its first heartbeat.
#[tokio::test]
async fn tasks_are_started_once_if_the_worker_reports_its_restart_late() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(1, &store);
    let (worker, host) = start_host(&addresses(&members), &store, 2_000).await;
    wait_until_ready(&members).await;
    let first = JobId::from("first");
    assert_eq!(members[0].service().submit(&first, &record(), 3_000).await, Submission::Accepted);
    assert_eq!(wait_until_finished(&members[0], &first).await, JobResult::Done);
    worker.with(|state| state.starts.clear());

    worker.with(|state| state.restart());
    let job = JobId::from("job");
    assert_eq!(members[0].service().submit(&job, &record(), 3_000).await, Submission::Accepted);
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert!(host.heartbeat(heartbeat(&worker, 1)).await);

    assert_eq!(wait_until_finished(&members[0], &job).await, JobResult::Done);
    assert_eq!(worker.with(|state| state.starts.len()), 2);
}
