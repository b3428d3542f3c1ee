//! Stand-in of a runner: it reports itself to the side of its machine, and runs what it is told to start.
//!
//! The payload of a job says what its tasks do: `run MS` ends as done after MS of work, `fail MS` ends as failed, and
//! `last` runs until it is stopped. `run MS MS` names the work of a task of each step.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer, Request, Server};
use crate::json::{Json, number, object, text};
use crate::record::Record;

/// `holdMaxMs` of the settings.
const HOLD_MAX_MS: u64 = 10_000;
/// `heartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Less than `stopGraceMs` of the settings.
const STOP: Duration = Duration::from_millis(100);
/// `checkpointS` of the settings.
const CHECKPOINT_MS: u64 = 1_000;
const POLL: Duration = Duration::from_millis(10);

#[derive(Clone)]
pub struct RunnerSettings {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub memory_mb: u64,
    pub gpu: u64,
    /// Address of the runner, and of the side to which it reports.
    pub app: SocketAddr,
    pub control: SocketAddr,
    /// Length of each `saved` value; 0 if the tasks save nothing.
    pub saved_length: usize,
}

struct Run {
    number: u32,
    step: usize,
    index: u64,
    payload: String,
    saved_at_start: String,
    started: Instant,
    stop: Option<Instant>,
}

#[derive(Default)]
struct Life {
    born_ms: u64,
    seq: u64,
    began: Option<Instant>,
    fence: u64,
    lease_until: Option<Instant>,
    running: BTreeMap<String, Run>,
    closed: BTreeMap<String, u32>,
    ended: Vec<(u64, String, u32, &'static str, String)>,
    ends: u64,
    is_draining: bool,
    /// A report of this state was confirmed.
    is_confirmed: bool,
}

#[derive(Clone)]
pub struct Runner {
    pub settings: RunnerSettings,
    id: Arc<Mutex<String>>,
    life: Arc<Mutex<Life>>,
    is_up: Arc<AtomicBool>,
    server: Arc<Mutex<Option<Server>>>,
    record: Record,
}

static SAVED: AtomicU64 = AtomicU64::new(1);

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Runner {
    /// Starts the runner with a clock that is `clock_ahead_ms` ahead.
    pub fn start(
        settings: RunnerSettings,
        clock_ahead_ms: u64,
        record: &Record,
    ) -> std::io::Result<Self> {
        let runner = Self {
            id: Arc::new(Mutex::new(format!("i-{}", settings.name))),
            settings,
            life: Arc::default(),
            is_up: Arc::default(),
            server: Arc::default(),
            record: record.clone(),
        };
        let handler = runner.clone();
        let server = http::serve(runner.settings.app, move |request| handler.handle(request))?;
        *runner.server.lock().unwrap() = Some(server);
        runner.begin_life(clock_ahead_ms);
        let (ticker, reporter) = (runner.clone(), runner.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(POLL);
                ticker.end_due();
            }
        });
        thread::spawn(move || reporter.report_forever());
        Ok(runner)
    }

    /// Begins a life under the same id. It holds and knows nothing of before.
    pub fn begin_life(&self, clock_ahead_ms: u64) {
        let born_ms = wall_ms() + clock_ahead_ms;
        *self.life.lock().unwrap() =
            Life { born_ms, began: Some(Instant::now()), ..Life::default() };
        self.record.add(format!("runner {} begins a life, born {born_ms}", self.settings.name));
        self.is_up.store(true, Ordering::SeqCst);
    }

    /// Ends the life: all that runs ends with it, and calls get no answer.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        let mut life = self.life.lock().unwrap();
        self.record.add(format!("runner {} crashes", self.settings.name));
        for (task, run) in std::mem::take(&mut life.running) {
            self.record.ended(&self.settings.name, &task, run.number, "crashed");
        }
        life.ended.clear();
    }

    /// Reports that the runner is draining. Returns once that is confirmed, or after a second.
    pub fn drain(&self) {
        {
            let mut life = self.life.lock().unwrap();
            (life.is_draining, life.is_confirmed) = (true, false);
        }
        self.record.add(format!("runner {} is draining", self.settings.name));
        let until = Instant::now() + Duration::from_secs(1);
        while Instant::now() < until && !self.life.lock().unwrap().is_confirmed {
            thread::sleep(POLL);
        }
    }

    /// Sends the last report of a life: the runner leaves.
    pub fn report_leaving(&self) {
        let path = format!("/instances/{}", self.id.lock().unwrap());
        let limit = Duration::from_secs(1);
        let (status, _) = http::call(self.settings.control, "DELETE", &path, &[], "", limit);
        self.record.add(format!("DELETE {path} arrives from {}: {status}", self.settings.name));
    }

    /// Leaves for good: all that runs ends, and connections are refused.
    pub fn leave(&self) {
        self.report_leaving();
        self.crash();
        self.record.add(format!("runner {} has ended", self.settings.name));
        if let Some(server) = self.server.lock().unwrap().take() {
            server.close();
        }
    }

    /// Lets the runs of a job end as failed.
    pub fn fail(&self, job: &str) {
        let mut life = self.life.lock().unwrap();
        let tasks: Vec<String> =
            life.running.keys().filter(|task| task.starts_with(job)).cloned().collect();
        for task in tasks {
            self.end(&mut life, &task, "failed");
        }
    }

    pub fn is_running(&self, job: &str) -> bool {
        self.running(job) > 0
    }

    /// Returns the number of tasks of a job that run here.
    pub fn running(&self, job: &str) -> u64 {
        let life = self.life.lock().unwrap();
        life.running.keys().filter(|task| task.starts_with(job)).count() as u64
    }

    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }

    fn report_forever(&self) {
        loop {
            if !self.is_up.load(Ordering::SeqCst) {
                thread::sleep(POLL);
                continue;
            }
            let (id, settings) = (self.id.lock().unwrap().clone(), &self.settings);
            let (body, born_ms, is_draining) = {
                let mut life = self.life.lock().unwrap();
                life.seq += 1;
                let labels = settings.labels.iter().map(text).collect();
                let body = object(vec![
                    ("service", text(&settings.service)),
                    ("addr", text(settings.app.to_string())),
                    ("zone", text(&settings.zone)),
                    ("version", text("v1")),
                    ("slots", number(8)),
                    ("state", text(if life.is_draining { "draining" } else { "ready" })),
                    ("coldLeftMs", number(0)),
                    (
                        "room",
                        object(vec![
                            ("cpu", number(settings.cpu)),
                            ("memMb", number(settings.memory_mb)),
                            ("gpu", number(settings.gpu)),
                        ]),
                    ),
                    ("labels", Json::List(labels)),
                    ("clockMs", number(clock_ms(&life))),
                    ("born", number(life.born_ms)),
                    ("seq", number(life.seq)),
                ]);
                (body.to_string(), life.born_ms, life.is_draining)
            };
            let path = format!("/instances/{id}");
            let limit = Duration::from_secs(1);
            let (status, _) = http::call(settings.control, "PUT", &path, &[], &body, limit);
            if status == 200 {
                let mut life = self.life.lock().unwrap();
                life.is_confirmed = life.born_ms == born_ms && life.is_draining == is_draining;
            }
            let until = Instant::now() + if status == 200 { HEARTBEAT } else { HEARTBEAT / 10 };
            // A new life and a new state are reported at once.
            let is_unchanged = || {
                let life = self.life.lock().unwrap();
                life.born_ms == born_ms && life.is_draining == is_draining
            };
            while Instant::now() < until && is_unchanged() {
                thread::sleep(POLL);
            }
        }
    }

    fn handle(&self, request: &Request) -> Answer {
        if !self.is_up.load(Ordering::SeqCst) {
            return None;
        }
        let target = request.headers.get("x-teaselhall-target-instance");
        if target.is_some_and(|target| *target != *self.id.lock().unwrap()) {
            return Some((421, "{}".to_owned()));
        }
        let body = request.json();
        match request.path.as_str() {
            "/run-start" => Some(self.run_start(&body)),
            "/run-stop" => Some(self.run_stop(&body)),
            "/hold" => Some(self.hold(&body)),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn run_start(&self, body: &Json) -> (u16, String) {
        let (task, run) = (body.str_of("task").to_owned(), body.u64_of("run") as u32);
        let mut life = self.life.lock().unwrap();
        if body.u64_of("fence") < life.fence {
            return refuse(&life, "fence");
        }
        life.fence = body.u64_of("fence");
        extend(&mut life, body.u64_of("deadlineMs"));
        if life.running.get(&task).is_some_and(|present| present.number == run) {
            return ok(&life);
        }
        if life.closed.get(&task).is_some_and(|closed| run <= *closed)
            || life.running.contains_key(&task)
        {
            return refuse(&life, "old");
        }
        if life.lease_until.is_none_or(|until| Instant::now() >= until) {
            return refuse(&life, "late");
        }
        self.record.started(&self.settings.name, &task, run);
        let index = task.rsplit('.').next().and_then(|index| index.parse().ok()).unwrap_or(0);
        let step = task.rsplit('.').nth(1).and_then(|step| step.parse().ok()).unwrap_or(0);
        life.running.insert(
            task,
            Run {
                number: run,
                step,
                index,
                payload: body.str_of("spec").to_owned(),
                saved_at_start: body.str_of("saved").to_owned(),
                started: Instant::now(),
                stop: None,
            },
        );
        ok(&life)
    }

    fn run_stop(&self, body: &Json) -> (u16, String) {
        let (task, run) = (body.str_of("task"), body.u64_of("run") as u32);
        let mut life = self.life.lock().unwrap();
        if body.u64_of("fence") < life.fence {
            return refuse(&life, "fence");
        }
        let closed = life.closed.entry(task.to_owned()).or_default();
        *closed = run.max(*closed);
        if let Some(present) = life.running.get_mut(task).filter(|present| present.number <= run) {
            present.stop.get_or_insert(Instant::now() + STOP);
        }
        ok(&life)
    }

    fn hold(&self, body: &Json) -> (u16, String) {
        let wait = Duration::from_millis(body.u64_of("waitMs").min(2_000));
        let (until, born_ms) = (Instant::now() + wait, self.life.lock().unwrap().born_ms);
        {
            let mut life = self.life.lock().unwrap();
            if body.u64_of("fence") < life.fence {
                return refuse(&life, "fence");
            }
            life.fence = body.u64_of("fence");
            if body.get("deadlineMs").is_some() {
                extend(&mut life, body.u64_of("deadlineMs"));
            }
            let acked = body.u64_of("ackedUpto");
            for end in life.ended.iter().filter(|end| end.0 <= acked) {
                self.record.acknowledged(&end.1, end.2, end.3);
            }
            life.ended.retain(|end| end.0 > acked);
        }
        loop {
            let life = self.life.lock().unwrap();
            if !self.is_up.load(Ordering::SeqCst) {
                return (0, String::new());
            }
            if !life.ended.is_empty() || Instant::now() >= until || life.born_ms != born_ms {
                return self.lists(&life);
            }
            drop(life);
            thread::sleep(POLL);
        }
    }

    fn lists(&self, life: &Life) -> (u16, String) {
        let running = life.running.iter().map(|(task, run)| {
            let row = vec![
                text(task),
                number(run.number.into()),
                text(self.saved(run)),
                number(percent(run)),
                number(0),
            ];
            Json::List(row)
        });
        let ended = life.ended.iter().take(500).map(|(end, task, run, how, saved)| {
            let row =
                vec![number(*end), text(task), number((*run).into()), text(*how), text(saved)];
            Json::List(row)
        });
        let body = object(vec![
            ("clockMs", number(clock_ms(life))),
            ("born", number(life.born_ms)),
            ("running", Json::List(running.collect())),
            ("ended", Json::List(ended.collect())),
        ]);
        (200, body.to_string())
    }

    /// Returns the value that a run saved last: a new one with each second of work.
    fn saved(&self, run: &Run) -> String {
        let length = self.settings.saved_length;
        let seconds = run.started.elapsed().as_millis() as u64 / CHECKPOINT_MS;
        if length == 0 || seconds == 0 {
            return run.saved_at_start.clone();
        }
        format!("{:0>length$x}", seconds * 1_000_003 + SAVED.load(Ordering::Relaxed))
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.running.remove(task) else {
            return;
        };
        let closed = life.closed.entry(task.to_owned()).or_default();
        *closed = run.number.max(*closed);
        life.ends += 1;
        let saved = if how == "done" { String::new() } else { self.saved(&run) };
        life.ended.push((life.ends, task.to_owned(), run.number, how, saved));
        self.record.ended(&self.settings.name, task, run.number, how);
    }

    fn end_due(&self) {
        let mut life = self.life.lock().unwrap();
        let now = Instant::now();
        let has_lapsed = life.lease_until.is_some_and(|until| now >= until);
        let due: Vec<(String, &'static str)> = life
            .running
            .iter()
            .filter_map(|(task, run)| {
                if has_lapsed {
                    return Some((task.clone(), "lapsed"));
                }
                if let Some(at) = run.stop {
                    return (now >= at).then(|| (task.clone(), "stopped"));
                }
                let how = if run.payload.starts_with("fail") { "failed" } else { "done" };
                work_ms(run).filter(|work| elapsed_ms(run) >= *work).map(|_| (task.clone(), how))
            })
            .collect();
        for (task, how) in due {
            self.end(&mut life, &task, how);
        }
        if has_lapsed {
            life.lease_until = None;
        }
    }
}

fn elapsed_ms(run: &Run) -> u64 {
    run.started.elapsed().as_millis() as u64
}

fn work_ms(run: &Run) -> Option<u64> {
    if let Some(range) = run.payload.strip_prefix("uneven ") {
        let (from, to) = range.split_once(' ')?;
        let (from, to): (u64, u64) = (from.parse().ok()?, to.parse().ok()?);
        return Some(from + run.index * 7_919 % (to - from));
    }
    let mut work = run.payload.split(' ').skip(1);
    let first = work.next()?;
    work.nth(run.step.wrapping_sub(1)).unwrap_or(first).parse().ok()
}

fn percent(run: &Run) -> u64 {
    work_ms(run).map_or(100, |work| (elapsed_ms(run) * 100 / work.max(1)).min(99))
}

fn clock_ms(life: &Life) -> u64 {
    life.began.map_or(0, |began| began.elapsed().as_millis() as u64 + 1_000)
}

fn extend(life: &mut Life, deadline_ms: u64) {
    let left_ms = deadline_ms.saturating_sub(clock_ms(life)).min(HOLD_MAX_MS);
    let until = Instant::now() + Duration::from_millis(left_ms);
    life.lease_until = Some(life.lease_until.map_or(until, |current| current.max(until)));
}

fn ok(life: &Life) -> (u16, String) {
    (200, object(vec![("clockMs", number(clock_ms(life)))]).to_string())
}

fn refuse(life: &Life, reason: &str) -> (u16, String) {
    let body = object(vec![("clockMs", number(clock_ms(life))), ("reason", text(reason))]);
    (409, body.to_string())
}
