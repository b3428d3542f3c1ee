//! Tests of submissions and cancellations.

use super::*;

/// Guards against an acceptance that is not durable, and a refusal of what is stored later.
#[tokio::test]
async fn answers_to_submissions_are_true() {
    let store = MemoryRowStore::default();
    publish(&store, &rules(1)).await;
    let members = members(1, &store);
    ready(&members).await;
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
    client.set_fault(StoreFault::Late);
    let late = service.submit(&JobId::from("late"), &record(), 3_000).await;
    assert_eq!(late, Submission::Unknown);
    client.apply_late();
    assert!(row("late").await.is_some());
}

/// Guards against one job that becomes two, and against another job under the same id.
#[tokio::test]
async fn a_repeated_submission_is_the_same_job() {
    let store = MemoryRowStore::default();
    publish(&store, &rules(1)).await;
    let members = members(1, &store);
    ready(&members).await;
    let service = members[0].service();
    let job = JobId::from("job");
    let mut other = record();
    other.spec.payload = "other".to_owned();

    assert_eq!(service.submit(&job, &record(), 3_000).await, Submission::Accepted);
    let later = JobRecord { accepted_ms: 2, ..record() };
    assert_eq!(service.submit(&job, &later, 3_000).await, Submission::Accepted);
    assert_eq!(service.submit(&job, &other, 3_000).await, Submission::DifferentJob);
}

/// Guards against submissions that wait for each other while the store is slow, until their results are unknown.
#[tokio::test]
async fn submissions_do_not_queue_behind_each_other_in_a_slow_store() {
    let store = MemoryRowStore::default();
    publish(&store, &rules(1)).await;
    let members = members(1, &store);
    ready(&members).await;

    members[0].store.set_fault(StoreFault::Slow(Duration::from_millis(280)));
    let submit = |number: u32| {
        let job = JobId::from(format!("{:016x}", number.wrapping_mul(0x9e37_79b9)).as_str());
        let service = members[0].service().clone();
        async move { service.submit(&job, &record(), 3_000).await }
    };
    let outcomes = futures::future::join_all((1..=8).map(submit)).await;

    assert_eq!(outcomes, vec![Submission::Accepted; 8]);
}

/// Guards against jobs that wait for a watch of the store, which may be late or silent, although a coordinator has just
/// stored them. Cancellations go the same way.
#[tokio::test]
async fn the_leader_hears_of_stored_jobs_without_the_feed() {
    let store = MemoryRowStore::default();
    store.stall_watches_of_table(JOB_TABLE);
    publish(&store, &rules(1)).await;
    let members = members(2, &store);
    let _worker = start_worker(&addresses(&members), 100).await;
    ready(&members).await;

    for (index, member) in members.iter().enumerate() {
        let job = JobId::from(format!("job{index}").as_str());
        assert_eq!(member.service().submit(&job, &record(), 3_000).await, Submission::Accepted);
        assert_eq!(until_over(member, &job).await, JobResult::Done);

        let job = JobId::from(format!("cancelled{index}").as_str());
        let endless = JobRecord { service: "absent".to_owned(), ..record() };
        assert_eq!(member.service().submit(&job, &endless, 3_000).await, Submission::Accepted);
        assert_eq!(member.service().cancel(&job, 3_000).await, Cancellation::Accepted);
        assert_eq!(until_over(member, &job).await, JobResult::Cancelled);
    }
}

/// Guards against states of jobs that do not exist, and against cancellations that are said to be stored and are not.
#[tokio::test]
async fn jobs_that_do_not_exist_have_no_state() {
    let store = MemoryRowStore::default();
    publish(&store, &rules(1)).await;
    let members = members(1, &store);
    ready(&members).await;
    let (service, client) = (members[0].service(), &members[0].store);
    let job = JobId::from("job");

    assert_eq!(service.progress(&job).await, Ok(None));
    assert_eq!(service.cancel(&job, 3_000).await, Cancellation::NoSuchJob);
    service.submit(&job, &record(), 3_000).await;
    client.set_fault(StoreFault::Down);
    assert_eq!(service.cancel(&job, 3_000).await, Cancellation::NotAccepted);
    assert!(service.progress(&JobId::from("unknown")).await.is_err());
    client.set_fault(StoreFault::None);
    eventually("the store answers again", || !service.store.is_failing()).await;
    assert_eq!(service.cancel(&job, 3_000).await, Cancellation::Accepted);
    eventually("the job is over", || {
        let progress = service.shared.with_view(|view| view.progress(&job));
        progress == Some(JobProgress::Finished(JobResult::Cancelled))
    })
    .await;
}
