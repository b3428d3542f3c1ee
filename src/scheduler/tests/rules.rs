//! Tests of the queue, failure attribution, takeover and changes of the data centre's state.

use super::*;

fn starts(out: &[Output]) -> usize {
    out.iter().filter(|o| matches!(o, Output::Start { .. })).count()
}

fn reserves(out: &[Output]) -> bool {
    out.iter().any(|o| matches!(o, Output::Reserve { .. }))
}

fn not_run(out: &[Output]) -> Option<String> {
    out.iter().find_map(|o| match o {
        Output::WriteEnd { end: JobEnd::NotRun { reason }, .. } => Some(reason.clone()),
        _ => None,
    })
}

/// Guards against jobs that wait indefinitely although the group can never run them, and against refusals without a
/// reason.
#[test]
fn jobs_that_never_fit_are_refused_at_once_with_the_reason() {
    let mut bench = Bench::new(Policy::Product, 8, Vec::new());
    let mut wide = job("wide", "a", "run", 1, 8);
    wide.task.accelerators = 16;

    let worker = not_run(&bench.submit(wide));
    let rack = not_run(&bench.submit(job("rack", "a", "run", 5, 8)));
    let kind = not_run(&bench.submit(job("kind", "a", "unheard", 1, 1)));

    assert!(worker.is_some_and(|reason| reason.contains("no worker has")));
    assert!(rack.is_some_and(|reason| reason.contains("no rack of the group")));
    assert!(kind.is_some_and(|reason| reason.contains("no rule for kind")));
}

/// Guards against an organisation that uses more accelerators than its quota.
#[test]
fn a_quota_limits_what_an_organisation_uses_at_once() {
    let mut limited = guarantee("a", 8, Adjacency::Worker, 1);
    limited.quota_accelerators = Some(8);
    let mut bench = Bench::new(Policy::Product, 4, vec![limited]);

    bench.run(job("first", "a", "run", 1, 8));
    bench.run(job("second", "a", "run", 1, 1));

    let second = bench.scheduler.job(&JobId::from("second"));
    assert!(matches!(second, Some(JobView::Queued { waits: WaitReason::Quota, .. })));
}

/// Guards against urgent jobs that wait for reclaimable work to end by itself.
#[test]
fn urgent_work_starts_within_2500_ms_by_reclaim() {
    let mut bench = Bench::new(Policy::Product, 1, Vec::new());
    let batch = gang("batch", 1);
    bench.run(job("batch", "b", "batch", 1, 8));
    let submitted_ms = bench.now_ms;

    bench.submit(job("check", "a", "check", 1, 1));
    bench.pass(1_000);
    let out = bench.send(ended(&batch, "w000", 0, TaskEnd::Stopped));
    bench.answer_all(out);

    assert_eq!(bench.stage("check"), Some(Stage::Running));
    assert!(bench.now_ms - submitted_ms <= 2_500);
}

/// Guards against a worker that keeps receiving tasks although several jobs failed on it, and against attributing these
/// failures to the jobs.
#[test]
fn a_worker_on_which_three_jobs_fail_is_quarantined_and_probed() {
    let mut bench = Bench::new(Policy::Product, 4, Vec::new());
    let mut out = Vec::new();
    for number in 0..3 {
        let id = format!("j{number}");
        bench.run(job(&id, "a", "run", 1, 1));
        let worker = bench.workers_of(&id)[0].clone();
        assert_eq!(worker.as_str(), "w000");
    }
    for number in 0..3 {
        out = bench.send(ended(&gang(&format!("j{number}"), 1), "w000", 0, TaskEnd::Failed));
    }

    assert!(out.contains(&Output::Probe { worker: WorkerId::from("w000") }));
    assert_eq!(bench.scheduler.summary().total_accelerators, 24);
    bench.send(Input::Probed { worker: WorkerId::from("w000"), succeeded: true });
    assert_eq!(bench.scheduler.summary().total_accelerators, 32);
}

/// Guards against a job that fails on every worker and is retried indefinitely.
#[test]
fn a_job_that_fails_on_three_workers_is_ended_with_the_reason() {
    let mut bench = Bench::new(Policy::Product, 8, Vec::new());
    bench.run(job("j", "a", "run", 1, 8));
    let mut last = Vec::new();
    for number in 1..=3 {
        let worker = bench.workers_of("j")[0].clone();
        last = bench.send(ended(&gang("j", number), worker.as_str(), 0, TaskEnd::Failed));
        bench.answer_all(last.clone());
        let more = bench.pass(400);
        bench.answer_all(more);
    }

    let ended = bench.scheduler.job(&JobId::from("j"));
    assert!(matches!(ended, Some(JobView::Ended { end: JobEnd::Failed { .. } })), "{last:?}");
}

/// Guards against starts after operators took the data centre out of service, and against lost progress of running
/// work.
#[test]
fn a_data_centre_taken_out_of_service_starts_nothing_and_moves_checkpointable_work() {
    let mut bench = Bench::new(Policy::Product, 4, Vec::new());
    bench.run(job("running", "a", "run", 1, 8));
    let reserving = bench.submit(job("reserving", "a", "run", 1, 8));

    let taken_out = bench.send(Input::StartsPermitted { permitted: false, leaving: true });
    let late = bench.answer_all(reserving);
    let worker = bench.workers_of("running")[0].clone();
    let saved =
        Input::Checkpointed { gang: gang("running", 1), worker: worker.clone(), saved_ms: 70 };
    bench.send(saved);
    let queued = bench.send(ended(&gang("running", 1), worker.as_str(), 0, TaskEnd::Stopped));
    let after = bench.pass(2_000);

    assert!(taken_out.iter().any(|o| matches!(o, Output::Checkpoint { .. })));
    assert_eq!(starts(&late), 0);
    assert!(queued.contains(&Output::WriteQueued { gang: gang("running", 1), saved_ms: 70 }));
    assert!(!reserves(&after) && starts(&after) == 0);
}

/// Guards against a new leader that stops a gang before the agents of all its workers reported, or starts it again.
#[test]
fn a_new_leader_adopts_complete_gangs_and_stops_partial_ones_after_the_lease_bound() {
    let mut bench = Bench::new(Policy::Product, 0, Vec::new());
    let share = |id: &str, task| RunningShare {
        gang: gang(id, 1),
        job: job(id, "a", "run", 2, 8),
        tasks: vec![TaskCell { task, accelerator_mask: 0xff }],
    };
    bench.send(Input::WorkerUp { worker: worker(0), running: vec![share("whole", 0)] });
    bench.send(Input::WorkerUp { worker: worker(1), running: vec![share("part", 0)] });

    bench.send(Input::Submit { job: job("part", "a", "run", 2, 8), saved_ms: 0, attempts: 1 });
    bench.send(Input::WorkerUp { worker: worker(2), running: vec![share("whole", 1)] });
    let early = bench.pass(GANG_LEASE_BOUND_MS - 400);
    let late = bench.pass(800);

    assert_eq!(bench.stage("whole"), Some(Stage::Running));
    assert!(early.iter().all(|o| !matches!(o, Output::Stop { .. })));
    assert!(late.contains(&Output::Stop { gang: gang("part", 1), worker: WorkerId::from("w001") }));
}
