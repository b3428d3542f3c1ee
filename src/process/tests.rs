//! Tests of the log budget and the metrics.

use std::time::{Duration, Instant};

use super::*;

/// Guards against a log that grows without bound while a process is under load.
#[test]
fn log_budget_limits_burst_and_rate_and_counts_dropped_lines() {
    let start = Instant::now();
    let mut budget = LineBudget::new(start);

    let written = (0..10_000).filter(|_| budget.try_acquire(start)).count();
    assert_eq!(written, 2_000);
    assert_eq!(budget.take_unreported_drops(), 8_000);

    let later = start + Duration::from_secs(1);
    let written = (0..10_000).filter(|_| budget.try_acquire(later)).count();
    assert_eq!(written, 400);
}

/// Guards against metric names or labels that the registry rejects.
#[test]
fn metrics_are_encoded_with_names_and_labels() {
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
