//! Tests of coordinators on machines of different classes, and of leaders that are too slow.

use super::*;

fn members_with_cpu(cpu_milli: &[u64], store: &MemoryRowStore) -> Vec<Member> {
    let addresses: Vec<SocketAddr> = cpu_milli.iter().map(|_| free_address()).collect();
    let start = |(index, cpu_milli): (usize, &u64)| {
        let machine = MachineLimits { cpu_milli: Some(*cpu_milli), ..MachineLimits::default() };
        let name = format!("c{index}");
        member_on_machine(
            &name,
            addresses[index],
            &addresses,
            store,
            StoreFault::None,
            Some(machine),
        )
    };
    cpu_milli.iter().enumerate().map(start).collect()
}

/// Guards against a first election that a coordinator on a weak machine wins because its process id sorts first.
#[tokio::test]
async fn coordinator_on_a_strong_machine_is_elected_first() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members_with_cpu(&[90, 90, 500], &store);
    let worker = start_worker(&addresses(&members), &store, 100).await;
    wait_until_ready(&members).await;
    eventually("a coordinator leads", || worker.with(|state| state.fence) >= Epoch(1)).await;

    assert_eq!(leader_of(&store).await, members[2].handle.name);
}

/// Guards against jobs that wait for a leader that gets to its work late all the time, and against tasks that run twice
/// because of its hand-over, where only coordinators on weak machines are left.
#[tokio::test]
async fn slow_leader_hands_over_and_the_job_is_done_once() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members_with_cpu(&[90, 90], &store);
    let worker = start_worker(&addresses(&members), &store, 14_000).await;
    wait_until_ready(&members).await;
    let job = JobId::from("job");
    assert_eq!(members[0].service().submit(&job, &record(), 3_000).await, Submission::Accepted);
    eventually("the tasks run", || worker.with(|state| state.running.len()) == 2).await;
    let leader = leader_of(&store).await;
    let (slow, other): (Vec<&Member>, Vec<&Member>) =
        members.iter().partition(|member| member.handle.name == leader);

    // Takes the only thread of the leader for most of the time, but less than the silence limit between two rounds of
    // gossip, after which the other coordinator would replace it anyway.
    let runtime = slow[0].runtime.as_ref().expect("it is not killed");
    let load = runtime.spawn(async {
        loop {
            std::thread::sleep(Duration::from_millis(330));
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    eventually("the leader hands over", || {
        let metrics = slow[0].service().metrics().encode();
        metrics.contains(r#"{event="handed_over",slice="leadership"} 1"#)
    })
    .await;
    eventually("another coordinator leads", || worker.with(|state| state.fence) > Epoch(1)).await;
    load.abort();

    assert_eq!(leader_of(&store).await, other[0].handle.name);
    assert_eq!(wait_until_finished(other[0], &job).await, JobResult::Done);
    assert_eq!(worker.with(|state| state.starts.len()), 2);
}
