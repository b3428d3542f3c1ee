//! Tests of leases of workers whose machines are suspended, and of workers that do not answer their hosts.

use super::*;
use crate::host::LeaseClock;

/// The interval at which the host lists the attempts and extends the lease, in milliseconds.
const LIST_INTERVAL_MS: u64 = 1_000;
/// The time at which the host is killed, in milliseconds.
const KILLED_MS: u64 = 6_000;

/// Machine that is suspended for some times; its worker's clock does not count them and may be slow.
struct SuspendedMachine<'a> {
    /// Begin and duration of each suspension, in milliseconds.
    suspensions: &'a [(u64, u64)],
    clock_percent: u64,
}

impl SuspendedMachine<'_> {
    fn worker_clock_ms(&self, now_ms: u64) -> u64 {
        let suspended = self
            .suspensions
            .iter()
            .map(|(begin_ms, duration_ms)| now_ms.saturating_sub(*begin_ms).min(*duration_ms));
        (now_ms - suspended.sum::<u64>()) * self.clock_percent / 100
    }

    fn is_suspended(&self, now_ms: u64) -> bool {
        let mut suspensions = self.suspensions.iter();
        suspensions
            .any(|(begin_ms, duration_ms)| (*begin_ms..begin_ms + duration_ms).contains(&now_ms))
    }
}

fn coordinator_settings() -> CoordinatorSettings {
    CoordinatorSettings {
        process: ProcessId::from("c"),
        inner_address: SocketAddr::from(([127, 0, 0, 1], 0)),
        seeds: Vec::new(),
        frame_key: [7; 32],
        worker_lease_ms: MAX_WORKER_LEASE_MS,
        row_limit_bytes: DEFAULT_ROW_LIMIT_BYTES,
        speed_spread_percent: None,
        cost: None,
        machine: None,
    }
}

/// Guards against tasks that are started elsewhere while their worker still runs them: its machine was suspended, which its
/// lease does not count, and its host was killed (review case 11).
#[test_case::test_case(&[(5_900, 4_000)], 100; "once, as the host is killed")]
#[test_case::test_case(&[(6_500, 7_900)], 98; "for long, with a slow clock")]
#[test_case::test_case(&[(5_500, 4_000), (10_000, 4_000)], 98; "twice")]
#[test_case::test_case(&[(3_000, 1_500), (6_100, 2_000), (9_000, 2_000), (12_000, 2_000)], 98; "again and again")]
fn lease_of_a_suspended_worker_ends_before_its_tasks_are_started_again(
    suspensions: &[(u64, u64)],
    clock_percent: u64,
) {
    let machine = SuspendedMachine { suspensions, clock_percent };
    let mut lease = LeaseClock::new(UNATTENDED_LEASE_MS, MAX_WORKER_LEASE_MS);
    let (mut deadline_ms, mut contact_ms) = (0, 0);

    for now_ms in (0..KILLED_MS).step_by(LIST_INTERVAL_MS as usize) {
        if machine.is_suspended(now_ms) {
            continue;
        }
        // The answer to the list renews the lease, and the next call extends it on the worker's clock.
        lease.record_worker_clock(machine.worker_clock_ms(now_ms), now_ms);
        lease.record_renewal(now_ms);
        contact_ms = now_ms;
        deadline_ms = lease.deadline_ms(now_ms).unwrap_or_default().max(deadline_ms);
    }

    let restart_ms = contact_ms + coordinator_settings().planner().lease_expiry_ms;
    assert!(machine.worker_clock_ms(restart_ms) >= deadline_ms);
}

/// Guards against tasks that wait for the longest possible lease although their host, which was awake all the time, knows
/// that the lease has expired.
#[tokio::test]
async fn tasks_of_a_silent_worker_are_started_again_once_its_host_proves_that_its_lease_has_expired()
 {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(1, &store);
    let (worker, _host) = start_host(&addresses(&members), &store, 500_000).await;
    wait_until_ready(&members).await;
    let job = JobId::from("job");
    assert_eq!(members[0].service().submit(&job, &record(), 3_000).await, Submission::Accepted);
    eventually("the tasks run", || worker.with(|state| state.running.len()) == 2).await;

    let silent_since = Instant::now();
    worker.with(|state| state.refuses_connections = true);
    tokio::time::sleep(Duration::from_millis(MAX_WORKER_LEASE_MS + 2_000)).await;
    worker.with(|state| {
        // The lease has expired, so the worker has killed its attempts.
        state.running.clear();
        state.refuses_connections = false;
    });
    eventually("the tasks run again", || worker.with(|state| state.starts.len()) == 4).await;

    let limit_ms = coordinator_settings().planner().lease_expiry_ms;
    assert!(silent_since.elapsed() < Duration::from_millis(limit_ms));
}
