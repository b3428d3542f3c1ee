//! Counts rejections by reason and logs at most one line a second about them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::process::Metrics;

/// Slice of the metrics.
const SLICE: &str = "intake";
/// Shortest time between two log lines.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Reason for which a request was rejected or a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// A request's head did not arrive in time.
    HeadTimeout,
    /// A request's head is larger than allowed, or malformed.
    HeadInvalid,
    /// Too many bytes of incomplete heads are buffered.
    HeadBytes,
    /// A client did not read an answer in time.
    AnswerTimeout,
    /// A body is larger than allowed.
    BodyTooLarge,
    /// A body did not arrive in time.
    BodyTimeout,
    /// Too many bytes of bodies are in progress.
    BodyBytes,
    /// Too many connections are open.
    Connections,
    /// Too many requests are in progress.
    Requests,
    /// Too many connections of other processes are open.
    InnerConnections,
    /// The handshake of another process failed or did not complete in time.
    Handshake,
    /// Too many bytes of incomplete frames are buffered.
    FrameBytes,
    /// A worker's list of attempts is larger than allowed.
    WorkerAnswer,
    /// Checkpoints in a worker's list were left out.
    WorkerCheckpoints,
}

impl Reason {
    /// Returns the name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::HeadTimeout => "closed_head_timeout",
            Self::HeadInvalid => "closed_head_invalid",
            Self::HeadBytes => "closed_head_bytes",
            Self::AnswerTimeout => "closed_answer_timeout",
            Self::BodyTooLarge => "rejected_body_too_large",
            Self::BodyTimeout => "rejected_body_timeout",
            Self::BodyBytes => "rejected_body_bytes",
            Self::Connections => "closed_connections",
            Self::Requests => "rejected_requests",
            Self::InnerConnections => "closed_inner_connections",
            Self::Handshake => "closed_handshake",
            Self::FrameBytes => "closed_frame_bytes",
            Self::WorkerAnswer => "rejected_worker_answer",
            Self::WorkerCheckpoints => "shortened_worker_answer",
        }
    }
}

/// Counters and log lines of rejections. Clones share their state.
#[derive(Clone, Debug)]
pub struct IntakeReport {
    metrics: Metrics,
    unreported: Arc<Mutex<Unreported>>,
}

#[derive(Debug, Default)]
struct Unreported {
    counts: BTreeMap<Reason, u64>,
    reported_at: Option<Instant>,
}

impl IntakeReport {
    /// Creates a report that counts in `metrics`.
    pub fn new(metrics: Metrics) -> Self {
        Self { metrics, unreported: Arc::default() }
    }

    /// Counts a rejected request or a closed connection.
    pub fn record(&self, reason: Reason) {
        self.metrics.count(SLICE, reason.name());
        let mut unreported = self.unreported.lock().unwrap_or_else(PoisonError::into_inner);
        *unreported.counts.entry(reason).or_default() += 1;
        drop(unreported);
        self.write_line();
    }

    /// Sets a gauge.
    pub fn set(&self, value: &str, current: usize) {
        self.metrics.set(SLICE, value, i64::try_from(current).unwrap_or(i64::MAX));
    }

    /// Writes a line with what was counted since the last one, unless that was less than a second ago.
    pub fn write_line(&self) {
        let mut unreported = self.unreported.lock().unwrap_or_else(PoisonError::into_inner);
        let is_early = unreported.reported_at.is_some_and(|at| at.elapsed() < LINE_INTERVAL);
        if is_early || unreported.counts.is_empty() {
            return;
        }
        unreported.reported_at = Some(Instant::now());
        let counts: Vec<String> = std::mem::take(&mut unreported.counts)
            .into_iter()
            .map(|(reason, count)| format!("{}={count}", reason.name()))
            .collect();
        log::warn!(reasons = counts.join(" "); "requests rejected or connections closed at a limit");
    }
}
