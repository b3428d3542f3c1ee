//! Tests of hosts whose coordinators are replaced by others at new addresses.

use super::*;

/// Starts coordinators at new addresses. Their seeds are those of the coordinators that they replace, as after a change
/// of machines.
async fn replacements(seeds: &[SocketAddr], store: &MemoryRowStore) -> Vec<Member> {
    let start = |index| member(&format!("new{index}"), free_address(), seeds, store);
    let started: Vec<Member> = (0..2).map(start).collect();
    wait_until_ready(&started).await;
    started
}

async fn submit(member: &Member, name: &str) -> JobId {
    let job = JobId::from(name);
    assert_eq!(member.service().submit(&job, &record(), 3_000).await, Submission::Accepted);
    job
}

/// Guards against hosts that find no leader any more because all coordinators that they know were replaced one after the
/// other while one leader stayed.
#[tokio::test]
async fn host_finds_coordinators_that_joined_while_its_leader_stayed() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let mut members = members(3, &store);
    let seeds = addresses(&members);
    let worker = start_worker(&seeds, &store, 100).await;
    wait_until_ready(&members).await;
    let job = submit(&members[0], "before").await;
    assert_eq!(wait_until_finished(&members[0], &job).await, JobResult::Done);
    let leader = leader_of(&store).await;

    members.iter_mut().filter(|member| member.handle.name != leader).for_each(Member::kill);
    let replacements = replacements(&seeds, &store).await;
    // The leader informs the hosts once per second.
    tokio::time::sleep(Duration::from_secs(2)).await;
    store.fail_lists_of_table(LEAD_TABLE, u32::MAX);
    members.iter_mut().for_each(Member::kill);

    let job = submit(&replacements[0], "after").await;
    assert_eq!(wait_until_finished(&replacements[0], &job).await, JobResult::Done);
    assert_eq!(worker.with(|state| state.starts.len()), 4);
}

/// Guards against hosts that find no leader any more because all coordinators were replaced at the same time.
#[tokio::test]
async fn host_reads_coordinators_from_the_store_if_it_finds_no_leader() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let mut members = members(2, &store);
    let seeds = addresses(&members);
    let _worker = start_worker(&seeds, &store, 100).await;
    wait_until_ready(&members).await;
    let job = submit(&members[0], "before").await;
    assert_eq!(wait_until_finished(&members[0], &job).await, JobResult::Done);

    members.iter_mut().for_each(Member::kill);
    let replacements = replacements(&seeds, &store).await;

    let job = submit(&replacements[0], "after").await;
    assert_eq!(wait_until_finished(&replacements[0], &job).await, JobResult::Done);
}
