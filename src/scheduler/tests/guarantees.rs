//! Tests that owners can always use their guaranteed cells, also while others borrow them.

use super::*;

/// Guards against guaranteed cells that a borrower keeps after their owner submits a job for them.
#[test]
fn a_guaranteed_job_takes_its_cells_back_by_checkpoint_and_stop() {
    let mut bench = Bench::new(Policy::Product, 4, vec![guarantee("a", 32, Adjacency::Rack, 1)]);
    for number in 0..4 {
        bench.run(job(&format!("b{number}"), "b", "batch", 1, 8));
    }
    let borrowed = bench.scheduler.summary().free_accelerators;

    let checkpoints = bench.submit(job("j", "a", "run", 4, 8));
    let stops = bench.pass(1_000);
    let claiming = bench.stage("j");
    let mut out = Vec::new();
    for (number, worker) in bench.workers_of("j").iter().enumerate() {
        let borrower = borrower_on(&bench, worker);
        out = bench.send(ended(&gang(&borrower, 1), worker.as_str(), 0, TaskEnd::Stopped));
        assert!(number == 3 || out.iter().all(|o| !matches!(o, Output::Reserve { .. })));
    }
    bench.answer_all(out);

    assert_eq!(borrowed, 0);
    assert_eq!(checkpoints.iter().filter(|o| matches!(o, Output::Checkpoint { .. })).count(), 4);
    assert_eq!(stops.iter().filter(|o| matches!(o, Output::Stop { .. })).count(), 4);
    assert_eq!(claiming, Some(Stage::Claiming));
    assert_eq!(bench.stage("j"), Some(Stage::Running));
}

fn borrower_on(bench: &Bench, worker: &WorkerId) -> String {
    let names = (0..4).map(|number| format!("b{number}"));
    names.into_iter().find(|name| bench.workers_of(name).contains(worker)).unwrap_or_default()
}

/// Guards against an agent that blocks guaranteed cells by ignoring the requests to checkpoint and to stop a borrower.
#[test]
fn a_worker_that_does_not_stop_a_borrower_is_fenced() {
    let mut bench = Bench::new(Policy::Product, 1, vec![guarantee("a", 8, Adjacency::Worker, 1)]);
    bench.run(job("b", "b", "batch", 1, 8));

    bench.submit(job("j", "a", "run", 1, 8));
    let out = bench.pass(1_600);

    assert!(out.contains(&Output::Fence { worker: WorkerId::from("w000") }));
    assert_eq!(bench.scheduler.reduced_guarantees().len(), 1);
}

/// Guards against placing work that may not be stopped on guaranteed cells, which the owner could then not reclaim.
#[test]
fn work_that_may_not_be_stopped_never_borrows() {
    let mut bench = Bench::new(Policy::Product, 2, vec![guarantee("a", 16, Adjacency::Rack, 1)]);
    let mut once = job("once", "b", "batch", 1, 8);
    once.repeat = Repeat::Never;

    bench.run(once);
    bench.run(job("pinned", "b", "run", 1, 8));

    assert_eq!(bench.stage("once"), None);
    assert_eq!(bench.stage("pinned"), None);
    assert!(matches!(
        bench.scheduler.job(&JobId::from("pinned")),
        Some(JobView::Queued { waits: WaitReason::Capacity, .. })
    ));
}

/// Guards against a gang that waits although enough cells are spare, because idle guarantees are bound to cells in each
/// rack and no rack has enough adjacent ones left.
#[test]
fn an_idle_guarantee_is_rebound_when_spare_cells_are_scattered() {
    let mut bench = Bench::new(Policy::Product, 8, vec![guarantee("a", 8, Adjacency::Worker, 4)]);
    let rest = bench.run(job("wide", "b", "run", 4, 8));
    let more = bench.submit(job("more", "b", "run", 1, 8));

    assert_eq!(rest, Vec::new());
    assert_eq!(bench.stage("wide"), Some(Stage::Running));
    assert_eq!(more, Vec::new());
}
