//! Routes for health, readiness, metrics and state dumps of a process.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use prometheus::{
    HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};
use serde_json::Value;
use warp::http::StatusCode;
use warp::{Filter, Reply};

/// Readiness of a process: whether it accepts new work. Clones share the value.
#[derive(Clone, Debug, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Sets whether the process accepts new work.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Release);
    }

    /// Returns whether the process accepts new work.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Upper bounds of the histogram buckets for durations, in seconds: answers take milliseconds, jobs up to minutes.
const DURATION_BUCKETS_S: [f64; 12] =
    [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0, 300.0];

/// Metrics of a process. Clones share the values.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    events: IntCounterVec,
    states: IntGaugeVec,
    durations: HistogramVec,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let events = Opts::new("teaselhall_events_total", "Events by slice and name.");
        let events = IntCounterVec::new(events, &["slice", "event"])
            .expect("the metric's name and labels are valid");
        let states = Opts::new("teaselhall_state", "Current values by slice and name.");
        let states = IntGaugeVec::new(states, &["slice", "value"])
            .expect("the metric's name and labels are valid");
        registry.register(Box::new(events.clone())).expect("the registry is empty");
        registry
            .register(Box::new(states.clone()))
            .expect("the registry has no metric of this name");
        let durations = HistogramOpts::new("teaselhall_duration_seconds", "Durations by name.")
            .buckets(DURATION_BUCKETS_S.to_vec());
        let durations =
            HistogramVec::new(durations, &["name"]).expect("the metric's name and label are valid");
        registry
            .register(Box::new(durations.clone()))
            .expect("the registry has no metric of this name");
        Self { registry, events, states, durations }
    }
}

impl Metrics {
    /// Counts an event of a slice.
    pub fn count(&self, slice: &str, event: &str) {
        self.count_many(slice, event, 1);
    }

    /// Counts several events of a slice.
    pub fn count_many(&self, slice: &str, event: &str, events: u64) {
        self.events.with_label_values(&[slice, event]).inc_by(events);
    }

    /// Records a duration in the histogram with this name.
    pub fn observe(&self, name: &str, duration_ms: u64) {
        self.durations.with_label_values(&[name]).observe(duration_ms as f64 / 1_000.0);
    }

    /// Sets a current value of a slice.
    pub fn set(&self, slice: &str, value: &str, current: i64) {
        self.states.with_label_values(&[slice, value]).set(current);
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn encode(&self) -> String {
        let dropped_lines = i64::try_from(super::dropped_log_lines()).unwrap_or(i64::MAX);
        self.set("log", "lines_left_out", dropped_lines);
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

/// Serves `/healthz`, `/readyz`, `/metrics` and `/dump`; `dump` returns the state of the process.
pub fn observe_routes<D, Fut>(
    readiness: &Readiness,
    metrics: &Metrics,
    dump: D,
) -> impl Filter<Extract = (impl Reply + use<D, Fut>,), Error = warp::Rejection> + Clone + use<D, Fut>
where
    D: Fn() -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Value> + Send + 'static,
{
    let health = warp::path!("healthz").map(|| "ok\n".into_response());
    let readiness = readiness.clone();
    let ready = warp::path!("readyz").map(move || ready_reply(readiness.get()));
    let metrics = metrics.clone();
    let metrics = warp::path!("metrics").map(move || metrics.encode().into_response());
    let dump = warp::path!("dump").and_then(move || {
        let state = dump();
        async move { Ok::<_, Infallible>(warp::reply::json(&state.await).into_response()) }
    });
    warp::get().and(health.or(ready).unify().or(metrics).unify().or(dump).unify())
}

fn ready_reply(ready: bool) -> warp::reply::Response {
    if ready {
        return "ready\n".into_response();
    }
    warp::reply::with_status("not ready\n", StatusCode::SERVICE_UNAVAILABLE).into_response()
}
