//! Stand-in for a runner: it registers at the process on its machine, runs what it is ordered to run under a lease on its
//! own steady clock, and lists its runs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request, Response};
use crate::json::{Json, number, object, text};
use crate::record::Record;

/// Largest lease of the site file, `holdMaxMs`.
const HOLD_MAX_MS: u64 = 10_000;
/// Interval of liveness reports of the site file, `heartbeatMs`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time in which a stopped run ends; the site file allows 900 ms, `stopGraceMs`.
const STOP_MS: u64 = 100;
const STEP: Duration = Duration::from_millis(10);

#[derive(Clone)]
struct Run {
    number: u32,
    started_ms: u64,
    work_ms: u64,
    stopped_ms: Option<u64>,
}

struct State {
    seq: u64,
    born_ms: u64,
    began: Instant,
    /// The machine is suspended since then. The steady clock does not count that time.
    suspended: Option<Instant>,
    suspended_total: Duration,
    fence: u64,
    deadline_ms: u64,
    runs: BTreeMap<String, Run>,
    closed: BTreeMap<String, u32>,
    ended: Vec<(u64, String, u32, &'static str)>,
    ends: u64,
    /// Number of the last end before the lease last lapsed. Such an end is not taken note of any more.
    ends_before_lapse: u64,
    /// Highest `ackedUpto` of this lifetime: ends up to it are forgotten.
    acked: u64,
    /// Number of the lifetime.
    life: u64,
    /// Time before which no liveness report is sent.
    silent_until: Instant,
    /// Each start of a task, with its time.
    starts: Vec<(String, Instant)>,
    is_draining: bool,
    /// The next order to start this task gets no answer, and is carried out after the delay.
    late_start: Option<(String, Duration)>,
}

impl State {
    fn clock_ms(&self) -> u64 {
        let suspended = self.suspended.map_or(Duration::ZERO, |since| since.elapsed());
        (self.began.elapsed() - self.suspended_total - suspended).as_millis() as u64
    }
}

fn now_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.expect("the time is after 1970").as_millis() as u64
}

#[derive(Clone)]
pub struct Runner {
    pub name: String,
    zone: String,
    service: String,
    control: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Runner {
    /// Starts a runner that reports to `control`. Returns it with the address of its calls.
    pub fn start(
        name: &str,
        zone: &str,
        service: &str,
        control: SocketAddr,
        record: &Record,
    ) -> (Self, SocketAddr) {
        let state = State {
            seq: 0,
            born_ms: now_ms(),
            began: Instant::now(),
            suspended: None,
            suspended_total: Duration::ZERO,
            fence: 0,
            deadline_ms: 0,
            runs: BTreeMap::new(),
            closed: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            ends_before_lapse: 0,
            acked: 0,
            life: 1,
            silent_until: Instant::now(),
            starts: Vec::new(),
            is_draining: false,
            late_start: None,
        };
        let runner = Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            control,
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
        };
        let served = runner.clone();
        let address = http::serve(SocketAddr::from(([127, 0, 0, 1], 0)), move |request| {
            served.handle(&request)
        });
        let (worker, reporter) = (runner.clone(), runner.clone());
        std::thread::spawn(move || {
            loop {
                worker.advance();
                std::thread::sleep(STEP);
            }
        });
        std::thread::spawn(move || {
            loop {
                reporter.send_heartbeat();
                std::thread::sleep(HEARTBEAT);
            }
        });
        (runner, address)
    }

    /// Lets the next order to start a task get no answer, and be carried out after a delay. `None` ends that.
    pub fn delay_start(&self, late: Option<(&str, Duration)>) {
        self.with(|state| state.late_start = late.map(|(task, delay)| (task.to_owned(), delay)));
    }

    /// Ends the lifetime of the runner and begins a new one under the same identifier, which knows nothing of before. It
    /// reports itself for the first time after `silence`.
    pub fn crash(&self, silence: Duration) {
        self.with(|state| {
            state.seq = 0;
            state.is_draining = false;
            state.life += 1;
            state.silent_until = Instant::now() + silence;
            state.born_ms = now_ms();
            state.began = Instant::now();
            state.suspended_total = Duration::ZERO;
            (state.fence, state.deadline_ms, state.ends, state.acked) = (0, 0, 0, 0);
            state.ends_before_lapse = 0;
            state.runs.clear();
            state.closed.clear();
            state.ended.clear();
        });
        self.log("ends with all that it runs, and starts again under its identifier");
        let runner = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(silence);
            runner.send_heartbeat();
        });
    }

    /// Reports at once that the runner drains.
    pub fn drain(&self) {
        self.with(|state| state.is_draining = true);
        self.log("drains");
        self.send_heartbeat();
    }

    /// Sends the notice of the end, which arrives after the delay, and ends. A new lifetime begins under the same identifier.
    pub fn leave(&self, delay: Duration) {
        let runner = self.clone();
        let send = move || {
            std::thread::sleep(delay);
            let path = format!("/instances/i-{}", runner.name);
            let limit = Duration::from_secs(1);
            let answer = http::call(runner.control, ("DELETE", &path), &[], "", limit);
            let status = answer.map(|(status, _)| status);
            runner.log(&format!(
                "the notice of the earlier end has arrived, answered with {status:?}"
            ));
        };
        match delay.is_zero() {
            true => send(),
            false => drop(std::thread::spawn(send)),
        }
        self.crash(Duration::ZERO);
    }

    /// Returns the highest `ackedUpto` that this lifetime of the runner has received.
    pub fn acked(&self) -> u64 {
        self.with(|state| state.acked)
    }

    fn with<T>(&self, work: impl FnOnce(&mut State) -> T) -> T {
        work(&mut self.state.lock().unwrap())
    }

    pub fn is_suspended(&self) -> bool {
        self.with(|state| state.suspended.is_some())
    }

    /// Suspends the runner with its machine: it neither works nor answers, and its steady clock stands still.
    pub fn suspend(&self) {
        self.with(|state| state.suspended = Some(Instant::now()));
    }

    pub fn resume(&self) {
        self.with(|state| {
            if let Some(since) = state.suspended.take() {
                state.suspended_total += since.elapsed();
            }
        });
    }

    /// Returns whether a task runs on the runner.
    pub fn runs(&self, task: &str) -> bool {
        self.with(|state| state.runs.contains_key(task))
    }

    /// Returns the time of the first start of a task after a moment.
    pub fn first_start_after(&self, task: &str, moment: Instant) -> Option<Instant> {
        self.with(|state| {
            let starts =
                state.starts.iter().filter(|(started, at)| started == task && *at > moment);
            starts.map(|(_, at)| *at).min()
        })
    }

    fn log(&self, line: &str) {
        self.record.line(&format!("runner {}: {line}", self.name));
    }

    /// Ends the runs that are finished or stopped, and all of them once the lease has passed.
    fn advance(&self) {
        let ended = self.with(|state| {
            if state.suspended.is_some() {
                return Vec::new();
            }
            let now_ms = state.clock_ms();
            let has_lapsed = now_ms >= state.deadline_ms;
            if has_lapsed {
                state.ends_before_lapse = state.ends;
            }
            let ends: Vec<(String, u32, &'static str)> = state
                .runs
                .iter()
                .filter_map(|(task, run)| {
                    let how = match run.stopped_ms {
                        _ if has_lapsed => "lapsed",
                        Some(since_ms) if now_ms >= since_ms + STOP_MS => "stopped",
                        Some(_) => return None,
                        None if now_ms >= run.started_ms + run.work_ms => "done",
                        None => return None,
                    };
                    Some((task.clone(), run.number, how))
                })
                .collect();
            for (task, run, how) in &ends {
                state.runs.remove(task);
                let closed = state.closed.entry(task.clone()).or_default();
                *closed = (*closed).max(*run);
                state.ends += 1;
                if *how == "done" && state.ends <= state.acked {
                    self.record.note_done(task);
                }
                state.ended.push((state.ends, task.clone(), *run, how));
            }
            state.ended.retain(|(number, ..)| *number > state.acked);
            ends
        });
        for (task, run, how) in ended {
            self.log(&format!("task {task} run {run} ended {how}"));
        }
    }

    fn wait_until_awake(&self) {
        while self.is_suspended() {
            std::thread::sleep(STEP);
        }
    }

    fn send_heartbeat(&self) {
        self.wait_until_awake();
        if self.with(|state| Instant::now() < state.silent_until) {
            return;
        }
        let body = self.with(|state| {
            state.seq += 1;
            object([
                ("service", text(&self.service)),
                ("addr", text("unused")),
                ("zone", text(&self.zone)),
                ("version", text("v1")),
                ("slots", number(8)),
                ("state", text(if state.is_draining { "draining" } else { "ready" })),
                (
                    "room",
                    object([
                        ("cpu", number(32_000)),
                        ("memMb", number(131_072)),
                        ("gpu", number(8)),
                    ]),
                ),
                ("labels", Json::List(vec![text("a"), text(format!("r-{}", self.zone))])),
                ("clockMs", number(state.clock_ms())),
                ("seq", number(state.seq)),
                ("born", number(state.born_ms)),
            ])
        });
        let path = format!("/instances/i-{}", self.name);
        let body = body.to_string();
        // A report without an answer is repeated like all others, after the interval.
        let _ = http::call(self.control, ("PUT", &path), &[], &body, Duration::from_secs(1));
    }

    fn handle(&self, request: &Request) -> Response {
        self.wait_until_awake();
        if request.header("x-teaselhall-target-instance") != Some(&format!("i-{}", self.name)) {
            return Some((421, "{}".to_owned()));
        }
        let body = Json::parse(&request.body)?;
        let life = self.with(|state| state.life);
        let answer = match request.path() {
            "/run-start" => {
                let task = body.get("task").text().to_owned();
                let late = self.with(|state| state.late_start.take_if(|(late, _)| *late == task));
                if let Some((_, delay)) = late {
                    self.log(&format!("the order to start task {task} gets no answer"));
                    std::thread::sleep(delay);
                    self.log(&format!("the late order to start task {task} is carried out"));
                    self.start_run(&body);
                    return None;
                }
                self.start_run(&body)
            }
            "/run-stop" => self.stop_run(&body),
            "/hold" => self.hold(&body),
            _ => Some((404, "{}".to_owned())),
        };
        self.wait_until_awake();
        // The connections of a lifetime end with it.
        answer.filter(|_| self.with(|state| state.life == life))
    }

    fn answer(state: &State, reason: Option<&str>) -> Response {
        let clock = ("clockMs", number(state.clock_ms()));
        match reason {
            Some(reason) => Some((409, object([clock, ("reason", text(reason))]).to_string())),
            None => Some((200, object([clock]).to_string())),
        }
    }

    fn extend(state: &mut State, deadline_ms: Option<u64>) {
        let limit_ms = state.clock_ms() + HOLD_MAX_MS;
        let deadline_ms = deadline_ms.unwrap_or_default().min(limit_ms);
        state.deadline_ms = state.deadline_ms.max(deadline_ms);
    }

    fn start_run(&self, body: &Json) -> Response {
        let task = body.get("task").text().to_owned();
        let number = body.get("run").number()? as u32;
        let work_ms = body.get("spec").text().parse().unwrap_or(1_000);
        let fence = body.get("fence").number().unwrap_or_default();
        let (answer, is_started) = self.with(|state| {
            if fence < state.fence {
                return (Self::answer(state, Some("fence")), false);
            }
            state.fence = fence;
            let deadline_ms = body.get("deadlineMs").number();
            if deadline_ms.unwrap_or_default() <= state.clock_ms() {
                return (Self::answer(state, Some("late")), false);
            }
            Self::extend(state, deadline_ms);
            if state.runs.get(&task).is_some_and(|run| run.number == number) {
                return (Self::answer(state, None), false);
            }
            let closed = state.closed.get(&task).copied().unwrap_or_default();
            if closed >= number || state.runs.contains_key(&task) {
                return (Self::answer(state, Some("old")), false);
            }
            let started_ms = state.clock_ms();
            let run = Run { number, started_ms, work_ms, stopped_ms: None };
            state.runs.insert(task.clone(), run);
            state.starts.push((task.clone(), Instant::now()));
            (Self::answer(state, None), true)
        });
        if is_started {
            self.log(&format!("task {task} run {number} started, fence {fence}"));
            self.record.note_start(&task, number, &self.name);
        }
        answer
    }

    fn stop_run(&self, body: &Json) -> Response {
        let task = body.get("task").text().to_owned();
        let number = body.get("run").number()? as u32;
        let fence = body.get("fence").number().unwrap_or_default();
        self.log(&format!("task {task} run {number} is told to stop, fence {fence}"));
        self.with(|state| {
            if fence < state.fence {
                return Self::answer(state, Some("fence"));
            }
            state.fence = fence;
            let closed = state.closed.entry(task.clone()).or_default();
            *closed = (*closed).max(number);
            let now_ms = state.clock_ms();
            if let Some(run) = state.runs.get_mut(&task).filter(|run| run.number <= number) {
                run.stopped_ms.get_or_insert(now_ms);
            }
            Self::answer(state, None)
        })
    }

    fn hold(&self, body: &Json) -> Response {
        let fence = body.get("fence").number().unwrap_or_default();
        let acked = body.get("ackedUpto").number().unwrap_or_default();
        let wait_ms = body.get("waitMs").number().unwrap_or_default().min(2_000);
        let refused = self.with(|state| {
            if fence < state.fence {
                return Some(Self::answer(state, Some("fence")));
            }
            state.fence = fence;
            Self::extend(state, body.get("deadlineMs").number());
            state.acked = state.acked.max(acked);
            for (number, task, _, how) in &state.ended {
                let is_noted = *number <= state.acked && *number > state.ends_before_lapse;
                if is_noted && *how == "done" {
                    self.record.note_done(task);
                }
            }
            state.ended.retain(|(number, ..)| *number > state.acked);
            None
        });
        if let Some(refused) = refused {
            return refused;
        }
        let until = Instant::now() + Duration::from_millis(wait_ms);
        while Instant::now() < until && self.with(|state| state.ended.is_empty()) {
            std::thread::sleep(STEP);
        }
        self.with(|state| {
            let now_ms = state.clock_ms();
            let running = state.runs.iter().map(|(task, run)| {
                let percent = (now_ms - run.started_ms) * 100 / run.work_ms.max(1);
                Json::List(vec![
                    text(task),
                    number(run.number.into()),
                    text(""),
                    number(percent.min(99)),
                    number(0),
                ])
            });
            let ended = state.ended.iter().map(|(end, task, run, how)| {
                let (end, run) = (number(*end), number((*run).into()));
                Json::List(vec![end, text(task), run, text(*how), text("")])
            });
            let answer = object([
                ("clockMs", number(now_ms)),
                ("born", number(state.born_ms)),
                ("running", Json::List(running.collect())),
                ("ended", Json::List(ended.collect())),
            ]);
            Some((200, answer.to_string()))
        })
    }
}
