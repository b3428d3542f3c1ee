//! Tests of the directory of groups: jobs must not be lost between an entry and a leader, nor be sent to groups that
//! cannot run them.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde_json::json;

use super::{GroupDirectory, Input, Output};
use crate::bundle::Bundle;
use crate::prelude::*;
use crate::request::ConnectionId;
use crate::wire::{DataCentreState, GroupSummary};

const OLD: ConnectionId = ConnectionId(1);
const NEW: ConnectionId = ConnectionId(2);

fn bundle() -> Box<Bundle> {
    let worker = json!({"cores": 32, "memory_mb": 131_072, "accelerators": 8});
    let data_centre = |id: &str, workers: u32| json!({"id": id, "region": "r", "worker": worker, "racks": [{"id": format!("{id}-r1"), "workers": workers}]});
    let bundle = json!({
        "version": 1,
        "data_centres": [data_centre("a", 4), data_centre("b", 2)],
        "organisations": [{
            "id": "owner",
            "guarantee": [{"data_centre": "b", "accelerators": 16, "adjacency": "rack", "count": 1}],
        }],
        "kinds": [{"id": "borrower", "class": "batch", "may_borrow": true, "preemptible": true}],
        "policy": {
            "group_workers": 128, "reclaim_checkpoint_ms": 1, "reclaim_stop_ms": 1, "reservation_age_ms": 1,
            "return_ramp_ms": 1, "retry_budget_per_mille": 1, "queue_limit_urgent": 1, "queue_limit_normal": 1,
            "queue_limit_batch": 1,
            "weights": {"completion_per_mille": 1, "fragmentation_per_mille": 1, "work_done_per_mille": 1},
        },
    });
    serde_json::from_value(bundle).expect("the bundle is valid")
}

fn job(tasks: u32, adjacency: Adjacency) -> JobSpec {
    JobSpec {
        id: JobId::from("j"),
        organisation: OrganisationId::from("o"),
        kind: KindId::from("k"),
        tasks,
        task: TaskSpec { cores: 1, memory_mb: 1, accelerators: 8 },
        adjacency,
        declared_run_ms: 1,
        repeat: Repeat::Allowed,
        can_checkpoint: false,
    }
}

fn summary(group: &str, epoch: u64, free_accelerators: u32) -> GroupSummary {
    GroupSummary {
        group: GroupId::from(group),
        epoch: Epoch(epoch),
        total_accelerators: 32,
        free_accelerators,
        largest_worker_block: free_accelerators.min(8),
        largest_rack_block: free_accelerators,
        queued_jobs: 0,
    }
}

fn directory() -> GroupDirectory {
    let mut directory = GroupDirectory::default();
    directory.handle(0, &Input::Bundle { bundle: bundle() });
    directory
}

fn report_summary(
    directory: &mut GroupDirectory,
    now_ms: u64,
    connection: ConnectionId,
    summary: GroupSummary,
) -> Vec<Output> {
    directory.handle(now_ms, &Input::LeaderReport { connection, summary })
}

fn choose(directory: &GroupDirectory, now_ms: u64, job: &JobSpec) -> Result<GroupId, String> {
    directory.choose(now_ms, job, &mut ChaCha8Rng::seed_from_u64(1))
}

/// Guards against a job that is sent to a group too small for it, where it would wait without limit.
#[test]
fn job_is_sent_only_to_a_group_that_can_hold_it() {
    let directory = directory();

    assert_eq!(choose(&directory, 0, &job(3, Adjacency::Rack)), Ok(GroupId::from("a.0")));
    assert!(choose(&directory, 0, &job(2, Adjacency::Worker)).is_err());
    assert!(choose(&directory, 0, &job(5, Adjacency::DataCentre)).is_err());
}

/// Guards against a job that is sent to a group without room, or in a data centre out of service, while another group
/// could start it.
#[test]
fn job_prefers_a_group_in_service_with_a_leader_and_room() {
    let mut directory = directory();
    report_summary(&mut directory, 0, OLD, summary("a.0", 1, 8));
    report_summary(&mut directory, 0, NEW, summary("b.0", 1, 16));

    let with_room = choose(&directory, 0, &job(2, Adjacency::Rack));
    directory.handle(
        0,
        &Input::DataCentreState {
            data_centre: DataCentreId::from("b"),
            state: DataCentreState::Out,
        },
    );
    let in_service = choose(&directory, 0, &job(2, Adjacency::Rack));

    assert_eq!(with_room, Ok(GroupId::from("b.0")));
    assert_eq!(in_service, Ok(GroupId::from("a.0")));
}

/// Guards against the loss of a job whose message to the leader is lost.
#[test]
fn job_is_resent_until_its_leader_confirms_it() {
    let mut directory = directory();
    report_summary(&mut directory, 0, OLD, summary("a.0", 1, 32));
    let deliver =
        Input::Deliver { job: Box::new(job(1, Adjacency::Worker)), group: GroupId::from("a.0") };

    let first = directory.handle(10, &deliver);
    let early = directory.handle(20, &Input::Tick);
    let resent = directory.handle(1_010, &Input::Tick);
    directory.handle(1_020, &Input::JobAccepted { job: JobId::from("j") });
    let after = directory.handle(3_000, &Input::Tick);

    assert_eq!((first.len(), early.len(), resent.len(), after.len()), (1, 0, 1, 0));
}

/// Guards against the loss of a job whose leader is replaced before it confirms the job, and against a late summary of
/// the former leader that replaces that of the new one.
#[test]
fn unconfirmed_job_is_resent_to_a_new_leader() {
    let mut directory = directory();
    report_summary(&mut directory, 0, OLD, summary("a.0", 1, 32));
    let deliver =
        Input::Deliver { job: Box::new(job(1, Adjacency::Worker)), group: GroupId::from("a.0") };
    directory.handle(10, &deliver);

    let outputs = report_summary(&mut directory, 20, NEW, summary("a.0", 2, 32));
    let stale = report_summary(&mut directory, 30, OLD, summary("a.0", 1, 32));

    assert!(matches!(outputs.as_slice(), [Output::SendJob { connection: NEW, .. }]), "{outputs:?}");
    assert_eq!(stale, Vec::new());
    assert_eq!(directory.summaries(30)[0].epoch, Epoch(2));
}

/// Guards against a job that waits in another group while its organisation's guaranteed cells could be reclaimed for
/// it.
#[test]
fn job_that_may_not_borrow_prefers_a_full_group_that_guarantees_it() {
    let mut directory = directory();
    report_summary(&mut directory, 0, OLD, summary("a.0", 1, 32));
    report_summary(&mut directory, 0, NEW, summary("b.0", 1, 0));

    let kind = KindId::from("borrower");
    let borrower =
        JobSpec { kind, organisation: OrganisationId::from("owner"), ..job(2, Adjacency::Rack) };
    let owned = JobSpec { organisation: OrganisationId::from("owner"), ..job(2, Adjacency::Rack) };

    assert_eq!(choose(&directory, 0, &owned), Ok(GroupId::from("b.0")));
    assert_eq!(choose(&directory, 0, &borrower), Ok(GroupId::from("a.0")));
    assert_eq!(choose(&directory, 0, &job(2, Adjacency::Rack)), Ok(GroupId::from("a.0")));
}

/// Guards against a burst of jobs that are all sent to the same group because its summary does not contain them yet.
#[test]
fn burst_of_jobs_is_spread_over_groups_before_the_next_summary() {
    let mut directory = directory();
    report_summary(&mut directory, 0, OLD, summary("a.0", 1, 16));
    report_summary(&mut directory, 0, NEW, summary("b.0", 1, 16));

    let mut chosen = Vec::new();
    for number in 0..2 {
        let job = JobSpec { id: JobId::from(format!("j{number}")), ..job(2, Adjacency::Rack) };
        let group = choose(&directory, 0, &job).expect("both groups can hold the job");
        directory.handle(0, &Input::Deliver { job: Box::new(job), group: group.clone() });
        chosen.push(group);
    }

    assert_ne!(chosen[0], chosen[1]);
}

/// Guards against a job that is refused by another group while the group that guarantees it has no leader for a short
/// time.
#[test]
fn job_that_may_not_borrow_is_sent_to_the_group_that_guarantees_it_without_a_leader() {
    let mut directory = directory();
    report_summary(&mut directory, 0, OLD, summary("a.0", 1, 32));

    let kind = KindId::from("borrower");
    let organisation = OrganisationId::from("owner");
    let repeatable = JobSpec { kind, organisation, ..job(2, Adjacency::Rack) };
    let once = JobSpec { repeat: Repeat::Never, ..repeatable.clone() };

    assert_eq!(choose(&directory, 0, &once), Ok(GroupId::from("b.0")));
    assert_eq!(choose(&directory, 0, &repeatable), Ok(GroupId::from("a.0")));
}
