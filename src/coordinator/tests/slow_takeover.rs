//! Tests of takeovers whose reads of the stored jobs take long, as on a slow link or with many jobs.

use super::job_rows::JobListing;
use super::*;

/// The duration of each read of a table: longer than the silence after which a leader is replaced.
const READ_DURATION: Duration = Duration::from_millis(1_500);

/// Guards against coordinators that replace each other forever because none of them reads the stored jobs within the
/// silence limit of the election.
#[tokio::test]
async fn slow_read_of_stored_jobs_does_not_let_others_take_over() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    store.slow_lists_of_table(PROGRESS_TABLE, READ_DURATION);
    let members = members(3, &store);
    let worker = start_worker(&addresses(&members), &store, 100).await;
    wait_until_ready(&members).await;

    let job = JobId::from("job");
    assert_eq!(members[0].service().submit(&job, &record(), 3_000).await, Submission::Accepted);
    assert_eq!(wait_until_finished(&members[1], &job).await, JobResult::Done);

    // One election at the start, and at most one more between coordinators that had not yet connected to each other.
    assert!(worker.with(|state| state.fence) <= Epoch(2));
}

/// Guards against a leader that gives up, or claims another epoch, because the store fails while it reads the stored
/// jobs.
#[tokio::test]
async fn read_of_stored_jobs_is_repeated_after_a_failure() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    store.fail_lists_of_table(PROGRESS_TABLE, 5);
    let members = members(1, &store);
    let worker = start_worker(&addresses(&members), &store, 100).await;
    wait_until_ready(&members).await;

    let job = JobId::from("job");
    assert_eq!(members[0].service().submit(&job, &record(), 3_000).await, Submission::Accepted);
    assert_eq!(wait_until_finished(&members[0], &job).await, JobResult::Done);

    assert_eq!(worker.with(|state| state.fence), Epoch(1));
}

/// Guards against a takeover on a slow link that never ends because each failed read of a partition begins all of them
/// anew, and against a leader that is taken for cut off from the store while it reads.
#[tokio::test]
async fn partitions_that_were_read_are_kept_after_a_failure() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(1, &store);
    wait_until_ready(&members).await;
    let member = &members[0];
    let reading = member.service().store.clone();
    store.stall_watches_of_table(JOB_TABLE);
    store.fail_lists_of_table(JOB_TABLE, 3);
    let mut listing = JobListing::default();

    assert!(listing.read_missing(&reading).await.is_err());
    assert!(reading.answered_ms().is_some());
    store.fail_lists_of_table(JOB_TABLE, 0);
    store.slow_lists_of_table(JOB_TABLE, READ_DURATION);
    let began = Instant::now();
    assert_eq!(listing.read_missing(&reading).await, Ok(()));

    // Three missing partitions are read at the same time; all eight would take two rounds.
    assert!(began.elapsed() < READ_DURATION * 2);
}
