//! A deployment in one process: entries and agents on loopback, endpoints that record the requests that they run, and a
//! table whose faults can be switched on and off.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use teaselhall::agent::{endpoint, endpoint_routes};
use teaselhall::entry::request_routes::RequestRoute;
use teaselhall::entry::{groups, listener, request_routes, requests};
use teaselhall::prelude::*;
use teaselhall::process::intake::{InnerConnections, Intake, ListenerKind, MachineLimits};
use teaselhall::process::{Metrics, MonotonicClock, new_incarnation};
use teaselhall::request::{RouterLimits, RouterRules};
use teaselhall::store::{Commit, Committed, Error, MemoryStore, Result, Row, Table, Writer};
use teaselhall::wire::{DataCentreState, EntryMessage, FrameKey, LinkSender, LinkSettings};
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;
use warp::Filter;
use xtra::Address;

/// The time that an endpoint takes for a request whose body begins with `work`.
pub const WORK: Duration = Duration::from_millis(20);
pub const BODY_LIMIT_BYTES: u64 = 256 * 1024;

/// A table in memory that can be unavailable, or lose the answers to commits.
#[derive(Clone, Default)]
pub struct FaultyTable {
    pub store: MemoryStore,
    pub down: Arc<AtomicBool>,
    pub loses_answers: Arc<AtomicBool>,
}

impl FaultyTable {
    fn check(&self) -> Result<()> {
        if self.down.load(Ordering::SeqCst) {
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
        if result.is_ok() && self.loses_answers.load(Ordering::SeqCst) {
            return Err(Error::UnknownResult { reason: "answer lost".to_owned() });
        }
        result
    }
}

pub fn link_settings() -> LinkSettings {
    LinkSettings::new(FrameKey::new([3; 32]))
}

pub fn rules() -> RouterRules {
    RouterRules {
        organisations: ["firm".into()].into(),
        kinds: [("check".into(), Class::Urgent)].into(),
        queue_limits: [(Class::Urgent, 100)].into(),
        retry_budget_per_mille: 200,
        limits: RouterLimits::default(),
    }
}

/// Returns a runtime for one simulated process. Its shutdown stands for a crash of the process.
fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap()
}

/// An entry in its own runtime, which can be shut down to simulate a crash.
pub struct Entry {
    pub http: SocketAddr,
    pub agents: SocketAddr,
    pub requests: Address<requests::Requests<FaultyTable>>,
    pub connections: Arc<Mutex<Vec<LinkSender<EntryMessage>>>>,
    runtime: Option<tokio::runtime::Runtime>,
}

impl Entry {
    /// Starts an entry on free ports, or on the ports of `crashed`.
    pub async fn start(table: &FaultyTable, rules: RouterRules, crashed: Option<&Self>) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let (http, agents) =
            crashed.map_or((any_port, any_port), |entry| (entry.http, entry.agents));
        let runtime = runtime();
        let table = table.clone();
        let started = runtime.spawn(async move { Self::serve(table, rules, http, agents).await });
        let mut entry = started.await.unwrap();
        entry.runtime = Some(runtime);
        entry
    }

    async fn serve(
        table: FaultyTable,
        rules: RouterRules,
        http: SocketAddr,
        agents: SocketAddr,
    ) -> Self {
        let (clock, metrics) = (MonotonicClock::start(), Metrics::default());
        let random = ChaCha8Rng::seed_from_u64(1);
        let incarnation = new_incarnation();
        let writer = Writer::new(table);
        let requests = requests::spawn(incarnation, writer, clock, &metrics, random.clone());
        requests.send(requests::ApplyRules { rules }).await.unwrap();
        let groups = groups::Groups::new(clock, &metrics, random);
        let groups = xtra::spawn_tokio(groups, xtra::Mailbox::bounded(64));
        let (config, mut events) = mpsc::channel(64);
        let connections: Arc<Mutex<Vec<_>>> = Arc::default();
        let senders = connections.clone();
        tokio::spawn(async move {
            while let Some(event) = events.recv().await {
                if let listener::ConfigEvent::Connected { sender, .. } = event {
                    senders.lock().unwrap().push(sender);
                }
            }
        });
        let actors = listener::Actors { requests: requests.clone(), groups, config };
        let agent_listener = TcpListener::bind(agents).await.unwrap();
        let agents = agent_listener.local_addr().unwrap();
        let inner = InnerConnections::new(intake());
        tokio::spawn(listener::serve(agent_listener, link_settings(), incarnation, actors, inner));
        let route = RequestRoute::new(requests.clone(), incarnation, BODY_LIMIT_BYTES);
        let http = serve_http(http, request_routes::routes(&route)).await.0;
        Self { http, agents, requests, connections, runtime: None }
    }

    pub fn crash(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Sends the state of their data centre to all connected agents.
    pub fn send_data_centre_state(&self, state: DataCentreState, version: u64) {
        for sender in self.connections.lock().unwrap().iter() {
            let _ = sender.try_send(EntryMessage::DataCentreState { state, version, permit_ms: 0 });
        }
    }

    pub async fn endpoints(&self) -> u64 {
        self.requests.send(requests::Dump).await.unwrap().endpoints
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.crash();
    }
}

fn intake() -> Intake {
    Intake::new(&MachineLimits::default(), &Metrics::default())
}

async fn serve_http<F>(address: SocketAddr, routes: F) -> (SocketAddr, JoinHandle<()>)
where
    F: Filter<Error = warp::Rejection> + Clone + Send + Sync + 'static,
    F::Extract: warp::Reply,
{
    let listener = TcpListener::bind(address).await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let shutdown = std::future::pending();
        intake().serve_on(ListenerKind::Clients, listener, routes, shutdown).await;
    });
    (address, server)
}

/// Bodies of the requests that an endpoint ran, and the notification on which requests that it holds back continue.
#[derive(Clone, Default)]
pub struct Record {
    pub bodies: Arc<Mutex<Vec<Vec<u8>>>>,
    pub release: Arc<Notify>,
}

impl Record {
    pub fn count(&self) -> usize {
        self.bodies.lock().unwrap().len()
    }
}

/// An agent and the endpoint beside it. The body of a request selects the answer of the endpoint: see [`answer`].
pub struct Agent {
    pub record: Record,
    pub http: SocketAddr,
    pub address: Address<endpoint::Endpoint>,
    pub endpoint: SocketAddr,
    slots: u32,
    runtime: Option<tokio::runtime::Runtime>,
}

impl Agent {
    pub async fn start(name: &'static str, slots: u32, entries: &[&Entry]) -> Self {
        let record = Record::default();
        let recorded = record.clone();
        let run = warp::path!("run").and(warp::body::bytes()).then(move |body: Bytes| {
            let record = recorded.clone();
            async move { answer(&record, body).await }
        });
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let endpoint = serve_http(any_port, run).await.0;
        Self::start_beside(name, slots, entries, endpoint, record).await
    }

    async fn start_beside(
        name: &'static str,
        slots: u32,
        entries: &[&Entry],
        endpoint: SocketAddr,
        record: Record,
    ) -> Self {
        let runtime = runtime();
        let entries: Vec<_> = entries.iter().map(|entry| entry.agents).collect();
        let (address, http) = runtime
            .spawn(async move {
                let address = endpoint::spawn(MonotonicClock::start(), &Metrics::default());
                let (bundles, _) = mpsc::channel(8);
                endpoint::connect_entries(&address, &entries, &link_settings(), &bundles);
                let routes = endpoint_routes::EndpointRoutes {
                    endpoint: address.clone(),
                    id: name.into(),
                    incarnation: new_incarnation(),
                    data_centre: "one".into(),
                };
                let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
                let http = serve_http(any_port, endpoint_routes::routes(&routes)).await.0;
                (address, http)
            })
            .await
            .unwrap();
        let agent = Self { record, http, address, endpoint, slots, runtime: Some(runtime) };
        let announced = agent.announce(json!({ "endpoint": name })).await;
        assert_eq!(announced, 200);
        agent
    }

    /// Announces the endpoint and returns the HTTP status; `fields` replace or extend the default fields.
    pub async fn announce(&self, fields: Value) -> u16 {
        let mut body = json!({
            "url": format!("http://{}/run", self.endpoint),
            "slots": self.slots,
            "connections": 64,
        });
        body.as_object_mut().unwrap().extend(fields.as_object().unwrap().clone());
        let url = format!("http://{}/v1/announce", self.http);
        client().post(url).json(&body).send().await.unwrap().status().as_u16()
    }

    pub async fn restart(self, name: &'static str, entries: &[&Entry]) -> Self {
        let (endpoint, record, slots) = (self.endpoint, self.record.clone(), self.slots);
        drop(self);
        Self::start_beside(name, slots, entries, endpoint, record).await
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Answers `work..` after [`WORK`], `hold..` after its release, `large..` with 300,000 bytes, `break..` with a
/// part of such an answer whose connection closes at its release, and anything else with the body itself.
async fn answer(record: &Record, body: Bytes) -> warp::reply::Response {
    use warp::Reply;
    record.bodies.lock().unwrap().push(body.to_vec());
    if body.starts_with(b"work") {
        tokio::time::sleep(WORK).await;
    }
    if body.starts_with(b"hold") {
        record.release.notified().await;
    }
    if body.starts_with(b"large") {
        return large_answer(&body).into_response();
    }
    if body.starts_with(b"break") {
        let release = record.release.clone();
        let end = async move {
            release.notified().await;
            Err(std::io::Error::other("endpoint crashed"))
        };
        let broken = futures::stream::iter([Ok(Bytes::from(large_answer(&body)))]);
        let broken = broken.chain(futures::stream::once(end));
        return warp::reply::stream(broken).into_response();
    }
    body.to_vec().into_response()
}

pub fn large_answer(body: &[u8]) -> Vec<u8> {
    body.iter().copied().cycle().take(300_000).collect()
}

pub fn client() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().build().unwrap()
}

/// Waits for a condition, and panics if it is not met within 20 s. The limit has a margin for a busy machine.
pub async fn eventually<F, Fut>(what: &str, condition: F)
where
    F: Fn() -> Fut,
    Fut: Future<Output = bool>,
{
    for _ in 0..2_000 {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("condition was not met within 20 s: {what}");
}

/// A call of `POST /v1/requests`.
pub struct Call<'a> {
    pub entry: &'a Entry,
    pub body: Vec<u8>,
    pub key: Option<&'a str>,
    pub query: HashMap<&'a str, &'a str>,
}

impl<'a> Call<'a> {
    pub fn new(entry: &'a Entry, body: &[u8]) -> Self {
        let query = [("organisation", "firm"), ("kind", "check"), ("deadline_ms", "20000")];
        Self { entry, body: body.to_vec(), key: None, query: query.into() }
    }

    pub fn with(mut self, name: &'a str, value: &'a str) -> Self {
        self.query.insert(name, value);
        self
    }

    pub fn key(mut self, key: &'a str) -> Self {
        self.key = Some(key);
        self
    }

    fn request(self) -> reqwest::RequestBuilder {
        let fields = self.query.iter().map(|(name, value)| format!("{name}={value}"));
        let query = fields.collect::<Vec<_>>().join("&");
        let url = format!("http://{}/v1/requests?{query}", self.entry.http);
        let request = client().post(url).body(self.body);
        match self.key {
            Some(key) => request.header("idempotency-key", key),
            None => request,
        }
    }

    pub fn send(self) -> impl Future<Output = reqwest::Result<reqwest::Response>> + use<> {
        self.request().send()
    }

    /// Sends the call and returns status, outcome and body of the answer.
    pub async fn answer(self) -> (u16, String, Vec<u8>) {
        let response = self.send().await.unwrap();
        let status = response.status().as_u16();
        let header = response.headers().get("x-teaselhall-outcome").cloned();
        let body = response.bytes().await.unwrap().to_vec();
        let outcome = match header {
            Some(outcome) => outcome.to_str().unwrap().to_owned(),
            None => {
                let error: Value = serde_json::from_slice(&body).unwrap();
                error["outcome"].as_str().unwrap().to_owned()
            }
        };
        (status, outcome, body)
    }
}
