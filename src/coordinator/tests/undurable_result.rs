//! Tests of coordinators that connect to the leader while its transactions cannot be applied.

use super::*;

/// Guards against a coordinator that starts during an outage of the store and shows a job as done before its result is
/// stored: after a loss of power its task runs again (review case 6).
#[tokio::test]
async fn coordinator_that_starts_in_an_outage_does_not_show_an_unstored_result() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let leader = members(1, &store).remove(0);
    let worker = start_worker(&[leader.handle.inner_address], &store, 1_500).await;
    wait_until_ready(std::slice::from_ref(&leader)).await;
    let job = JobId::from("job");
    assert_eq!(leader.service().submit(&job, &record(), 3_000).await, Submission::Accepted);
    eventually("the tasks run", || worker.with(|state| state.running.len()) == 2).await;

    leader.store.set_fault(StoreFault::Down);
    eventually("the tasks have ended", || worker.with(|state| state.running.is_empty())).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let seeds = [leader.handle.inner_address];
    let other = member_with_fault("other", free_address(), &seeds, &store, StoreFault::Down);
    let until = Instant::now() + WAIT_LIMIT;
    let shown = loop {
        if let Ok(Some(progress)) = other.service().progress(&job).await {
            break progress;
        }
        assert!(Instant::now() < until, "the leader sends its snapshot within {WAIT_LIMIT:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(shown, JobProgress::Running);

    leader.store.set_fault(StoreFault::None);
    other.store.set_fault(StoreFault::None);
    assert_eq!(wait_until_finished(&other, &job).await, JobResult::Done);
}
