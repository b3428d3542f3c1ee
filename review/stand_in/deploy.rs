//! Starts the programs of the deploy file as processes, each with a loopback address of its own as its machine.

use std::collections::HashMap;
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{Json, number, object, text};
use crate::record::Record;
use crate::runner::{Placing, Runners};
use crate::store::Store;

pub const SERVICE: &str = "solver";
pub const HOST: &str = "jobs.example";
pub const KEY: &str = "key-north";
const ZONES: [&str; 3] = ["amman-north", "amman-east", "amman-south"];
/// Port of the metrics, from the deploy file.
const METRICS_PORT: u16 = 9464;
const STORE_MACHINE: u8 = 1;
const FIRST_MACHINE: u8 = 10;
const LAST_MACHINE: u8 = 40;

#[derive(Clone, Copy)]
struct Ports {
    inner: u16,
    front: u16,
    ready: u16,
    control: u16,
    app: u16,
    store: u16,
}

pub struct Process {
    pub name: String,
    class: &'static str,
    pub ip: Ipv4Addr,
    child: Option<Child>,
}

impl Process {
    pub fn is_up(&self) -> bool {
        self.child.is_some()
    }

    /// Memory in use, in kB.
    pub fn memory_kb(&self) -> Option<u64> {
        let process = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

pub struct Deployment {
    root: PathBuf,
    folder: PathBuf,
    network: [u8; 2],
    ports: Ports,
    next_machine: u8,
    pub record: Record,
    pub store: Store,
    pub runners: Runners,
    pub fronts: Vec<Process>,
    pub sides: Vec<Process>,
    /// Addresses that the platform renders as seeds.
    seeds: Vec<String>,
}

pub struct Queue {
    pub name: &'static str,
    pub priority: u64,
    pub attempts: u64,
    pub stretch: u64,
    pub slo_ms: u64,
}

impl Deployment {
    /// Starts the store, writes the manifest and starts fronts and sides, one runner beside each side.
    pub fn start(
        root: &Path,
        folder: &Path,
        record: &Record,
        queues: &[Queue],
        fronts: usize,
        sides: &[Placing],
    ) -> io::Result<Self> {
        let (network, ports) = free_network()?;
        let store_address = address(network, STORE_MACHINE, ports.store);
        let store = Store::start(store_address, record)?;
        store.write_as_operator("config", &manifest(queues));
        let mut deployment = Self {
            root: root.to_owned(),
            folder: folder.to_owned(),
            network,
            ports,
            next_machine: FIRST_MACHINE,
            record: record.clone(),
            store,
            runners: Runners::new(record),
            fronts: Vec::new(),
            sides: Vec::new(),
            seeds: Vec::new(),
        };
        let ips: Vec<Ipv4Addr> = (0..fronts).map(|_| deployment.next_ip()).collect();
        deployment.set_seeds(&ips);
        for ip in ips {
            let name = format!("front-{}-1", ZONES[deployment.fronts.len() % ZONES.len()]);
            let process = deployment.spawn(name, "front", ip)?;
            deployment.fronts.push(process);
        }
        for (index, placing) in sides.iter().enumerate() {
            let ip = deployment.next_ip();
            let name = format!("side-{}-{}", placing.zone, index + 1);
            let process = deployment.spawn(name, "side", ip)?;
            deployment.sides.push(process);
            let app = SocketAddr::new(ip.into(), ports.app);
            let control = SocketAddr::new(ip.into(), ports.control);
            deployment.runners.add(placing.clone(), SERVICE, app, control)?;
        }
        Ok(deployment)
    }

    fn next_ip(&mut self) -> Ipv4Addr {
        self.next_machine += 1;
        Ipv4Addr::new(127, self.network[0], self.network[1], self.next_machine - 1)
    }

    fn set_seeds(&mut self, ips: &[Ipv4Addr]) {
        self.seeds = ips.iter().map(|ip| format!("{ip}:{}", self.ports.control)).collect();
    }

    /// Renders the template of a role as the platform does, with the fields that the templates use.
    fn render(&self, process: (&str, &str, Ipv4Addr)) -> io::Result<String> {
        let (name, class, ip) = process;
        let mut settings =
            fs::read_to_string(self.root.join(format!("deploy/{class}.json.template")))?;
        let store = address(self.network, STORE_MACHINE, self.ports.store);
        let seeds = Json::List(self.seeds.iter().map(|seed| text(seed)).collect());
        let quoted = |port: u16| text(&format!("{ip}:{port}")).to_string();
        let fields = HashMap::from([
            ("{{node|json}}", text(name).to_string()),
            ("{{ip|json}}", text(&ip.to_string()).to_string()),
            ("{{portRange.0}}", self.ports.inner.to_string()),
            ("{{seeds|json}}", seeds.to_string()),
            ("{{platform.addr|json}}", text(&store.to_string()).to_string()),
            ("{{bounds.graceS|json}}", "6".to_owned()),
            ("{{bounds.holdMaxMs|json}}", "10000".to_owned()),
            ("{{listen.front|json}}", quoted(self.ports.front)),
            ("{{listen.readyAddr|json}}", quoted(self.ports.ready)),
            ("{{listen.controlAddr|json}}", quoted(self.ports.control)),
            ("{{app|json}}", quoted(self.ports.app)),
        ]);
        for (placeholder, value) in fields {
            settings = settings.replace(placeholder, &value);
        }
        match settings.contains("{{") {
            true => Err(io::Error::other("the template has a field that is not rendered here")),
            false => Ok(settings),
        }
    }

    /// Returns the program of a role in the deploy file.
    fn program(&self, class: &str) -> io::Result<PathBuf> {
        let deploy = fs::read_to_string(self.root.join("deploy/system.toml"))?;
        let mut lines = deploy.lines().skip_while(|line| line.trim() != format!("[roles.{class}]"));
        let run = lines.find_map(|line| line.strip_prefix("run = \""));
        let run = run.and_then(|rest| rest.strip_suffix('"'));
        let run = run.ok_or_else(|| io::Error::other("the deploy file names no program"))?;
        Ok(self.root.join(run))
    }

    fn spawn(&self, name: String, class: &'static str, ip: Ipv4Addr) -> io::Result<Process> {
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, self.render((&name, class, ip))?)?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(self.program(class)?)
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("HOME", &self.folder)
            .env("TEASELHALL_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.add(&format!("{name} is started at {ip}, process {}", child.id()));
        Ok(Process { name, class, ip, child: Some(child) })
    }

    /// Kills a process with SIGKILL.
    pub fn kill(record: &Record, process: &mut Process) {
        if let Some(mut child) = process.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            record.add(&format!("{} is killed", process.name));
        }
    }

    /// Starts a killed process again on its machine.
    pub fn restart_front(&mut self, index: usize) -> io::Result<()> {
        let Process { name, class, ip, .. } = &self.fronts[index];
        self.fronts[index] = self.spawn(name.clone(), class, *ip)?;
        Ok(())
    }

    pub fn restart_side(&mut self, index: usize) -> io::Result<()> {
        let Process { name, class, ip, .. } = &self.sides[index];
        self.sides[index] = self.spawn(name.clone(), class, *ip)?;
        Ok(())
    }

    /// Removes the machine of a front for good; another one comes at another address after a pause. Then the platform
    /// renders the settings of all processes with the new seeds, and sends SIGHUP.
    pub fn replace_front(&mut self, index: usize, pause: Duration) -> io::Result<()> {
        Self::kill(&self.record, &mut self.fronts[index]);
        self.record.add(&format!("the machine of {} is gone for good", self.fronts[index].name));
        thread::sleep(pause);
        let ip = self.next_ip();
        let ips: Vec<Ipv4Addr> = self
            .fronts
            .iter()
            .filter(|front| front.is_up())
            .map(|front| front.ip)
            .chain([ip])
            .collect();
        self.set_seeds(&ips);
        let old_name = &self.fronts[index].name;
        let name = format!("{}2", old_name.strip_suffix('1').unwrap_or(old_name));
        self.fronts[index] = self.spawn(name, "front", ip)?;
        for process in self.fronts.iter().chain(&self.sides) {
            let settings = self.render((&process.name, process.class, process.ip))?;
            fs::write(self.folder.join(format!("{}.json", process.name)), settings)?;
            if let Some(child) = process.child.as_ref().filter(|_| process.ip != ip) {
                signal(child.id(), "HUP")?;
            }
        }
        self.record.add(&format!(
            "settings are rendered with seeds {}; SIGHUP is sent",
            self.seeds.join(" ")
        ));
        Ok(())
    }

    /// Index of the front that holds the leadership.
    pub fn leader(&self) -> Option<usize> {
        let names: Vec<String> = self.fronts.iter().map(|front| front.name.clone()).collect();
        let leader = self.store.leader(&names)?;
        names.iter().position(|name| name == leader)
    }

    /// Waits until all fronts are ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let is_ready = |front: &Process| {
            let address = SocketAddr::new(front.ip.into(), self.ports.ready);
            let answer = http::call(address, "GET", "/readyz", &[], "", Duration::from_millis(500));
            matches!(answer, Ok((200, _)))
        };
        while Instant::now() < until {
            if self.fronts.iter().filter(|front| front.is_up()).all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Makes a call of a client at the fronts that are up, one after the other, until one answers otherwise than with
    /// 502, 503 or 504.
    pub fn call(&self, method: &str, queue: &str, id: &str, body: &str) -> Option<(u16, Json)> {
        let path = format!("/{queue}/{id}");
        let authorization = format!("Bearer {KEY}");
        let headers = [
            ("Host", HOST),
            ("Authorization", authorization.as_str()),
            ("X-Teaselhall-Timeout-Ms", "3000"),
        ];
        let mut last = None;
        for _ in 0..4 {
            for front in self.fronts.iter().filter(|front| front.is_up()) {
                let address = SocketAddr::new(front.ip.into(), self.ports.front);
                let answer =
                    http::call(address, method, &path, &headers, body, Duration::from_secs(3));
                let shown = match &answer {
                    Ok((status, body)) => format!("{status} {body}"),
                    Err(error) => format!("no answer: {error}"),
                };
                if method != "GET" || !matches!(answer, Ok((200, _))) {
                    self.record.add(&format!("{method} {path} at {}: {shown}", front.name));
                }
                last = answer.ok();
                if matches!(&last, Some((status, _)) if !matches!(status, 502..=504)) {
                    return last;
                }
            }
            thread::sleep(Duration::from_millis(300));
        }
        last
    }

    pub fn submit(&self, queue: &str, id: &str, body: &Json) -> bool {
        self.runners.expect(id, body);
        matches!(self.call("POST", queue, id, &body.to_string()), Some((200..=299, _)))
    }

    /// State of a job as a client sees it.
    pub fn state(&self, queue: &str, id: &str) -> String {
        match self.call("GET", queue, id, "") {
            Some((200, body)) => body.text("state").unwrap_or("?").to_owned(),
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        }
    }

    /// Waits until a job is in one of the states, and returns the last state seen.
    pub fn wait_for(&self, queue: &str, id: &str, states: &[&str], limit: Duration) -> String {
        let until = Instant::now() + limit;
        loop {
            let state = self.state(queue, id);
            if states.contains(&state.as_str()) || Instant::now() >= until {
                self.record.add(&format!("job {id} is shown as {state}"));
                return state;
            }
            thread::sleep(Duration::from_millis(200));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in self.fronts.iter_mut().chain(&mut self.sides) {
            Self::kill(&self.record, process);
        }
    }
}

/// Sends a signal to a process that this deployment started.
pub fn signal(process: u32, name: &str) -> io::Result<()> {
    let status = Command::new("sh").arg("-c").arg(format!("kill -{name} {process}")).status()?;
    status.success().then_some(()).ok_or_else(|| io::Error::other("signal was not sent"))
}

fn address(network: [u8; 2], machine: u8, port: u16) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(127, network[0], network[1], machine).into(), port)
}

/// Finds a network of loopback addresses and ports on which nothing listens.
fn free_network() -> io::Result<([u8; 2], Ports)> {
    let seed = std::process::id() as u64 ^ Instant::now().elapsed().subsec_nanos() as u64;
    let clock = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ clock.unwrap().as_nanos() as u64;
    let mut next = || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (state >> 33) as u16
    };
    for _ in 0..50 {
        let network = [1 + (next() % 253) as u8, 1 + (next() % 253) as u8];
        let base = 20_000 + next() % 10_000;
        let ports = Ports {
            inner: base,
            front: base + 21,
            ready: base + 23,
            control: base + 26,
            app: base + 29,
            store: base + 31,
        };
        let used = [
            ports.inner,
            ports.front,
            ports.ready,
            ports.control,
            ports.app,
            ports.store,
            METRICS_PORT,
        ];
        let is_free =
            (STORE_MACHINE..=STORE_MACHINE).chain(FIRST_MACHINE..LAST_MACHINE).all(|machine| {
                used.iter().all(|port| TcpListener::bind(address(network, machine, *port)).is_ok())
            });
        if is_free {
            return Ok((network, ports));
        }
    }
    Err(io::Error::other("no free loopback addresses"))
}

fn manifest(queues: &[Queue]) -> Json {
    let route = |queue: &Queue| {
        object([
            ("name", text(queue.name)),
            ("host", text(HOST)),
            ("pathPrefix", text(&format!("/{}/", queue.name))),
            ("kind", text("non_idempotent")),
            ("timeoutMs", number(3_000)),
            ("sloMs", number(queue.slo_ms)),
            ("priority", number(queue.priority)),
            ("service", text(SERVICE)),
            ("attempts", number(queue.attempts)),
            ("stretch", number(queue.stretch)),
            ("public", Json::Bool(false)),
        ])
    };
    let tenant = object([
        ("name", text("north")),
        ("apiKeys", Json::List(vec![text(KEY)])),
        ("guaranteed", object([("gpu", number(8))])),
    ]);
    let service = object([("name", text(SERVICE)), ("enforcesCapacity", Json::Bool(false))]);
    object([
        ("version", number(3)),
        ("routes", Json::List(queues.iter().map(route).collect())),
        ("services", Json::List(vec![service])),
        ("tenants", Json::List(vec![tenant])),
        ("limits", object([("bodyBytes", number(262_144))])),
    ])
}
