//! Tests that all tasks of a gang run or none.

use super::*;

/// Guards against a gang that does not complete the protocol although all agents and the store succeed.
#[test]
fn a_gang_runs_through_reserve_intent_start_and_end() {
    let mut bench = Bench::new(Policy::Product, 4, Vec::new());

    let reserve = bench.submit(job("j", "a", "run", 2, 8));
    let rest = bench.answer_all(reserve.clone());
    let started = bench.stage("j");
    bench.send(ended(&gang("j", 1), "w000", 0, TaskEnd::Succeeded));
    let end = bench.send(ended(&gang("j", 1), "w001", 1, TaskEnd::Succeeded));

    assert_eq!(reserve.len(), 2);
    assert_eq!(rest, Vec::new());
    assert_eq!(started, Some(Stage::Running));
    assert_eq!(end, vec![Output::WriteEnd { job: JobId::from("j"), end: JobEnd::Succeeded }]);
    assert_eq!(bench.scheduler.summary().free_accelerators, 32);
}

/// Guards against a gang that starts on some workers after the agent of another one refused the reservation.
#[test]
fn a_refused_reservation_releases_all_workers_and_a_late_answer_changes_nothing() {
    let mut bench = Bench::new(Policy::Product, 4, Vec::new());
    bench.submit(job("j", "a", "run", 2, 8));
    let refused = ReserveResult::Refused { reason: "too small".to_owned() };
    let worker = WorkerId::from("w000");

    let out =
        bench.send(Input::Reserved { gang: gang("j", 1), worker: worker.clone(), result: refused });
    let late =
        bench.send(Input::Reserved { gang: gang("j", 1), worker, result: ReserveResult::Held });
    let next = bench.pass(400);

    assert_eq!(out.iter().filter(|o| matches!(o, Output::Release { .. })).count(), 2);
    assert_eq!(late, Vec::new());
    assert_eq!(bench.workers_of("j"), [WorkerId::from("w001"), WorkerId::from("w002")]);
    assert!(next.iter().all(|o| matches!(o, Output::Reserve { gang, .. } if gang.number == 2)));
}

/// Guards against a gang that continues to run after one of its tasks failed.
#[test]
fn a_failed_task_stops_all_others_before_the_job_is_queued_again() {
    let mut bench = Bench::new(Policy::Product, 4, Vec::new());
    bench.run(job("j", "a", "run", 2, 8));
    let first = gang("j", 1);

    let stop = bench.send(ended(&first, "w000", 0, TaskEnd::Failed));
    let stage = bench.stage("j");
    let queued = bench.send(ended(&first, "w001", 1, TaskEnd::Stopped));

    assert_eq!(stop, vec![Output::Stop { gang: first.clone(), worker: WorkerId::from("w001") }]);
    assert_eq!(stage, Some(Stage::Stopping));
    assert_eq!(queued[0], Output::WriteQueued { gang: first, saved_ms: 0 });
}
