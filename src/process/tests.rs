//! Tests of what all programs share.

use std::time::{Duration, Instant};

use super::*;

/// Guards against a log that grows without bound while a process is under load.
#[test]
fn the_log_is_bounded_and_says_what_it_left_out() {
    let start = Instant::now();
    let mut budget = LineBudget::new(start);

    let written = (0..10_000).filter(|_| budget.take(start)).count();
    assert_eq!(written, 2_000);
    assert_eq!(budget.take_left_out(), 8_000);

    let later = start + Duration::from_secs(1);
    let written = (0..10_000).filter(|_| budget.take(later)).count();
    assert_eq!(written, 400);
}

/// Guards against metrics whose names or labels are refused by their registry.
#[test]
fn metrics_are_encoded_with_their_labels() {
    let metrics = Metrics::default();
    metrics.count("store", "answered");
    metrics.observe("commit_seconds", 12);

    let text = metrics.encode();

    assert!(text.contains("teaselhall_events_total{event=\"answered\",slice=\"store\"} 1"));
    assert!(
        text.contains("teaselhall_duration_seconds_bucket{name=\"commit_seconds\",le=\"0.02\"} 1")
    );
    assert!(text.contains("teaselhall_state{slice=\"log\",value=\"lines_left_out\"}"));
}
