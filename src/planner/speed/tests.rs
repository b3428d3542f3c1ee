//! Tests of the attribution of a gang's duration to its workers.

use super::gangs::{GangObservation, GangObservations};
use crate::prelude::*;
use crate::workflow::WorkerIncarnation;

fn incarnation(name: &str) -> WorkerIncarnation {
    WorkerIncarnation { worker: WorkerId::from(name), born_ms: 1 }
}

fn gang(members: &[&str], ratio: f64) -> GangObservation {
    GangObservation {
        queue: "queue".to_owned(),
        log_ratio: f64::ln(ratio),
        members: members.iter().map(|member| incarnation(member)).collect(),
    }
}

/// Workers whose names begin with `fast` are known to be fast, all others are unknown.
fn log_speed(incarnation: &WorkerIncarnation) -> f64 {
    if incarnation.worker.as_str().starts_with("fast") { 0.4 } else { 0.0 }
}

/// Returns the workers to which the last gang is attributed, with the weights.
fn attributed(gangs: &[GangObservation]) -> Vec<(String, f64)> {
    let mut observations = GangObservations::default();
    for gang in gangs {
        observations.push(gang.clone());
    }
    let last = gangs.last().expect("there is a gang");
    let found = observations.contributions_of(last, log_speed);
    found.iter().map(|one| (one.incarnation.worker.as_str().to_owned(), one.weight)).collect()
}

/// Guards against fast workers that count as slow because they were in a gang with a slow one.
#[test]
fn slow_gang_speaks_against_the_unknown_member() {
    let usual = gang(&["fast-1", "fast-2"], 0.7);

    let found = attributed(&[usual.clone(), usual, gang(&["fast-1", "unknown"], 1.7)]);

    assert_eq!(found, [("unknown".to_owned(), 1.0)]);
}

/// Guards against one of several unknown members that alone counts as slow.
#[test]
fn slow_gang_is_shared_by_unknown_members() {
    let usual = gang(&["fast-1", "fast-2"], 0.7);

    let found = attributed(&[usual.clone(), usual, gang(&["a", "b", "fast-1"], 1.7)]);

    assert_eq!(found, [("a".to_owned(), 0.5), ("b".to_owned(), 0.5)]);
}

/// Guards against unknown workers that stay unknown although a gang shows that all its members are fast.
#[test]
fn fast_gang_speaks_for_all_members() {
    let slow = gang(&["slow-1"], 1.7);

    let found = attributed(&[slow.clone(), slow, gang(&["a", "b"], 0.7)]);

    assert_eq!(found.iter().map(|(worker, _)| worker.as_str()).collect::<Vec<_>>(), ["a", "b"]);
}
