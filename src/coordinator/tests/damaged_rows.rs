//! Tests of coordinators that read damaged rows.

use super::*;

async fn put(store: &MemoryRowStore, key: RowKey, content: Vec<u8>) {
    let transaction = Transaction { puts: vec![(key, content)], ..Transaction::default() };
    store.new_client().transact(&transaction).await.expect("the store answers");
}

/// Guards against one damaged row of the store that ends each process which takes over the leadership.
#[tokio::test]
async fn damaged_rows_do_not_stop_a_takeover() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let mut without_steps = record();
    without_steps.spec.steps.clear();
    let mut depends_on_itself = record();
    depends_on_itself.spec.steps[0].after = vec![0];
    put(&store, job_key("garbage"), vec![0xff; 40]).await;
    put(&store, job_key("nosteps"), workflow::encode(&without_steps)).await;
    put(&store, job_key("circle"), workflow::encode(&depends_on_itself)).await;
    put(&store, job_key("held"), workflow::encode(&record())).await;
    put(&store, RowKey::new(PROGRESS_TABLE, "held.0"), vec![0xff; 40]).await;
    let members = members(2, &store);
    let worker = start_worker(&addresses(&members), &store, 100).await;
    wait_until_ready(&members).await;

    let job = JobId::from("job");
    assert_eq!(members[0].service().submit(&job, &record(), 3_000).await, Submission::Accepted);
    assert_eq!(wait_until_finished(&members[1], &job).await, JobResult::Done);

    let started = worker.with(|state| state.starts.clone());
    assert!(started.iter().all(|task| task.0.job == job), "{started:?}");
}
