//! A whole deployment on loopback for development and tests: the platform stand-in, entries and agents as processes.
//!
//! Only development code starts processes; the programs of the system start none.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use teaselhall::bundle::{Bundle, PartnerSigner};

/// Key that authenticates frames in local deployments. Other deployments use their own secret.
const LOCAL_FRAME_KEY: &str = "6c6f63616c206465706c6f796d656e74206f6e206c6f6f706261636b206f6e6c";
/// Number of requests that each endpoint runs at once, as in the deployments of both users.
const ENDPOINT_SLOTS: u32 = 8;
/// Number of connections of each endpoint, as in the deployments of both users.
const ENDPOINT_CONNECTIONS: u32 = 64;
/// Port before the first one that a deployment uses.
const BASE_PORT: u16 = 7_400;
/// Interval at which conditions are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Result of an action on a deployment; errors are texts for the operator.
pub type Result<T> = std::result::Result<T, String>;

/// Worker of the deployment and its location.
#[derive(Clone, Debug)]
pub struct Place {
    /// Data centre of the worker.
    pub data_centre: String,
    /// Rack of the worker.
    pub rack: String,
    /// Name of the worker.
    pub worker: String,
}

/// Local deployment: its topology, its settings files and its processes by name.
pub struct Deployment {
    directory: PathBuf,
    programs: PathBuf,
    processes: BTreeMap<String, Child>,
    settings: BTreeMap<String, (&'static str, PathBuf)>,
    http: BTreeMap<String, SocketAddr>,
    /// Workers in the order of the bundle.
    pub workers: Vec<Place>,
    /// HTTP addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// HTTP address of the stand-in.
    pub platform: SocketAddr,
    /// Bundle whose topology the deployment has.
    pub bundle: Bundle,
    /// Signing keys of both partners.
    pub signers: Vec<PartnerSigner>,
}

impl Deployment {
    /// Writes keys and settings for a bundle's topology into an empty directory, without starting processes.
    pub fn prepare(directory: &Path, programs: &Path, bundle: Bundle) -> Result<Self> {
        std::fs::create_dir_all(directory)
            .map_err(|error| format!("{}: {error}", directory.display()))?;
        let mut addresses = Addresses::new();
        let mut deployment = Self {
            directory: directory.to_owned(),
            programs: programs.to_owned(),
            processes: BTreeMap::new(),
            settings: BTreeMap::new(),
            http: BTreeMap::new(),
            workers: places(&bundle),
            entries: Vec::new(),
            platform: addresses.next(),
            bundle,
            signers: Vec::new(),
        };
        let partners = deployment.write_keys()?;
        deployment.write_settings(&partners, &mut addresses)?;
        Ok(deployment)
    }

    /// Starts all processes and waits until each answers its health check.
    pub fn start(&mut self, limit: Duration) -> Result<()> {
        for name in self.settings.keys().cloned().collect::<Vec<_>>() {
            self.start_process(&name)?;
        }
        for name in self.http.keys() {
            self.wait_until(&format!("{name} answers its health check"), limit, |deployment| {
                deployment.is_healthy(name)
            })?;
        }
        Ok(())
    }

    /// Starts one process that is not running.
    pub fn start_process(&mut self, name: &str) -> Result<()> {
        let (program, settings) =
            self.settings.get(name).cloned().ok_or_else(|| format!("no process {name:?}"))?;
        let log = std::fs::File::create(self.directory.join(format!("{name}.log")))
            .map_err(|e| e.to_string())?;
        let child = Command::new(self.programs.join(program))
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        self.processes.insert(name.to_owned(), child);
        Ok(())
    }

    /// Kills a process with SIGKILL, so that it cannot clean up.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        let mut child =
            self.processes.remove(name).ok_or_else(|| format!("{name:?} does not run"))?;
        child.kill().and_then(|()| child.wait()).map(|_| ()).map_err(|error| error.to_string())
    }

    /// Asks a process to end with SIGTERM and waits for it; kills it after the limit.
    pub fn terminate(&mut self, name: &str, limit: Duration) -> Result<()> {
        let mut child =
            self.processes.remove(name).ok_or_else(|| format!("{name:?} does not run"))?;
        signal(&child, "TERM")?;
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if child.try_wait().map_err(|error| error.to_string())?.is_some() {
                return Ok(());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        let _ = child.kill().and_then(|()| child.wait());
        Err(format!("{name} did not end within {limit:?} after SIGTERM and was killed"))
    }

    /// Suspends a process with SIGSTOP, like a paused VM, or resumes it.
    pub fn pause(&self, name: &str, paused: bool) -> Result<()> {
        let child = self.processes.get(name).ok_or_else(|| format!("{name:?} does not run"))?;
        signal(child, if paused { "STOP" } else { "CONT" })
    }

    /// Runs the command line against all entries and returns its exit code and output.
    pub fn command(&self, arguments: &[&str]) -> Result<(i32, String)> {
        let entries: Vec<String> =
            self.entries.iter().map(|address| format!("http://{address}")).collect();
        let output = self.run_program(arguments, &entries.join(","))?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        Ok((output.status.code().unwrap_or(-1), text))
    }

    /// Runs the command line and fails unless it exits with 0.
    pub fn command_ok(&self, arguments: &[&str]) -> Result<String> {
        match self.command(arguments)? {
            (0, text) => Ok(text),
            (code, text) => Err(format!(
                "teaselhall {} exited with {code}: {}",
                arguments.join(" "),
                text.trim()
            )),
        }
    }

    /// Runs the command line with `--json` and parses its output.
    pub fn command_json(&self, arguments: &[&str]) -> Result<Value> {
        let text = self.command_ok(&[arguments, &["--json"]].concat())?;
        serde_json::from_str(&text)
            .map_err(|error| format!("teaselhall {}: {error}: {text}", arguments.join(" ")))
    }

    fn run_program(&self, arguments: &[&str], entries: &str) -> Result<Output> {
        let mut command = Command::new(self.programs.join("teaselhall"));
        command.args(arguments).env("TEASELHALL_ENTRIES", entries).stdin(Stdio::null());
        command.output().map_err(|error| format!("teaselhall: {error}"))
    }

    /// Reads a JSON answer of the stand-in.
    pub fn platform_json(&self, path: &str) -> Result<Value> {
        get_json(&format!("http://{}{path}", self.platform))
    }

    /// Sends a JSON body to an entry, and returns the status and the JSON answer.
    pub fn post(&self, entry: usize, path: &str, body: &Value) -> Result<(u16, Value)> {
        let url = format!("http://{}{path}", self.entries[entry]);
        block_on(async move {
            let answer = reqwest::Client::new().post(url).json(body).send().await;
            let answer = answer.map_err(|error| error.to_string())?;
            let status = answer.status().as_u16();
            answer.json().await.map(|body| (status, body)).map_err(|error| error.to_string())
        })
    }

    /// Sets the stand-in's faults.
    pub fn set_faults(&self, faults: &Value) -> Result<()> {
        let url = format!("http://{}/faults", self.platform);
        block_on(async move {
            let answer = reqwest::Client::new()
                .post(url)
                .json(faults)
                .send()
                .await
                .map_err(|e| e.to_string())?;
            answer.error_for_status().map(|_| ()).map_err(|error| error.to_string())
        })
    }

    /// Reads the state dump of a process.
    pub fn dump(&self, name: &str) -> Result<Value> {
        let address = self.http.get(name).ok_or_else(|| format!("no process {name:?}"))?;
        get_json(&format!("http://{address}/dump"))
    }

    /// Returns the names of running processes with a prefix.
    pub fn names(&self, prefix: &str) -> Vec<String> {
        self.processes.keys().filter(|name| name.starts_with(prefix)).cloned().collect()
    }

    /// Returns the HTTP address of a process.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.http.get(name).copied()
    }

    /// Returns the path of a file in the deployment's directory.
    pub fn path(&self, name: &str) -> String {
        self.directory.join(name).display().to_string()
    }

    /// Waits until a condition holds and returns the time that this took.
    pub fn wait_until<F>(&self, what: &str, limit: Duration, condition: F) -> Result<Duration>
    where
        F: Fn(&Self) -> Result<bool>,
    {
        let start = Instant::now();
        let mut last_error = String::new();
        while start.elapsed() < limit {
            match condition(self) {
                Ok(true) => return Ok(start.elapsed()),
                Ok(false) => last_error.clear(),
                Err(error) => last_error = error,
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(format!("{what}: not reached within {limit:?} {last_error}"))
    }

    fn is_healthy(&self, name: &str) -> Result<bool> {
        let address = self.http.get(name).ok_or_else(|| format!("no process {name:?}"))?;
        let url = format!("http://{address}/healthz");
        block_on(async move {
            Ok(reqwest::get(url).await.is_ok_and(|answer| answer.status().is_success()))
        })
    }

    fn write_keys(&mut self) -> Result<Value> {
        let mut partners = Vec::new();
        for partner in ["partner-1", "partner-2"] {
            let signer = PartnerSigner::generate(partner.into(), &mut rand::rng());
            let path = self.path(&format!("{partner}.key"));
            signer.write_new(Path::new(&path)).map_err(|error| error.to_string())?;
            partners.push(json!(signer.public_key()));
            self.signers.push(signer);
        }
        Ok(Value::from(partners))
    }

    fn write_settings(&mut self, partners: &Value, addresses: &mut Addresses) -> Result<()> {
        let platform_url = format!("http://{}", self.platform);
        let common = json!({"platform_url": platform_url, "frame_key": LOCAL_FRAME_KEY, "partners": partners});
        let agents = self.write_entries(&common, addresses)?;
        self.write_worker_agents(&common, &agents, addresses)?;
        let endpoints = self.write_endpoint_agents(&common, &agents, addresses)?;
        let worker =
            |place: &Place| json!({"id": place.worker, "shape": self.shape(&place.data_centre)});
        let workers: Vec<Value> = self.workers.iter().map(worker).collect();
        let platform =
            json!({"http_address": self.platform, "workers": workers, "endpoints": endpoints});
        self.http.insert("platform".to_owned(), self.platform);
        self.write("platform", "teaselhall-stand-in", &platform)
    }

    fn write_entries(
        &mut self,
        common: &Value,
        addresses: &mut Addresses,
    ) -> Result<Vec<SocketAddr>> {
        let mut agent_addresses = Vec::new();
        for (index, data_centre) in self.data_centres().iter().enumerate() {
            let name = format!("entry-{}", index + 1);
            let (http, agent) = (addresses.next(), addresses.next());
            let settings = json!({"process": name, "data_centre": data_centre, "http_address": http, "agent_address": agent});
            self.write(&name, "teaselhall-entry", &merge_settings(common, &settings))?;
            self.http.insert(name, http);
            self.entries.push(http);
            agent_addresses.push(agent);
        }
        Ok(agent_addresses)
    }

    fn write_worker_agents(
        &mut self,
        common: &Value,
        entries: &[SocketAddr],
        addresses: &mut Addresses,
    ) -> Result<()> {
        for place in self.workers.clone() {
            let name = format!("agent-{}", place.worker);
            let http = addresses.next();
            let settings = json!({
                "process": name, "data_centre": place.data_centre, "http_address": http, "entries": entries,
                "beside": {"worker": {
                    "worker": place.worker, "rack": place.rack, "shape": self.shape(&place.data_centre),
                    "worker_url": format!("http://{}/worker/{}", self.platform, place.worker),
                    "udp_address": addresses.next(), "heartbeat_ms": 500, "gang_lease_ms": 6_000,
                    "leader_lease_ms": 3_000,
                }},
            });
            self.write(&name, "teaselhall-agent", &merge_settings(common, &settings))?;
            self.http.insert(name, http);
        }
        Ok(())
    }

    fn write_endpoint_agents(
        &mut self,
        common: &Value,
        entries: &[SocketAddr],
        addresses: &mut Addresses,
    ) -> Result<Vec<Value>> {
        let mut endpoints = Vec::new();
        for place in self.workers.clone() {
            let endpoint = place.worker.replace("-w", "-e");
            let name = format!("agent-{endpoint}");
            let (http, runner) = (addresses.next(), addresses.next());
            let settings = json!({
                "process": name, "data_centre": place.data_centre, "http_address": http, "entries": entries,
                "beside": {"endpoint": {"endpoint": endpoint}},
            });
            self.write(&name, "teaselhall-agent", &merge_settings(common, &settings))?;
            self.http.insert(name, http);
            endpoints.push(json!({
                "id": endpoint, "http_address": runner, "agent_url": format!("http://{http}"),
                "slots": ENDPOINT_SLOTS, "connections": ENDPOINT_CONNECTIONS,
            }));
        }
        Ok(endpoints)
    }

    fn data_centres(&self) -> Vec<String> {
        self.bundle.data_centres.iter().map(|data_centre| data_centre.id.to_string()).collect()
    }

    fn shape(&self, data_centre: &str) -> Value {
        let matching = self.bundle.data_centres.iter().find(|d| d.id.as_str() == data_centre);
        matching.map_or(Value::Null, |d| json!(d.worker))
    }

    fn write(&mut self, name: &str, program: &'static str, settings: &Value) -> Result<()> {
        let path = self.directory.join(format!("{name}.json"));
        std::fs::write(&path, format!("{settings:#}"))
            .map_err(|error| format!("{}: {error}", path.display()))?;
        self.settings.insert(name.to_owned(), (program, path));
        Ok(())
    }
}

impl Drop for Deployment {
    /// Kills every process that is still running, so that none outlives a failed check.
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill().and_then(|()| child.wait());
        }
    }
}

/// Returns the workers of a bundle's topology with their locations.
fn places(bundle: &Bundle) -> Vec<Place> {
    let mut places = Vec::new();
    for data_centre in &bundle.data_centres {
        let racks = data_centre
            .racks
            .iter()
            .flat_map(|rack| (0..rack.workers).map(move |_| rack.id.to_string()));
        for (index, rack) in racks.enumerate() {
            let worker = format!("{}-w{}", data_centre.id, index + 1);
            places.push(Place { data_centre: data_centre.id.to_string(), rack, worker });
        }
    }
    places
}

/// Returns the common settings, extended by those of one process.
fn merge_settings(common: &Value, settings: &Value) -> Value {
    let mut merged = common.clone();
    if let (Some(merged), Some(settings)) = (merged.as_object_mut(), settings.as_object()) {
        merged.extend(settings.clone());
    }
    merged
}

/// Allocator of the addresses of one deployment. Each deployment has a loopback IP address of its own. Its ports are
/// below those that the system assigns to outgoing connections, so that no port is in use before its process binds it.
struct Addresses {
    ip: Ipv4Addr,
    next_port: u16,
}

impl Addresses {
    fn new() -> Self {
        static DEPLOYMENTS: AtomicU8 = AtomicU8::new(1);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, high.max(1), low, DEPLOYMENTS.fetch_add(1, Ordering::Relaxed));
        Self { ip, next_port: BASE_PORT }
    }

    fn next(&mut self) -> SocketAddr {
        self.next_port += 1;
        SocketAddr::from((self.ip, self.next_port))
    }
}

fn signal(child: &Child, name: &str) -> Result<()> {
    let status = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
    match status {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(format!("kill -{name} {}: {status}", child.id())),
        Err(error) => Err(format!("kill: {error}")),
    }
}

fn get_json(url: &str) -> Result<Value> {
    block_on(async move {
        let answer = reqwest::get(url).await.map_err(|error| error.to_string())?;
        answer.json().await.map_err(|error| error.to_string())
    })
}

/// Runs a future to completion on the calling thread.
pub fn block_on<F, T>(future: F) -> Result<T>
where
    F: Future<Output = Result<T>>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|error| error.to_string())?.block_on(future)
}
