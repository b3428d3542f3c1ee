//! Tests of the admission of jobs under load.

use std::collections::BTreeSet;

use test_case::test_case;

use super::*;
use crate::workflow::WorkflowSpec;

const OBJECTIVE: Objective = Objective { stretch: 1.5, constant_ms: 250 };

fn room(accelerators: u32) -> Resources {
    Resources { cores_milli: 32_000, memory_mb: 64_000, accelerators }
}

/// Returns the load of four workers with eight accelerators each, of which two have the label `b`.
fn load(backlog_ms: &[(u8, u64)]) -> LoadSummary {
    let group =
        |label: &str| WorkerGroup { labels: vec![label.to_owned()], room: room(8), workers: 2 };
    let service = ServiceLoad {
        service: "s".to_owned(),
        groups: vec![group("a"), group("b")],
        backlog_ms: backlog_ms.to_vec(),
    };
    LoadSummary {
        services: vec![service],
        urgent_accelerators: vec![(OrganisationId::from("org"), 24)],
        has_all_workers: true,
    }
}

fn gang(tasks: u32, accelerators: u32) -> StepSpec {
    let need = Resources { cores_milli: 1_000, memory_mb: 1_000, accelerators };
    StepSpec { tasks, need, estimate_ms: 2_500, gang: true, ..StepSpec::default() }
}

fn record(priority: u8, step: StepSpec) -> JobRecord {
    JobRecord {
        queue: "q".to_owned(),
        organisation: OrganisationId::from("org"),
        service: "s".to_owned(),
        priority,
        attempts: 3,
        accepted_ms: 0,
        spec: WorkflowSpec { payload: String::new(), steps: vec![step], schedule: None },
    }
}

fn decide(load: &LoadSummary, record: &JobRecord, guarantee: u32) -> Admission {
    load.decide(&JobId::from("0123456789abcdef"), record, OBJECTIVE, guarantee)
}

/// Guards against a job that is accepted although its result is of no use when the work in front of it is finished, and
/// against one that is rejected for work behind it. The objective is 4,000 ms, the result is of use for 12,000 ms, and the
/// work in front may take half as long as estimated.
#[test_case(&[(0, 19_001)] => true; "last moment")]
#[test_case(&[(0, 19_002)] => false; "too late")]
#[test_case(&[(0, 5_000), (1, 60_000)] => true; "work of lower priority")]
fn urgent_job_is_accepted_while_its_result_is_of_use(backlog_ms: &[(u8, u64)]) -> bool {
    decide(&load(backlog_ms), &record(0, gang(1, 1)), 0) == Admission::Accept
}

/// Guards against an organisation that is rejected within its guarantee because of the load of others. Its unfinished
/// jobs need 24 accelerators.
#[test_case(32 => true; "within the guarantee")]
#[test_case(31 => false; "beyond the guarantee")]
fn guarantee_is_accepted_whatever_the_load(guarantee: u32) -> bool {
    decide(&load(&[(0, 60_000)]), &record(0, gang(1, 8)), guarantee) == Admission::Accept
}

/// Guards against a job that waits forever although no set of workers can run it, and against one that is rejected
/// although its tasks can run one after the other.
#[test_case(gang(5, 8) => true; "gang larger than all workers")]
#[test_case(gang(4, 8) => false; "gang on all workers")]
#[test_case(gang(1, 9) => true; "task larger than a worker")]
#[test_case(StepSpec { required_label: Some("c".to_owned()), ..gang(1, 1) } => true; "unknown label")]
#[test_case(StepSpec { required_label: Some("b".to_owned()), ..gang(3, 8) } => true; "too few workers with the label")]
#[test_case(StepSpec { gang: false, ..gang(100, 8) } => false; "many single tasks")]
fn job_that_no_workers_can_run_is_rejected(step: StepSpec) -> bool {
    matches!(decide(&load(&[]), &record(1, step), 0), Admission::Infeasible { step: 0, .. })
}

/// Guards against a job that is rejected as infeasible while workers have not yet reported to a new leader.
#[test]
fn nothing_is_infeasible_until_all_workers_have_reported() {
    let load = LoadSummary { has_all_workers: false, ..load(&[]) };

    assert_eq!(decide(&load, &record(1, gang(5, 8)), 0), Admission::Accept);
}

/// Guards against clients that are asked to come back before there is room, or all at the same time.
#[test]
fn rejected_clients_come_back_after_the_excess_and_not_together() {
    let load = load(&[(0, 19_500)]);
    let retry_after = |number: u32| {
        let job = JobId::from(format!("{number:016x}").as_str());
        match load.decide(&job, &record(0, gang(1, 1)), OBJECTIVE, 0) {
            Admission::Overload { retry_after_s, .. } => retry_after_s,
            other => panic!("{other:?}"),
        }
    };

    let times: BTreeSet<u64> = (0..50).map(retry_after).collect();

    assert!(times.first() >= Some(&10) && times.last() <= Some(&15), "{times:?}");
    assert!(times.len() >= 4, "{times:?}");
}

/// Guards against clients that come back while their results would still be late, and against rejections by value of jobs
/// that are accepted otherwise. The objective is 4,000 ms.
#[test]
fn clients_rejected_by_value_come_back_when_the_result_is_in_time() {
    let decide = |backlog_ms: u64| {
        let job = JobId::from("0123456789abcdef");
        load(&[(0, backlog_ms)]).decide_by_value(&job, &record(0, gang(1, 1)), OBJECTIVE, 0)
    };

    assert_eq!(decide(19_001), Admission::Accept);
    let Admission::Overload { retry_after_s, .. } = decide(19_500) else {
        panic!("the job is rejected");
    };
    assert!((18..=27).contains(&retry_after_s), "{retry_after_s}");
}

/// Guards against a rejection of work whose late result is still worth much, while the load leaves it some chance.
#[test]
fn late_results_of_value_are_accepted_longer() {
    let load = load(&[(0, 20_000)]);
    let job = JobId::from("0123456789abcdef");

    let decision = load.decide_by_value(&job, &record(1, gang(1, 1)), OBJECTIVE, 0);

    assert_eq!(decision, Admission::Accept);
}
