//! Tests of submissions and cancellations.

use super::*;

/// Guards against accepted submissions that are not durable, and against rejected ones that are stored later: with each
/// fault of the store the outcome has to agree with the stored row.
#[tokio::test]
async fn submission_outcome_agrees_with_the_stored_row_despite_store_faults() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(1, &store);
    wait_until_ready(&members).await;
    let (service, client) = (members[0].service(), &members[0].store);
    let row = |name: &str| {
        let (reader, key) = (store.new_client(), job_key(name));
        async move { reader.read(&key).await.expect("the store answers") }
    };

    client.set_fault(StoreFault::Down);
    let refused = service.submit(&JobId::from("down"), &record(), 3_000).await;
    assert_eq!(refused, Submission::NotAccepted);
    assert!(row("down").await.is_none());

    client.set_fault(StoreFault::None);
    eventually("the store answers again", || !service.store.is_failing()).await;
    client.set_fault(StoreFault::LostAnswers);
    let lost = service.submit(&JobId::from("lost"), &record(), 3_000).await;
    assert_eq!(lost, Submission::Accepted);
    assert!(row("lost").await.is_some());

    client.set_fault(StoreFault::None);
    eventually("the store answers again", || !service.store.is_failing()).await;
    client.set_fault(StoreFault::Delayed);
    let late = service.submit(&JobId::from("late"), &record(), 3_000).await;
    assert_eq!(late, Submission::Unknown);
    client.apply_delayed();
    assert!(row("late").await.is_some());
}

/// Guards against a repeated submission that creates a second job or is rejected, and against a different job that is
/// accepted under the same identifier.
#[tokio::test]
async fn repeated_submission_is_accepted_and_different_job_is_rejected() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(1, &store);
    wait_until_ready(&members).await;
    let service = members[0].service();
    let job = JobId::from("job");
    let mut different = record();
    different.spec.payload = "other".to_owned();

    assert_eq!(service.submit(&job, &record(), 3_000).await, Submission::Accepted);
    let later = JobRecord { accepted_ms: 2, ..record() };
    assert_eq!(service.submit(&job, &later, 3_000).await, Submission::Accepted);
    assert_eq!(service.submit(&job, &different, 3_000).await, Submission::DifferentJob);
}

/// Guards against concurrent submissions that wait for each other in one partition of a slow store until they time out
/// with unknown results.
#[tokio::test]
async fn concurrent_submissions_to_a_slow_store_are_all_accepted() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(1, &store);
    wait_until_ready(&members).await;

    members[0].store.set_fault(StoreFault::Slow(Duration::from_millis(280)));
    let submit = |number: u32| {
        let job = JobId::from(format!("{:016x}", number.wrapping_mul(0x9e37_79b9)).as_str());
        let service = members[0].service().clone();
        async move { service.submit(&job, &record(), 3_000).await }
    };
    let outcomes = futures::future::join_all((1..=8).map(submit)).await;

    assert_eq!(outcomes, vec![Submission::Accepted; 8]);
}

/// Guards against jobs and cancellations that reach the leader only through its watch of the store, which may be
/// delayed or stalled, although a coordinator has just stored them.
#[tokio::test]
async fn leader_receives_stored_jobs_and_cancellations_while_its_watch_is_stalled() {
    let store = MemoryRowStore::default();
    store.stall_watches_of_table(JOB_TABLE);
    publish_rules(&store, &rules(1)).await;
    let members = members(2, &store);
    let _worker = start_worker(&addresses(&members), &store, 100).await;
    wait_until_ready(&members).await;

    for (index, member) in members.iter().enumerate() {
        let job = JobId::from(format!("job{index}").as_str());
        assert_eq!(member.service().submit(&job, &record(), 3_000).await, Submission::Accepted);
        assert_eq!(wait_until_finished(member, &job).await, JobResult::Done);

        let job = JobId::from(format!("cancelled{index}").as_str());
        let unplaceable = JobRecord { service: "absent".to_owned(), ..record() };
        assert_eq!(member.service().submit(&job, &unplaceable, 3_000).await, Submission::Accepted);
        assert_eq!(member.service().cancel(&job, 3_000).await, Cancellation::Accepted);
        assert_eq!(wait_until_finished(member, &job).await, JobResult::Cancelled);
    }
}

/// Guards against reports of progress for jobs that do not exist, and against cancellations that are accepted but not
/// stored because the job does not exist or the store is down.
#[tokio::test]
async fn missing_jobs_have_no_progress_and_cannot_be_cancelled() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(1, &store);
    wait_until_ready(&members).await;
    let (service, client) = (members[0].service(), &members[0].store);
    let (missing, job) = (JobId::from("missing"), JobId::from("job"));

    assert_eq!(service.progress(&missing).await, Ok(None));
    assert_eq!(service.cancel(&missing, 3_000).await, Cancellation::NoSuchJob);
    assert_eq!(service.submit(&missing, &record(), 3_000).await, Submission::Cancelled);
    assert_eq!(service.submit(&job, &record(), 3_000).await, Submission::Accepted);
    client.set_fault(StoreFault::Down);
    assert_eq!(service.cancel(&job, 3_000).await, Cancellation::NotAccepted);
    assert!(service.progress(&JobId::from("unknown")).await.is_err());
    client.set_fault(StoreFault::None);
    eventually("the store answers again", || !service.store.is_failing()).await;
    assert_eq!(service.cancel(&job, 3_000).await, Cancellation::Accepted);
    eventually("the job is cancelled", || {
        let progress = service.shared.with_view(|view| view.progress(&job));
        progress == Some(JobProgress::Finished(JobResult::Cancelled))
    })
    .await;
}
