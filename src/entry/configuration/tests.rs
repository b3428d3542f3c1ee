//! Guards against bundles that are active at some entries only, changes that are acknowledged before the entries have
//! applied them, and calls that crash an entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use test_case::test_case;
use warp::http::{Method, StatusCode};

use super::*;
use crate::api::{ApiError, BundleActionRequest, ErrorCode};
use crate::bundle::tests::fixture::{bundle, bundle_at, signed, signer, trusted};
use crate::bundle::{Digest, Purpose, Signature};
use crate::process::intake::{Intake, ListenerKind, MachineLimits};
use crate::store::{Commit, Committed, Error, MemoryStore, Result, Row, RowVersion};

/// The time limit of each wait, with a margin for a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);

const AVAILABLE: u8 = 0;
const UNAVAILABLE: u8 = 1;
/// Writes are applied, but their answers are lost.
const LOSES_ANSWERS: u8 = 2;

/// A table in memory that can be unavailable or lose its answers.
#[derive(Clone, Debug, Default)]
pub(crate) struct FaultyTable {
    store: MemoryStore,
    fault: Arc<AtomicU8>,
}

impl FaultyTable {
    fn check(&self) -> Result<()> {
        if self.fault.load(Ordering::Relaxed) == UNAVAILABLE {
            return Err(Error::Unavailable { reason: "switched off".to_owned() });
        }
        Ok(())
    }
}

impl Table for FaultyTable {
    async fn read(&self, key: &str) -> Result<Option<Row>> {
        self.check()?;
        self.store.read(key).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>> {
        self.check()?;
        self.store.scan(prefix).await
    }

    async fn commit(&self, commit: &Commit) -> Result<Committed> {
        self.check()?;
        let result = self.store.commit(commit).await;
        if self.fault.load(Ordering::Relaxed) == LOSES_ANSWERS {
            return Err(Error::UnknownResult { reason: "the answer was lost".to_owned() });
        }
        result
    }
}

/// An entry whose configuration routes are served over HTTP.
pub(crate) struct Entry {
    handle: Handle<FaultyTable, MemoryStore>,
    /// Base URL of the entry's HTTP interface.
    pub(crate) url: String,
}

/// Starts an entry on a shared table, without connections of agents.
pub(crate) async fn entry(name: &str, table: &FaultyTable) -> Entry {
    let identity = Identity {
        process: ProcessId::from(name),
        incarnation: Incarnation(1),
        data_centre: DataCentreId::from("amman-1"),
        trusted: trusted(),
    };
    let (_, events) = mpsc::channel(1);
    let writer = Writer::new(table.clone());
    let objects = table.store.clone();
    let handle =
        start(identity, writer, objects, MonotonicClock::start(), &Metrics::default(), events);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let url = format!("http://{}", listener.local_addr().expect("the port is bound"));
    let intake = Intake::new(&MachineLimits::default(), &Metrics::default());
    let (routes, shutdown) = (routes(&handle), std::future::pending());
    tokio::spawn(async move {
        intake.serve_on(ListenerKind::Clients, listener, routes, shutdown).await;
    });
    Entry { handle, url }
}

async fn call(entry: &Entry, method: Method, path: &str, body: &Value) -> (StatusCode, Value) {
    let request = reqwest::Client::new().request(method.clone(), format!("{}{path}", entry.url));
    let request = if method == Method::POST { request.json(body) } else { request };
    let response = request.send().await.expect("the entry answers");
    (response.status(), response.json().await.unwrap_or_default())
}

async fn post(entry: &Entry, path: &str, body: &Value) -> (StatusCode, Value) {
    call(entry, Method::POST, path, body).await
}

async fn get(entry: &Entry, path: &str) -> (StatusCode, Value) {
    call(entry, Method::GET, path, &Value::Null).await
}

fn signed_action(version: u64, partner: &str, purpose: Purpose) -> Value {
    let digest = Digest::of(&bundle_at(version)).unwrap();
    let signature = Signature::sign(&signer(partner), purpose, &digest);
    json!(BundleActionRequest { version: BundleVersion(version), digest, signature })
}

pub(crate) async fn wait_registered(table: &FaultyTable, entries: usize) {
    let registered = async {
        while table.store.scan_rows("entry/").len() < entries {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(PATIENCE, registered).await.expect("the entries register");
}

/// Proposes, approves and rolls out a version of the bundle, and returns the answer to the rollout.
async fn roll_out(entry: &Entry, version: u64) -> (StatusCode, Value) {
    let proposal = json!(signed(bundle_at(version), &["amman"]));
    let (status, body) = post(entry, "/v1/bundles/propose", &proposal).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    let approval = signed_action(version, "aqaba", Purpose::Accept);
    let (status, body) = post(entry, "/v1/bundles/approve", &approval).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    post(entry, "/v1/bundles/rollout", &signed_action(version, "amman", Purpose::RollOut)).await
}

fn error_of(body: &Value) -> ApiError {
    serde_json::from_value(body.clone()).expect("the body is an error")
}

#[tokio::test]
async fn acknowledged_rollout_is_active_at_every_entry() {
    let table = FaultyTable::default();
    let (first, second) = (entry("entry-1", &table).await, entry("entry-2", &table).await);
    wait_registered(&table, 2).await;

    let (status, body) = roll_out(&first, 1).await;

    assert_eq!(status, StatusCode::OK, "{body}");
    assert_eq!(body["confirmed_by"], json!(["entry-1", "entry-2"]));
    for entry in [&first, &second] {
        let (_, current) = get(entry, "/v1/bundles/current").await;
        assert_eq!(current["version"], 1);
        assert_eq!(entry.handle.bundle.borrow().as_ref(), Some(&bundle()));
    }
}

#[tokio::test]
async fn audit_records_name_action_and_partner_of_each_bundle_change() {
    let table = FaultyTable::default();
    let first = entry("entry-1", &table).await;
    wait_registered(&table, 1).await;
    roll_out(&first, 1).await;
    let audit_record = |row: u64| {
        let object =
            table.store.get_object(&crate::bundle::audit_key(BundleVersion(1), RowVersion(row)));
        object.map(|content| serde_json::from_slice::<Value>(&content).unwrap())
    };
    let complete = async {
        while audit_record(3).is_none() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(PATIENCE, complete).await.expect("the audit record is stored");
    let record = audit_record(3).unwrap();
    assert_eq!((&record["action"], &record["partner"]), (&json!("rolled_out"), &json!("amman")));
    for (row, action, partner) in [(1, "proposed", "amman"), (2, "approved", "aqaba")] {
        let record = audit_record(row).expect("the records of earlier actions are stored");
        assert_eq!((&record["action"], &record["partner"]), (&json!(action), &json!(partner)));
    }
}

#[tokio::test]
async fn changes_during_table_outage_are_refused_as_not_run() {
    let table = FaultyTable::default();
    let first = entry("entry-1", &table).await;
    wait_registered(&table, 1).await;
    roll_out(&first, 1).await;
    table.fault.store(UNAVAILABLE, Ordering::Relaxed);

    let proposal = json!(signed(bundle_at(2), &["amman"]));
    let (bundle_status, bundle_body) = post(&first, "/v1/bundles/propose", &proposal).await;
    let operator = json!({"operator": "dana"});
    let (out_status, out_body) = post(&first, "/v1/datacentres/amman-1/out", &operator).await;

    for (status, body) in [(bundle_status, bundle_body), (out_status, out_body)] {
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(error_of(&body).outcome, Outcome::NotRun);
    }
    assert_eq!(get(&first, "/v1/bundles/current").await.1["version"], 1);
}

#[tokio::test]
async fn data_centre_taken_out_at_one_entry_is_out_at_another_and_returns() {
    let table = FaultyTable::default();
    let (first, second) = (entry("entry-1", &table).await, entry("entry-2", &table).await);
    wait_registered(&table, 2).await;
    roll_out(&first, 1).await;
    let operator = json!({"operator": "dana"});

    let (status, out) = post(&first, "/v1/datacentres/amman-1/out", &operator).await;
    let (_, listed) = get(&second, "/v1/datacentres").await;
    let (returned_status, returned) = post(&second, "/v1/datacentres/amman-1/in", &operator).await;

    assert_eq!((status, &out["state"]), (StatusCode::OK, &json!("out")), "{out}");
    let of_amman = listed.as_array().unwrap().iter().find(|d| d["data_centre"] == "amman-1");
    assert_eq!(
        of_amman.unwrap()["state"],
        "out",
        "the change was acknowledged, but another entry does not report it"
    );
    assert_eq!((returned_status, &returned["version"]), (StatusCode::OK, &json!(2)), "{returned}");
}

#[tokio::test]
async fn change_with_lost_answers_succeeds_when_the_table_recovers() {
    let table = FaultyTable::default();
    let first = entry("entry-1", &table).await;
    wait_registered(&table, 1).await;
    roll_out(&first, 1).await;
    table.fault.store(LOSES_ANSWERS, Ordering::Relaxed);
    let table_to_restore = table.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(500)).await;
        table_to_restore.fault.store(AVAILABLE, Ordering::Relaxed);
    });
    let operator = json!({"operator": "dana"});
    let (status, body) = post(&first, "/v1/datacentres/amman-1/out", &operator).await;
    assert_eq!((status, &body["state"]), (StatusCode::OK, &json!("out")), "{body}");
}

#[tokio::test]
async fn rollout_does_not_wait_for_stopped_entry() {
    let table = FaultyTable::default();
    let (first, second) = (entry("entry-1", &table).await, entry("entry-2", &table).await);
    wait_registered(&table, 2).await;
    second.handle.stop().await;
    let (status, body) = roll_out(&first, 1).await;
    assert_eq!((status, &body["confirmed_by"]), (StatusCode::OK, &json!(["entry-1"])), "{body}");
}

#[tokio::test]
async fn restarted_entry_registers_under_the_same_name() {
    let table = FaultyTable::default();
    let first = entry("entry-1", &table).await;
    wait_registered(&table, 1).await;
    first.handle.stop().await;
    assert_eq!(table.store.scan_rows("entry/").len(), 0);
    let _again = entry("entry-1", &table).await;
    wait_registered(&table, 1).await;
}

#[test_case("/v1/bundles/propose", json!({"bundle": 1}), StatusCode::BAD_REQUEST, ErrorCode::BadInput; "malformed bundle")]
#[test_case("/v1/bundles/propose", json!(signed(bundle(), &[])), StatusCode::BAD_REQUEST, ErrorCode::BadInput; "unsigned bundle")]
#[test_case("/v1/bundles/propose", json!(signed(bundle(), &["stranger"])), StatusCode::BAD_REQUEST, ErrorCode::BadInput; "bundle signed by an untrusted partner")]
#[test_case("/v1/bundles/approve", signed_action(1, "aqaba", Purpose::RollOut), StatusCode::BAD_REQUEST, ErrorCode::BadInput; "wrong purpose")]
#[test_case("/v1/bundles/approve", signed_action(9, "aqaba", Purpose::Accept), StatusCode::CONFLICT, ErrorCode::Conflict; "nothing proposed")]
#[test_case("/v1/bundles/rollout", signed_action(9, "aqaba", Purpose::RollOut), StatusCode::CONFLICT, ErrorCode::Conflict; "nothing to roll out")]
#[test_case("/v1/bundles/approve", json!("x".repeat(5_000)), StatusCode::PAYLOAD_TOO_LARGE, ErrorCode::TooLarge; "action over the size limit")]
#[test_case("/v1/datacentres/amman-1/out", json!({}), StatusCode::BAD_REQUEST, ErrorCode::BadInput; "no operator")]
#[test_case("/v1/datacentres/amman-1/out", json!({"operator": ""}), StatusCode::BAD_REQUEST, ErrorCode::BadInput; "empty operator")]
#[test_case("/v1/datacentres/petra/out", json!({"operator": "dana"}), StatusCode::NOT_FOUND, ErrorCode::NotFound; "unknown data centre")]
#[tokio::test]
async fn bad_input_is_refused_with_its_error_code_and_writes_no_row(
    path: &str,
    body: Value,
    status: StatusCode,
    code: ErrorCode,
) {
    let table = FaultyTable::default();
    let first = entry("entry-1", &table).await;
    let (got_status, got) = post(&first, path, &body).await;
    let error = error_of(&got);
    assert_eq!((got_status, error.code, error.outcome), (status, code, Outcome::NotRun), "{got}");
    assert_eq!(table.store.scan_rows("config/"), []);
}

#[test_case("/v1/bundles/current")]
#[test_case("/v1/bundles/proposed")]
#[test_case("/v1/organisations")]
#[test_case("/v1/organisations/nobody")]
#[tokio::test]
async fn routes_that_read_the_bundle_return_not_found_without_a_bundle(path: &str) {
    let first = entry("entry-1", &FaultyTable::default()).await;
    let (status, body) = get(&first, path).await;
    assert_eq!((status, error_of(&body).code), (StatusCode::NOT_FOUND, ErrorCode::NotFound));
}
