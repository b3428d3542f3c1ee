//! Tests of a worker that its host cannot reach although it goes on running its attempts.

use super::*;

/// Starts a coordinator and a worker on which the tasks of a job run.
async fn with_running_job(
    store: &MemoryRowStore,
) -> (Vec<Member>, InProcessWorker, HostHandle<InProcessWorker>, JobId) {
    publish_rules(store, &rules(1)).await;
    let members = members(1, store);
    let (worker, host) = start_host(&addresses(&members), store, 3_000).await;
    wait_until_ready(&members).await;
    let job = JobId::from("job");
    assert_eq!(members[0].service().submit(&job, &record(), 3_000).await, Submission::Accepted);
    eventually("the tasks run", || worker.with(|state| state.running.len()) == 2).await;
    (members, worker, host, job)
}

/// Guards against tasks that are started again because connections to their worker were refused for a while, as by a
/// firewall, although it runs on.
#[tokio::test]
async fn refused_connections_do_not_end_running_tasks() {
    let store = MemoryRowStore::default();
    let (members, worker, host, job) = with_running_job(&store).await;

    worker.with(|state| state.refuses_connections = true);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    worker.with(|state| state.refuses_connections = false);
    assert!(host.heartbeat(heartbeat(&worker, 2)).await);

    assert_eq!(wait_until_finished(&members[0], &job).await, JobResult::Done);
    assert_eq!(worker.with(|state| state.starts.len()), 2);
}

/// Guards against tasks that are started elsewhere while their worker, which has announced its end, still runs them.
#[tokio::test]
async fn announced_end_does_not_end_running_tasks_before_the_worker_is_gone() {
    let store = MemoryRowStore::default();
    let (members, worker, host, job) = with_running_job(&store).await;

    assert!(host.worker_terminated("i").await);

    assert_eq!(wait_until_finished(&members[0], &job).await, JobResult::Done);
    assert_eq!(worker.with(|state| state.starts.len()), 2);
}
