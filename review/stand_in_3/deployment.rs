//! A small deployment: the project's programs as processes on loopback addresses, and the stand-ins around them.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::gate::Gate;
use crate::http;
use crate::json::{Json, number, object, text};
use crate::record::Record;
use crate::runner::Runner;
use crate::store::Store;

const HOST: &str = "nony24.example";

/// A tenant with a queue of its own, whose service has runners of its own.
pub struct Tenant {
    name: &'static str,
    key: &'static str,
    prefix: &'static str,
    service: &'static str,
}

pub const TENANTS: [Tenant; 2] = [
    Tenant { name: "tenant-1", key: "key-1", prefix: "/lohu930/", service: "huvo11a" },
    Tenant { name: "tenant-2", key: "key-2", prefix: "/zeta77/", service: "kelp9b" },
];
const FRONTS: usize = 3;
const SIDES: usize = 11;
const INNER_PORT: u16 = 7_000;
const FRONT_PORT: u16 = 8_521;
const READY_PORT: u16 = 8_523;
const CONTROL_PORT: u16 = 8_526;
const APP_PORT: u16 = 8_080;
const ZONES: [&str; 3] = ["langley-a", "langley-b", "abbotsford"];
/// The environment that `deploy/system.toml` sets, with the figures of the site file fsgw-teaselhall.
const SIDE_ENVIRONMENT: [(&str, &str); 2] =
    [("TEASELHALL_MEMORY_LIMIT_MB", "128"), ("TEASELHALL_DESCRIPTOR_LIMIT", "4096")];
const FRONT_ENVIRONMENT: [(&str, &str); 7] = [
    ("TEASELHALL_ROW_LIMIT_BYTES", "65536"),
    ("TEASELHALL_SPEED_SPREAD_PERCENT", "165"),
    ("TEASELHALL_STOP_MS", "900"),
    ("TEASELHALL_CHECKPOINT_INTERVAL_S", "2"),
    ("TEASELHALL_RESTORE_MS", "250"),
    ("TEASELHALL_MEMORY_LIMIT_MB", "260"),
    ("TEASELHALL_DESCRIPTOR_LIMIT", "4100"),
];

/// A process of the system on a machine of its own.
pub struct Machine {
    pub name: String,
    ip: Ipv4Addr,
    program: PathBuf,
    environment: &'static [(&'static str, &'static str)],
    settings: PathBuf,
    child: Option<Child>,
}

impl Machine {
    /// Starts the process, as the platform does.
    pub fn start(&mut self) {
        let path = self.settings.with_extension("log");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(path);
        let child = Command::new(&self.program)
            .env_clear()
            .envs(std::env::vars().filter(|(name, _)| name == "PATH" || name == "HOME"))
            .env("TEASELHALL_NODE_FILE", &self.settings)
            .envs(self.environment.iter().copied())
            .stdin(Stdio::null())
            .stdout(log.expect("the log can be written"))
            .spawn();
        self.child = Some(child.expect("the program of the deploy file is built"));
    }

    /// Sends a signal, such as `STOP`, to this process alone.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let line = format!("kill -s {signal} {}", child.id());
            let _ = Command::new("sh").args(["-c", &line]).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Deployment {
    pub fronts: Vec<Machine>,
    pub sides: Vec<Machine>,
    pub runners: Vec<Runner>,
    /// The way from each side to its runner.
    pub gates: Vec<Gate>,
    pub store: Store,
    pub record: Record,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.fronts.clear();
        self.sides.clear();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn manifest(tenants: &[Tenant]) -> Json {
    let route = |tenant: &Tenant| {
        object([
            ("name", text(format!("queue-of-{}", tenant.name))),
            ("host", text(HOST)),
            ("pathPrefix", text(tenant.prefix)),
            ("service", text(tenant.service)),
            ("priority", number(1)),
            ("attempts", number(3)),
            ("stretch", number(3)),
            ("sloMs", number(1_000)),
        ])
    };
    let service = |tenant: &Tenant| object([("name", text(tenant.service))]);
    let entry = |tenant: &Tenant| {
        object([
            ("name", text(tenant.name)),
            ("apiKeys", Json::List(vec![text(tenant.key)])),
            ("guaranteed", object([("gpu", number(8))])),
        ])
    };
    object([
        ("version", number(1)),
        ("routes", Json::List(tenants.iter().map(route).collect())),
        ("services", Json::List(tenants.iter().map(service).collect())),
        ("tenants", Json::List(tenants.iter().map(entry).collect())),
        ("limits", object([("bodyBytes", number(262_144))])),
    ])
}

impl Deployment {
    /// Starts the stand-ins and the processes. The runners belong to the services of the tenants in turn.
    pub fn start(root: &Path, record: &Record, tenants: &[Tenant]) -> Self {
        let (fronts, sides) = (FRONTS, SIDES);
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("teaselhall-review-{id}"));
        std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
        // Each machine has a loopback address of its own; the network depends on the process, so that they are free.
        let [high, low] = ((id % 60_000 + 2_000) as u16).to_be_bytes();
        let ip = |machine: usize| Ipv4Addr::new(127, high, low, 10 + machine as u8);
        let store = Store::new(record);
        let store_address = store.serve();
        store.write_operator_row("config", &manifest(tenants));
        let seeds = (0..fronts.min(3)).map(|front| text(format!("{}:{CONTROL_PORT}", ip(front))));
        let seeds = Json::List(seeds.collect());
        let common = |name: &str, machine: usize| {
            object([
                ("machine", text(name)),
                ("ip", text(ip(machine).to_string())),
                ("inner_port", number(INNER_PORT.into())),
                ("seeds", seeds.clone()),
                ("store_address", text(store_address.to_string())),
                ("frame_key", text("07".repeat(32))),
                ("grace_s", number(6)),
                ("lease_limit_ms", number(10_000)),
            ])
        };
        let machine = |name: String, ip, program: &str, environment, settings: Json| {
            let path = folder.join(format!("{name}.json"));
            std::fs::write(&path, settings.to_string()).expect("settings can be written");
            let program = root.join("target/release").join(program);
            Machine { name, ip, program, environment, settings: path, child: None }
        };
        let mut deployment = Self {
            fronts: Vec::new(),
            sides: Vec::new(),
            runners: Vec::new(),
            gates: Vec::new(),
            store,
            record: record.clone(),
            folder: folder.clone(),
        };
        for front in 0..fronts {
            let (name, ip) = (format!("front-{}-1", ZONES[front % 3]), ip(front));
            let settings = object([
                ("common", common(&name, front)),
                ("client_address", text(format!("{ip}:{FRONT_PORT}"))),
                ("ready_address", text(format!("{ip}:{READY_PORT}"))),
            ]);
            let environment = &FRONT_ENVIRONMENT[..];
            let front = machine(name, ip, "teaselhall-front", environment, settings);
            deployment.fronts.push(front);
        }
        for side in 0..sides {
            let (zone, ip) = (ZONES[side % 3], ip(fronts + side));
            let name = format!("side-{zone}-{}", side / 3 + 1);
            let service = tenants[side % tenants.len()].service;
            let control = SocketAddr::from((ip, CONTROL_PORT));
            let (runner, calls) =
                Runner::start(&format!("7f3a91c{side}"), zone, service, control, record);
            let gate = SocketAddr::from((ip, APP_PORT));
            deployment.gates.push(Gate::start(gate, calls));
            let settings = object([
                ("common", common(&name, fronts + side)),
                ("heartbeat_address", text(control.to_string())),
                ("worker_address", text(gate.to_string())),
            ]);
            let environment = &SIDE_ENVIRONMENT[..];
            deployment.sides.push(machine(name, ip, "teaselhall-side", environment, settings));
            deployment.runners.push(runner);
        }
        for machine in deployment.fronts.iter_mut().chain(&mut deployment.sides) {
            machine.start();
        }
        deployment
    }

    /// Waits until all fronts report that they are ready. Returns whether they do within 15 s.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        let is_ready = |front: &Machine| {
            let limit = Duration::from_secs(1);
            let probe = http::call(front.address(READY_PORT), ("GET", "/readyz"), &[], "", limit);
            probe.is_some_and(|(status, _)| status == 200)
        };
        while Instant::now() < until {
            if self.fronts.iter().all(is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a call of a tenant's requester to a front, and records it with its answer. The requester leaves after `patience`.
    pub fn request(
        &self,
        front: usize,
        tenant: &Tenant,
        (method, id): (&str, &str),
        body: &str,
        patience: Duration,
    ) -> Option<(u16, Json)> {
        let machine = &self.fronts[front];
        let authorization = format!("Bearer {}", tenant.key);
        let headers = [
            ("host", HOST),
            ("authorization", authorization.as_str()),
            ("x-teaselhall-timeout-ms", "3000"),
        ];
        let path = format!("{}{id}", tenant.prefix);
        let call =
            format!("requester of {}: {method} {path} {body} at {}", tenant.name, machine.name);
        self.record.line(&call);
        let address = machine.address(FRONT_PORT);
        let answer = http::call(address, (method, &path), &headers, body, patience);
        let shown = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => format!("left after {} ms", patience.as_millis()),
        };
        self.record.line(&format!("requester of {}: {method} {path} -> {shown}", tenant.name));
        answer.map(|(status, body)| (status, Json::parse(&body).unwrap_or(Json::Null)))
    }
}
