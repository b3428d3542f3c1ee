//! Process under observation, with low limits of memory and descriptors.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::sync::{Mutex, MutexGuard};

use super::crowd::Target;

/// Memory of the process's machine in the tests, in MB.
const MEMORY_LIMIT_MB: u64 = 64;
/// Descriptors of the process in the tests.
const DESCRIPTOR_LIMIT: usize = 400;
/// Memory that a process assumes if its environment states none, in MB.
const DEFAULT_MEMORY_MB: u64 = 256;
/// Key of connections between processes.
pub const FRAME_KEY: [u8; 32] = [7; 32];
/// Time for which the crowd is observed before the ordinary request.
const OBSERVATION: Duration = Duration::from_secs(4);
/// Time within which an ordinary request has to be answered, far longer than it takes unless the process hangs.
const ORDINARY_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs one test at a time, since the crowds would slow each other down.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Program that meets a crowd.
pub struct Program {
    /// Path of the executable.
    pub file: &'static str,
    /// How the program finds its settings.
    pub settings: SettingsSource,
    /// Returns the settings for the address of its machine.
    pub render: Box<dyn FnOnce(IpAddr) -> Value + Send>,
    /// Port of the requests that the crowd sends.
    pub port: u16,
    /// Port of the metrics.
    pub metrics_port: u16,
    /// Path of the metrics.
    pub metrics_path: &'static str,
    /// Requests that the crowd sends.
    pub target: Target,
    /// Path of the ordinary request.
    pub ordinary_path: &'static str,
    /// Whether the environment states the limits of the machine.
    pub states_limits: bool,
    /// Tasks that have to run as long as the program.
    pub companions: Vec<tokio::task::JoinHandle<()>>,
}

/// How a program finds its settings.
#[derive(Clone, Copy)]
pub enum SettingsSource {
    /// Path in an environment variable.
    Variable(&'static str),
    /// Path behind the option `--settings`.
    Option,
}

impl Program {
    /// Lets the program run without stated limits.
    pub fn without_limits(self) -> Self {
        Self { states_limits: false, ..self }
    }
}

/// Largest values that were observed.
#[derive(Debug)]
pub struct Seen {
    pub is_alive: bool,
    pub idle_kb: u64,
    pub peak_kb: u64,
    pub descriptors: usize,
    memory_mb: u64,
    descriptor_limit: usize,
}

impl Seen {
    /// Checks that the crowd took at most half of the machine's memory, since the process needs the other half for its
    /// own work, and no more descriptors than the process has.
    pub fn assert_within_limits(&self) {
        assert!(self.is_alive, "the process ended");
        let bound_kb = self.idle_kb + self.memory_mb * 1_024 / 2;
        assert!(self.peak_kb <= bound_kb, "peak of {} kB, bound {bound_kb} kB", self.peak_kb);
        assert!(self.descriptors <= self.descriptor_limit, "{} descriptors", self.descriptors);
    }
}

/// Running program and what is observed of it.
pub struct Watched {
    child: Child,
    address: SocketAddr,
    metrics_url: String,
    ordinary: (&'static str, &'static str),
    settings: PathBuf,
    seen: Seen,
    client: reqwest::Client,
    companions: Vec<tokio::task::JoinHandle<()>>,
    _turn: MutexGuard<'static, ()>,
}

impl Watched {
    /// Starts the program and waits until it answers.
    pub async fn start(program: Program) -> Self {
        static NEXT: AtomicU8 = AtomicU8::new(1);
        let turn = ONE_AT_A_TIME.lock().await;
        let [high, low] = ((std::process::id() % 60_000 + 3_000) as u16).to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, high, low, NEXT.fetch_add(1, Ordering::Relaxed)));
        let path = std::env::temp_dir().join(format!("teaselhall-crowd-{ip}.json"));
        std::fs::write(&path, (program.render)(ip).to_string()).expect("settings can be written");
        let mut command = Command::new(program.file);
        match program.settings {
            SettingsSource::Variable(name) => command.env(name, &path),
            SettingsSource::Option => command.arg("--settings").arg(&path),
        };
        if program.states_limits {
            command
                .env("TEASELHALL_MEMORY_LIMIT_MB", MEMORY_LIMIT_MB.to_string())
                .env("TEASELHALL_DESCRIPTOR_LIMIT", DESCRIPTOR_LIMIT.to_string());
        }
        let child = command.stdout(Stdio::null()).spawn().expect("the program starts");
        let (memory_mb, descriptor_limit) = match program.states_limits {
            true => (MEMORY_LIMIT_MB, DESCRIPTOR_LIMIT),
            false => (DEFAULT_MEMORY_MB, usize::MAX),
        };
        let seen = Seen {
            is_alive: true,
            idle_kb: 0,
            peak_kb: 0,
            descriptors: 0,
            memory_mb,
            descriptor_limit,
        };
        let mut watched = Self {
            child,
            address: SocketAddr::new(ip, program.port),
            metrics_url: format!("http://{ip}:{}{}", program.metrics_port, program.metrics_path),
            ordinary: (program.target.method, program.ordinary_path),
            settings: path,
            seen,
            client: reqwest::Client::builder()
                .pool_max_idle_per_host(0)
                .build()
                .expect("the options of the client are valid"),
            companions: program.companions,
            _turn: turn,
        };
        assert!(watched.answers_ordinary_request().await, "the program has started");
        watched.seen.idle_kb = watched.peak_kb();
        watched
    }

    /// Address that the crowd attacks by default.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads the descriptors several times while the crowd is at work.
    pub async fn observe_crowd(&mut self) {
        let until = Instant::now() + OBSERVATION;
        while Instant::now() < until {
            self.sample();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn sample(&mut self) {
        self.seen.is_alive &= matches!(self.child.try_wait(), Ok(None));
        let folder = format!("/proc/{}/fd", self.child.id());
        let descriptors = std::fs::read_dir(folder).map_or(0, Iterator::count);
        self.seen.descriptors = self.seen.descriptors.max(descriptors);
        self.seen.peak_kb = self.seen.peak_kb.max(self.peak_kb());
    }

    /// Returns the peak of resident memory since the start of the process, in kB.
    fn peak_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse().ok()).unwrap_or(0)
    }

    /// Repeats an ordinary request until it is answered as it would be without a crowd.
    pub async fn answers_ordinary_request(&self) -> bool {
        let until = Instant::now() + ORDINARY_TIMEOUT;
        while Instant::now() < until {
            if self.ordinary_request().await.unwrap_or_default() {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        false
    }

    /// Sends a small body that the program refuses as malformed: its answer shows that the body was read.
    async fn ordinary_request(&self) -> reqwest::Result<bool> {
        let (method, path) = self.ordinary;
        let method = method.parse().expect("the method is valid");
        let request = self.client.request(method, format!("http://{}{path}", self.address));
        let request = request.header("host", "h.example").timeout(Duration::from_secs(3));
        let answer = request.body("{").send().await?;
        let metrics = self.client.get(&self.metrics_url).timeout(Duration::from_secs(3));
        let metrics = metrics.send().await?;
        Ok(answer.status() == 400 && metrics.status() == 200)
    }

    /// Ends the process and returns what was observed.
    pub fn stop(mut self) -> Seen {
        self.sample();
        let nothing = Seen {
            is_alive: false,
            idle_kb: 0,
            peak_kb: 0,
            descriptors: 0,
            memory_mb: 0,
            descriptor_limit: 0,
        };
        std::mem::replace(&mut self.seen, nothing)
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
        self.companions.iter().for_each(tokio::task::JoinHandle::abort);
    }
}
