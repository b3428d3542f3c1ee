//! A small deployment: the project's programs as processes, started as the deploy file says, with stand-ins of the store
//! and of the runners.

use std::collections::BTreeMap;
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{Json, number, object, text};
use crate::record::Record;
use crate::runner::{Runner, RunnerSettings};
use crate::store::Store;

pub const SERVICE: &str = "slotbook";
const HOST: &str = "nony24.example";
const KEY: &str = "key-of-north-aero";
const ZONES: [&str; 3] = ["amman-north", "amman-east", "amman-south"];
const INNER_PORT: u16 = 7_000;
const FRONT_PORT: u16 = 8_521;
const READY_PORT: u16 = 8_523;
const CONTROL_PORT: u16 = 8_526;
const METRICS_PORT: u16 = 9_464;
const STORE_PORT: u16 = 8_524;
const APP_PORT: u16 = 8_080;
/// Time for which clients wait for a response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Result of a case: whether the rule held, or the reason for which it could not run.
pub type Outcome = Result<bool, String>;

#[derive(Clone)]
pub struct Machine {
    pub name: String,
    role: &'static str,
    pub ip: Ipv4Addr,
    seeds: Vec<SocketAddr>,
    settings: PathBuf,
}

pub struct Deployment {
    root: PathBuf,
    folder: PathBuf,
    base: [u8; 2],
    pub record: Record,
    pub store: Store,
    processes: BTreeMap<String, Child>,
    pub fronts: Vec<Machine>,
    pub sides: Vec<Machine>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn io_error(error: std::io::Error) -> String {
    error.to_string()
}

/// Queues by name: priority, and attempts of a task.
const QUEUES: [(&str, u64, u64); 3] = [("urgent", 0, 4), ("usual", 1, 3), ("nightly", 2, 4)];

fn manifest() -> String {
    let routes = QUEUES.iter().map(|(name, priority, attempts)| {
        object(vec![
            ("name", text(*name)),
            ("host", text(HOST)),
            ("pathPrefix", text(format!("/{name}/"))),
            ("service", text(SERVICE)),
            ("priority", number(*priority)),
            ("attempts", number(*attempts)),
            ("stretch", number(3)),
            ("sloMs", number(60_000)),
        ])
    });
    let tenant = object(vec![
        ("name", text("north-aero")),
        ("apiKeys", Json::List(vec![text(KEY)])),
        ("guaranteed", object(vec![("gpu", number(8))])),
    ]);
    let service = object(vec![("name", text(SERVICE)), ("enforcesCapacity", Json::Bool(false))]);
    object(vec![
        ("version", number(1)),
        ("routes", Json::List(routes.collect())),
        ("services", Json::List(vec![service])),
        ("tenants", Json::List(vec![tenant])),
        ("limits", object(vec![("bodyBytes", number(262_144))])),
    ])
    .to_string()
}

impl Deployment {
    /// Starts the stand-in of the store, without processes of the system.
    pub fn new(root: &Path, record: &Record) -> Result<Self, String> {
        let pid = std::process::id();
        for attempt in 0..200_u32 {
            let seed = pid.wrapping_mul(31).wrapping_add(attempt * 7_919);
            let base = [1 + (seed % 250) as u8, (seed / 250 % 250) as u8];
            let address = SocketAddr::new(ip_of(base, 7).into(), STORE_PORT);
            let Ok(store) = Store::serve(address) else {
                continue;
            };
            let folder = std::env::temp_dir().join(format!("teaselhall-review-{pid}"));
            fs::create_dir_all(&folder).map_err(io_error)?;
            store.operator_put("config", &manifest());
            return Ok(Self {
                root: root.to_owned(),
                folder,
                base,
                record: record.clone(),
                store,
                processes: BTreeMap::new(),
                fronts: Vec::new(),
                sides: Vec::new(),
            });
        }
        Err("no free address".to_owned())
    }

    /// Returns an address of the deployment that no machine has.
    pub fn spare_ip(&self) -> Ipv4Addr {
        ip_of(self.base, 200)
    }

    pub fn inner_address(ip: Ipv4Addr) -> SocketAddr {
        SocketAddr::new(ip.into(), INNER_PORT)
    }

    /// Adds a front, without starting it. `seeds` are IP addresses of machines.
    pub fn add_front(&mut self, seeds: &[Ipv4Addr]) -> Machine {
        let number = self.fronts.len();
        let zone = ZONES[number % ZONES.len()];
        let ip = ip_of(self.base, 10 + number as u8);
        let name = format!("front-{zone}-{}", 1 + number / ZONES.len());
        let machine = self.machine(name, "front", ip, seeds);
        self.fronts.push(machine.clone());
        machine
    }

    /// Adds a side, without starting it.
    pub fn add_side(&mut self) -> Machine {
        let number = self.sides.len();
        let zone = ZONES[number % ZONES.len()];
        let ip = ip_of(self.base, 40 + number as u8);
        let name = format!("side-{zone}-{}", 1 + number / ZONES.len());
        let seeds: Vec<Ipv4Addr> = self.fronts.iter().take(3).map(|front| front.ip).collect();
        let machine = self.machine(name, "side", ip, &seeds);
        self.sides.push(machine.clone());
        machine
    }

    fn machine(
        &self,
        name: String,
        role: &'static str,
        ip: Ipv4Addr,
        seeds: &[Ipv4Addr],
    ) -> Machine {
        let seeds = seeds.iter().map(|ip| SocketAddr::new((*ip).into(), CONTROL_PORT)).collect();
        let settings = self.folder.join(format!("{name}.json"));
        Machine { name, role, ip, seeds, settings }
    }

    /// Returns the settings of the runner beside a side.
    pub fn runner_settings(&self, side: &Machine, kind: &str) -> RunnerSettings {
        let zone = ZONES.iter().find(|zone| side.name.contains(**zone)).unwrap_or(&ZONES[0]);
        RunnerSettings {
            name: side.name.clone(),
            service: SERVICE.to_owned(),
            zone: (*zone).to_owned(),
            labels: vec![kind.to_owned(), format!("r-{zone}")],
            cpu: 32_000,
            memory_mb: 131_072,
            gpu: 8,
            app: SocketAddr::new(side.ip.into(), APP_PORT),
            control: SocketAddr::new(side.ip.into(), CONTROL_PORT),
            saved_length: 0,
        }
    }

    pub fn start_runner(
        &self,
        settings: RunnerSettings,
        clock_ahead_ms: u64,
    ) -> Result<Runner, String> {
        Runner::start(settings, clock_ahead_ms, &self.record).map_err(io_error)
    }

    /// Starts the process of a machine as the deploy file says.
    pub fn start(&mut self, machine: &Machine) -> Result<(), String> {
        let template = self.root.join(format!("deploy/{}.json.template", machine.role));
        let template = fs::read_to_string(template).map_err(io_error)?;
        let address = |port| format!("\"{}\"", SocketAddr::new(machine.ip.into(), port));
        let seeds: Vec<String> = machine.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let store = SocketAddr::new(ip_of(self.base, 7).into(), STORE_PORT);
        let values = [
            ("node|json", format!("\"{}\"", machine.name)),
            ("ip|json", format!("\"{}\"", machine.ip)),
            ("portRange.0", INNER_PORT.to_string()),
            ("seeds|json", format!("[{}]", seeds.join(","))),
            ("platform.addr|json", format!("\"{store}\"")),
            ("bounds.graceS|json", "6".to_owned()),
            ("bounds.holdMaxMs|json", "10000".to_owned()),
            ("listen.front|json", address(FRONT_PORT)),
            ("listen.readyAddr|json", address(READY_PORT)),
            ("listen.controlAddr|json", address(CONTROL_PORT)),
            ("app|json", address(APP_PORT)),
        ];
        let mut settings = template;
        for (name, value) in values {
            settings = settings.replace(&format!("{{{{{name}}}}}"), &value);
        }
        fs::write(&machine.settings, settings).map_err(io_error)?;
        let deploy = fs::read_to_string(self.root.join("deploy/system.toml")).map_err(io_error)?;
        let section = deploy.split(&format!("[roles.{}]", machine.role)).nth(1).unwrap_or("");
        let run = section.lines().find_map(|line| line.strip_prefix("run = \""));
        let run = run.and_then(|line| line.split('"').next()).ok_or("no command")?;
        let mut words = run.split(' ');
        let log = fs::File::create(self.folder.join(format!("{}.log", machine.name)));
        let process = Command::new(self.root.join(words.next().unwrap_or_default()))
            .args(words)
            .current_dir(&self.root)
            .env("TEASELHALL_NODE_FILE", &machine.settings)
            .stdin(Stdio::null())
            .stdout(log.map_err(io_error)?)
            .stderr(Stdio::null())
            .spawn()
            .map_err(io_error)?;
        self.record.add(format!("{} starts", machine.name));
        self.processes.insert(machine.name.clone(), process);
        Ok(())
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, machine: &Machine, signal: &str) -> Result<(), String> {
        let process = self.processes.get(&machine.name).ok_or("no process")?;
        let command = format!("kill -{signal} {}", process.id());
        let status = Command::new("sh").args(["-c", &command]).status().map_err(io_error)?;
        self.record.add(format!("{} gets SIG{signal}", machine.name));
        if status.success() { Ok(()) } else { Err(format!("{command} failed")) }
    }

    /// Kills the process of a machine.
    pub fn kill(&mut self, machine: &Machine) {
        if let Some(mut process) = self.processes.remove(&machine.name) {
            let _ = process.kill();
            let _ = process.wait();
            self.record.add(format!("{} is killed", machine.name));
        }
    }

    /// Keeps the logs of the processes in a folder, for the reader of a case.
    pub fn keep_logs(&self, folder: &Path) {
        for machine in self.fronts.iter().chain(&self.sides) {
            let name = format!("{}.log", machine.name);
            let _ = fs::copy(self.folder.join(&name), folder.join(&name));
        }
    }

    fn call(&self, front: &Machine, method: &str, path: &str, body: &str) -> (u16, String) {
        let address = SocketAddr::new(front.ip.into(), FRONT_PORT);
        let key = format!("Bearer {KEY}");
        let headers =
            [("host", HOST), ("authorization", key.as_str()), ("x-teaselhall-timeout-ms", "3000")];
        http::call(address, method, path, &headers, body, CLIENT_TIMEOUT)
    }

    /// Submits a job at a front, until it is accepted. The payload says what its tasks do.
    pub fn submit(
        &self,
        front: &Machine,
        queue: &str,
        job: &str,
        payload: &str,
        steps: Vec<Vec<(&str, Json)>>,
    ) -> Result<(), String> {
        let steps = Json::List(steps.into_iter().map(object).collect());
        let body = object(vec![("spec", text(payload)), ("steps", steps)]).to_string();
        let until = Instant::now() + Duration::from_secs(5);
        loop {
            let (status, answer) = self.call(front, "POST", &format!("/{queue}/{job}"), &body);
            self.record.add(format!("POST {queue}/{job} at {}: {status} {answer}", front.name));
            if status == 200 {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(format!("job {job} was not accepted: {status}"));
            }
            thread::sleep(Duration::from_millis(300));
        }
    }

    /// Cancels a job at a front.
    pub fn cancel(&self, front: &Machine, queue: &str, job: &str) -> u16 {
        let (status, _) = self.call(front, "DELETE", &format!("/{queue}/{job}"), "");
        self.record.add(format!("DELETE {queue}/{job} at {}: {status}", front.name));
        status
    }

    /// Returns the state of a job at a front, or the status of the answer.
    pub fn state(&self, front: &Machine, queue: &str, job: &str) -> String {
        let (status, answer) = self.call(front, "GET", &format!("/{queue}/{job}"), "");
        let state = match status {
            200 => Json::parse(&answer).unwrap_or(Json::Null).str_of("state").to_owned(),
            _ => status.to_string(),
        };
        self.record.add(format!("GET {queue}/{job} at {}: {state}", front.name));
        state
    }

    /// Returns the number of waiting jobs of a queue according to a front.
    pub fn waiting(&self, front: &Machine, queue: &str) -> Option<u64> {
        let (status, answer) = self.call(front, "GET", &format!("/{queue}/"), "");
        self.record.add(format!("GET {queue}/ at {}: {status} {answer}", front.name));
        (status == 200).then(|| Json::parse(&answer).unwrap_or(Json::Null).u64_of("waiting"))
    }

    /// Waits until a front is ready.
    pub fn wait_ready(&self, front: &Machine) -> Result<(), String> {
        let address = SocketAddr::new(front.ip.into(), READY_PORT);
        wait_for(Duration::from_secs(15), &format!("{} is ready", front.name), || {
            http::call(address, "GET", "/readyz", &[], "", Duration::from_secs(1)).0 == 200
        })
    }

    /// Waits until the system has run a job of one task.
    pub fn wait_working(&self, front: &Machine, kind: Option<&str>) -> Result<(), String> {
        let job = format!("{:016x}", 0xfeed_0000_u64 + u64::from(std::process::id()));
        let mut step = vec![("count", number(1)), ("cpu", number(100)), ("estMs", number(300))];
        if let Some(kind) = kind {
            step.push(("requires", text(kind)));
        }
        self.submit(front, "usual", &job, "run 300", vec![step])?;
        wait_for(Duration::from_secs(20), "the first job is done", || {
            self.record.done_of(&job) == 1
        })
    }

    /// Returns the name of the front that leads.
    pub fn leader(&self) -> Result<String, String> {
        let leads = |front: &&Machine| {
            let dump = self.dump(front);
            dump.contains("\"planner\"") && !dump.contains("\"planner\":null")
        };
        self.fronts.iter().find(leads).map(|front| front.name.clone()).ok_or("no leader".to_owned())
    }

    /// Returns the text of a machine's dump of its state.
    pub fn dump(&self, machine: &Machine) -> String {
        let address = SocketAddr::new(IpAddr::V4(machine.ip), METRICS_PORT);
        http::call(address, "GET", "/dump", &[], "", Duration::from_secs(2)).1
    }
}

fn ip_of(base: [u8; 2], host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, base[0], base[1], host)
}

pub fn wait_for<F>(limit: Duration, what: &str, is_met: F) -> Result<(), String>
where
    F: Fn() -> bool,
{
    let until = Instant::now() + limit;
    while !is_met() {
        if Instant::now() >= until {
            return Err(format!("not within {limit:?}: {what}"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}
