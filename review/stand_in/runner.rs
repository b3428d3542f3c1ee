//! Stand-in of the runners of a service. One lock covers all runners, so that gangs and the rules on starts can be
//! judged across them.
//!
//! The `spec` of a job tells the stand-in how its tasks behave, as words: `ms=N` work of each task, `step=N` work that
//! each index adds, `gang=N` number of members, `saves=1` checkpoints.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Listener, Reply, Request};
use crate::json::{Json, number, object, text};
use crate::record::Record;

/// Figures of the site's page.
const HOLD_MAX_MS: u64 = 10_000;
const STOP_TIME: Duration = Duration::from_millis(100);
const GANG_WAIT: Duration = Duration::from_millis(3_000);
const CHECKPOINT: Duration = Duration::from_millis(1_000);
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Number of ends in one answer.
const MAX_LISTED_ENDS: usize = 500;

#[derive(Clone, Debug)]
pub struct Placing {
    pub name: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
}

#[derive(Clone, Debug)]
struct Attempt {
    run: u32,
    began: Instant,
    /// When its work began: a gang works from the moment when all members are present.
    works_since: Option<Instant>,
    work: Duration,
    gang: usize,
    saves: bool,
    saved: String,
    stop_at: Option<Instant>,
    /// Another member of its gang ended.
    is_broken: bool,
}

struct End {
    number: u64,
    task: String,
    run: u32,
    how: &'static str,
    saved: String,
    /// The lease lapsed after this end, so that the rule on repeated runs no longer holds for it.
    is_void: bool,
}

struct Life {
    instance: String,
    born_ms: u64,
    began: Instant,
    seq: u64,
    fence: u64,
    lease_until: Option<Instant>,
    running: BTreeMap<String, Attempt>,
    closed: HashMap<String, u32>,
    ended: Vec<End>,
    ends: u64,
}

struct RunnerState {
    placing: Placing,
    life: Option<Life>,
    app: SocketAddr,
    listener: Option<Listener>,
    /// No liveness report is sent before.
    reports_from: Instant,
}

#[derive(Default)]
struct Judge {
    /// Runs that ended as done, by task: runner, number of the run.
    done: HashMap<String, Vec<(String, u32)>>,
    /// Tasks and runs whose end as done was taken note of.
    noted: BTreeSet<(String, u32)>,
    /// Starts after a run had ended as done, by the task and that run.
    after_done: HashMap<(String, u32), Vec<String>>,
    /// Runs that ended as failed, by task.
    failed: HashMap<String, u32>,
    starts: HashMap<String, u32>,
}

/// What each task of a job needs, and how many tasks its widest step has.
#[derive(Clone, Copy, Default)]
struct Need {
    cpu: u64,
    mem_mb: u64,
    gpu: u64,
    count: u64,
}

struct World {
    needs: HashMap<String, Need>,
    runners: Vec<RunnerState>,
    judge: Judge,
    /// Prefixes of the names of tasks whose first run fails after this time of work.
    failing: Vec<(String, Duration)>,
}

#[derive(Clone)]
pub struct Runners {
    world: Arc<(Mutex<World>, Condvar)>,
    record: Record,
}

impl Runners {
    pub fn new(record: &Record) -> Self {
        let world = World {
            needs: HashMap::new(),
            runners: Vec::new(),
            judge: Judge::default(),
            failing: Vec::new(),
        };
        let runners =
            Self { world: Arc::new((Mutex::new(world), Condvar::new())), record: record.clone() };
        let ticking = runners.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                ticking.tick();
            }
        });
        runners
    }

    /// Adds a runner, which serves calls at `app` and sends heartbeats to `control`, and starts its first life.
    pub fn add(
        &self,
        placing: Placing,
        service: &str,
        app: SocketAddr,
        control: SocketAddr,
    ) -> io::Result<usize> {
        let index = {
            let mut world = self.world.0.lock().unwrap();
            let reports_from = Instant::now();
            world.runners.push(RunnerState {
                placing,
                life: None,
                app,
                listener: None,
                reports_from,
            });
            world.runners.len() - 1
        };
        self.begin_life(index, Duration::ZERO)?;
        let (beating, service) = (self.clone(), service.to_owned());
        thread::spawn(move || beating.send_heartbeats(index, &service, app, control));
        Ok(index)
    }

    /// Starts a life of a runner, which serves calls at once and reports itself after a pause.
    pub fn begin_life(&self, index: usize, report_after: Duration) -> io::Result<()> {
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let mut world = self.world.0.lock().unwrap();
        let runner = &mut world.runners[index];
        let served = self.clone();
        let handle = move |request: &Request| served.handle(index, request);
        runner.listener = Some(Listener::start(runner.app, handle)?);
        runner.reports_from = Instant::now() + report_after;
        self.record.add(&format!("{} begins a life, born {born_ms}", runner.placing.name));
        runner.life = Some(Life {
            instance: format!("i-{}", runner.placing.name),
            born_ms,
            began: Instant::now(),
            seq: 0,
            fence: 0,
            lease_until: None,
            running: BTreeMap::new(),
            closed: HashMap::new(),
            ended: Vec::new(),
            ends: 0,
        });
        Ok(())
    }

    /// Ends the life of a runner: what runs there is gone, and nothing listens any more.
    pub fn crash(&self, index: usize) {
        let mut world = self.world.0.lock().unwrap();
        let runner = &mut world.runners[index];
        runner.life = None;
        if let Some(listener) = runner.listener.take() {
            listener.close();
        }
        self.record.add(&format!("{} crashes", runner.placing.name));
        drop(world);
        self.world.1.notify_all();
    }

    /// Index of a runner on which a task of a job runs.
    pub fn runner_of(&self, job: &str) -> Option<usize> {
        let world = self.world.0.lock().unwrap();
        world.runners.iter().position(|runner| {
            let life = runner.life.as_ref();
            life.is_some_and(|life| life.running.keys().any(|task| task.starts_with(job)))
        })
    }

    /// The first run of each task whose name begins so fails after this time of work.
    pub fn fail_once(&self, prefix: &str, after: Duration) {
        self.world.0.lock().unwrap().failing.push((prefix.to_owned(), after));
    }

    fn send_heartbeats(&self, index: usize, service: &str, app: SocketAddr, control: SocketAddr) {
        loop {
            let born = self.born(index);
            let call = {
                let mut world = self.world.0.lock().unwrap();
                let RunnerState { placing, life, reports_from, .. } = &mut world.runners[index];
                life.as_mut().filter(|_| Instant::now() >= *reports_from).map(|life| {
                    life.seq += 1;
                    let room = object([
                        ("cpu", number(placing.cpu)),
                        ("memMb", number(placing.mem_mb)),
                        ("gpu", number(placing.gpu)),
                    ]);
                    let labels = placing.labels.iter().map(|label| text(label)).collect();
                    let body = object([
                        ("service", text(service)),
                        ("addr", text(&app.to_string())),
                        ("zone", text(&placing.zone)),
                        ("version", text("v1")),
                        ("slots", number(8)),
                        ("state", text("ready")),
                        ("coldLeftMs", number(0)),
                        ("room", room),
                        ("labels", Json::List(labels)),
                        ("clockMs", number(life.clock_ms())),
                        ("born", number(life.born_ms)),
                        ("seq", number(life.seq)),
                    ]);
                    (life.instance.clone(), body)
                })
            };
            let pause = match call {
                Some((instance, body)) => {
                    let path = format!("/instances/{instance}");
                    let (body, timeout) = (body.to_string(), Duration::from_secs(1));
                    let answer = http::call(control, "PUT", &path, &[], &body, timeout);
                    match answer {
                        Ok((200..=299, _)) => HEARTBEAT,
                        _ => Duration::from_millis(300),
                    }
                }
                None => Duration::from_millis(10),
            };
            // A new life doesn't wait for the interval of the one before.
            let until = Instant::now() + pause;
            while Instant::now() < until && self.born(index) == born {
                thread::sleep(Duration::from_millis(10));
            }
        }
    }

    fn born(&self, index: usize) -> Option<u64> {
        self.world.0.lock().unwrap().runners[index].life.as_ref().map(|life| life.born_ms)
    }

    fn handle(&self, index: usize, request: &Request) -> Reply {
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, object([]));
        };
        let mut world = self.world.0.lock().unwrap();
        let Some(life) = &world.runners[index].life else {
            return Reply::Reset;
        };
        let target = request.headers.get("x-teaselhall-target-instance");
        if target.is_some_and(|target| *target != life.instance) {
            return Reply::Answer(421, object([]));
        }
        match request.path.as_str() {
            "/run-start" => self.start(&mut world, index, &body),
            "/run-stop" => self.stop(&mut world, index, &body),
            "/hold" => {
                drop(world);
                self.hold(index, &body)
            }
            _ => Reply::Answer(404, object([])),
        }
    }

    fn start(&self, world: &mut World, index: usize, body: &Json) -> Reply {
        let task = body.text("task").unwrap_or_default().to_owned();
        let run = body.number("run").unwrap_or(0) as u32;
        let name = world.runners[index].placing.name.clone();
        let Some(life) = &mut world.runners[index].life else {
            return Reply::Reset;
        };
        if body.number("fence").unwrap_or(0) < life.fence {
            return life.refuse("fence");
        }
        life.fence = body.number("fence").unwrap_or(0);
        let deadline_ms = body.number("deadlineMs").unwrap_or(0);
        if life.running.get(&task).is_some_and(|attempt| attempt.run == run) {
            life.extend(deadline_ms);
            return life.ok();
        }
        if life.closed.get(&task).is_some_and(|closed| run <= *closed)
            || life.running.contains_key(&task)
        {
            life.extend(deadline_ms);
            return life.refuse("old");
        }
        if deadline_ms <= life.clock_ms() {
            return life.refuse("late");
        }
        life.extend(deadline_ms);
        let spec = body.text("spec").unwrap_or_default();
        let word = |key: &str| -> u64 {
            spec.split_whitespace()
                .filter_map(|word| word.split_once('='))
                .find(|(name, _)| *name == key)
                .and_then(|(_, value)| value.parse().ok())
                .unwrap_or(0)
        };
        let task_index: u64 =
            task.rsplit('.').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        let work = Duration::from_millis(word("ms") + word("step") * task_index);
        let attempt = Attempt {
            run,
            began: Instant::now(),
            works_since: None,
            work,
            gang: word("gang") as usize,
            saves: word("saves") > 0,
            saved: body.text("saved").unwrap_or_default().to_owned(),
            stop_at: None,
            is_broken: false,
        };
        life.running.insert(task.clone(), attempt);
        let answer = life.ok();
        self.record.add(&format!("{name} is told to start run {run} of {task}, and starts it"));
        self.judge_start(world, index, &task, run);
        answer
    }

    fn judge_start(&self, world: &mut World, index: usize, task: &str, run: u32) {
        let name = &world.runners[index].placing.name;
        let elsewhere = world.runners.iter().enumerate().find(|(other, runner)| {
            *other != index
                && runner.life.as_ref().is_some_and(|life| life.running.contains_key(task))
        });
        if let Some((_, other)) = elsewhere {
            let other = &other.placing.name;
            self.record.broken(&format!(
                "TWICE: run {run} of {task} starts on {name} while another run works on {other}"
            ));
        }
        *world.judge.starts.entry(task.to_owned()).or_default() += 1;
        let World { judge, runners, .. } = world;
        let name = &runners[index].placing.name;
        for (done_on, done_run) in judge.done.get(task).into_iter().flatten() {
            let line = format!(
                "TWICE: run {run} of {task} started on {name} after run {done_run} ended as done on {done_on}"
            );
            let key = (task.to_owned(), *done_run);
            match judge.noted.contains(&key) {
                true => self.record.broken(&line),
                // It counts once that end is taken note of.
                false => judge.after_done.entry(key).or_default().push(line),
            }
        }
    }

    fn stop(&self, world: &mut World, index: usize, body: &Json) -> Reply {
        let task = body.text("task").unwrap_or_default().to_owned();
        let run = body.number("run").unwrap_or(0) as u32;
        let name = world.runners[index].placing.name.clone();
        let Some(life) = &mut world.runners[index].life else {
            return Reply::Reset;
        };
        if body.number("fence").unwrap_or(0) < life.fence {
            return life.refuse("fence");
        }
        self.record.add(&format!("{name} is told to stop run {run} of {task}"));
        let closed = life.closed.entry(task.clone()).or_default();
        *closed = run.max(*closed);
        if let Some(attempt) = life.running.get_mut(&task).filter(|attempt| attempt.run <= run) {
            attempt.stop_at.get_or_insert(Instant::now() + STOP_TIME);
        }
        life.ok()
    }

    fn hold(&self, index: usize, body: &Json) -> Reply {
        let wait = Duration::from_millis(body.number("waitMs").unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        let mut world = self.world.0.lock().unwrap();
        {
            let World { runners, judge, .. } = &mut *world;
            let Some(life) = &mut runners[index].life else {
                return Reply::Reset;
            };
            if body.number("fence").unwrap_or(0) < life.fence {
                return life.refuse("fence");
            }
            life.fence = body.number("fence").unwrap_or(0);
            if let Some(deadline_ms) = body.number("deadlineMs") {
                life.extend(deadline_ms);
            }
            let acked = body.number("ackedUpto").unwrap_or(0);
            let mut broken = Vec::new();
            if life.ended.iter().any(|end| end.number <= acked) {
                let name = &runners[index].placing.name;
                self.record
                    .add(&format!("{name} is told that its ends up to {acked} are taken note of"));
            }
            let Some(life) = &mut runners[index].life else {
                return Reply::Reset;
            };
            for end in life.ended.iter().filter(|end| end.number <= acked) {
                if end.how == "done" && !end.is_void {
                    let key = (end.task.clone(), end.run);
                    broken.extend(judge.after_done.remove(&key).unwrap_or_default());
                    judge.noted.insert(key);
                }
            }
            life.ended.retain(|end| end.number > acked);
            for line in broken {
                self.record.broken(&line);
            }
        }
        loop {
            let Some(life) = &world.runners[index].life else {
                return Reply::Reset;
            };
            let now = Instant::now();
            if !life.ended.is_empty() || now >= until {
                return Reply::Answer(200, life.lists());
            }
            world = self.world.1.wait_timeout(world, until - now).unwrap().0;
        }
    }

    fn tick(&self) {
        let mut world = self.world.0.lock().unwrap();
        let now = Instant::now();
        let present = world.present_members();
        let mut ends: Vec<(usize, String, &'static str)> = Vec::new();
        let failing = world.failing.clone();
        for (index, runner) in world.runners.iter_mut().enumerate() {
            let Some(life) = &mut runner.life else {
                continue;
            };
            let has_lapsed = life.lease_until.is_some_and(|until| now >= until);
            if has_lapsed {
                life.ended.iter_mut().for_each(|end| end.is_void = true);
            }
            for (task, attempt) in &mut life.running {
                if attempt.works_since.is_none() {
                    let is_complete = attempt.gang == 0
                        || present
                            .get(&(step_of(task), attempt.run))
                            .is_some_and(|count| *count >= attempt.gang);
                    attempt.works_since = is_complete.then_some(now);
                }
                let worked = attempt.works_since.map_or(Duration::ZERO, |since| now - since);
                if attempt.saves && worked >= CHECKPOINT {
                    attempt.saved = format!("{:016x}", worked.as_secs());
                }
                let fails = attempt.run == 1
                    && failing
                        .iter()
                        .any(|(prefix, after)| task.starts_with(prefix) && worked >= *after);
                let how = if has_lapsed {
                    "lapsed"
                } else if attempt.is_broken {
                    "broken"
                } else if attempt.stop_at.is_some_and(|at| now >= at) {
                    "stopped"
                } else if fails && attempt.works_since.is_some() {
                    "failed"
                } else if attempt.works_since.is_some() && worked >= attempt.work {
                    "done"
                } else if attempt.works_since.is_none() && now >= attempt.began + GANG_WAIT {
                    "alone"
                } else {
                    continue;
                };
                ends.push((index, task.clone(), how));
            }
        }
        if ends.is_empty() {
            return;
        }
        for (index, task, how) in ends {
            self.end(&mut world, index, &task, how);
        }
        drop(world);
        self.world.1.notify_all();
    }

    fn end(&self, world: &mut World, index: usize, task: &str, how: &'static str) {
        let World { runners, judge, .. } = world;
        let name = runners[index].placing.name.clone();
        let Some(life) = &mut runners[index].life else {
            return;
        };
        let Some(attempt) = life.running.remove(task) else {
            return;
        };
        life.ends += 1;
        let closed = life.closed.entry(task.to_owned()).or_default();
        *closed = attempt.run.max(*closed);
        life.ended.push(End {
            number: life.ends,
            task: task.to_owned(),
            run: attempt.run,
            how,
            saved: attempt.saved,
            is_void: false,
        });
        match how {
            "done" => {
                judge.done.entry(task.to_owned()).or_default().push((name.clone(), attempt.run));
            }
            "failed" => *judge.failed.entry(task.to_owned()).or_default() += 1,
            _ => {}
        }
        self.record.add(&format!("{name} ends run {} of {task} as {how}", attempt.run));
        if attempt.gang > 0 && !matches!(how, "done" | "broken") {
            world.break_gang(&step_of(task), attempt.run);
        }
    }

    /// Notes what the tasks of a job need. The tasks of all steps of a job are equal here.
    pub fn expect(&self, job: &str, body: &Json) {
        let Some(step) = body.list("steps").first() else {
            return;
        };
        let field = |name: &str| step.number(name).unwrap_or(0);
        let need = Need {
            cpu: field("cpu"),
            mem_mb: field("memMb"),
            gpu: field("gpu"),
            count: field("count"),
        };
        self.world.0.lock().unwrap().needs.insert(job.to_owned(), need);
    }

    /// Whether a job has nothing running, there is capacity for it twice over on the runners that are up, and under half
    /// of the capacity of the service is in use.
    pub fn is_left_alone(&self, job: &str) -> bool {
        let world = self.world.0.lock().unwrap();
        let need_of = |job: &str| world.needs.get(job).copied().unwrap_or_default();
        let need = need_of(job);
        let (mut fits, mut room, mut used) = (0, [0_u64; 3], [0_u64; 3]);
        for runner in &world.runners {
            let Some(life) = &runner.life else {
                continue;
            };
            let mut used_here = [0_u64; 3];
            for task in life.running.keys() {
                let owner = task.split('.').next().unwrap_or_default();
                if owner == job {
                    return false;
                }
                let need = need_of(owner);
                for (sum, part) in used_here.iter_mut().zip([need.cpu, need.mem_mb, need.gpu]) {
                    *sum += part;
                }
            }
            let room_here = [runner.placing.cpu, runner.placing.mem_mb, runner.placing.gpu];
            let parts = [need.cpu, need.mem_mb, need.gpu];
            fits += (0..3)
                .filter(|part| parts[*part] > 0)
                .map(|part| room_here[part].saturating_sub(used_here[part]) / parts[part])
                .min()
                .unwrap_or(u64::MAX / 1_000);
            for part in 0..3 {
                room[part] += room_here[part];
                used[part] += used_here[part];
            }
        }
        fits >= 2 * need.count && (0..3).all(|part| 2 * used[part] < room[part])
    }

    /// Number of tasks of a job that are running now.
    pub fn running(&self, job: &str) -> usize {
        let world = self.world.0.lock().unwrap();
        let lives = world.runners.iter().filter_map(|runner| runner.life.as_ref());
        lives.flat_map(|life| life.running.keys()).filter(|task| task.starts_with(job)).count()
    }

    /// Whether a task of a job has started.
    pub fn started(&self, job: &str) -> bool {
        self.world.0.lock().unwrap().judge.starts.keys().any(|task| task.starts_with(job))
    }

    /// Number of starts and of runs that ended as failed of each task of a job.
    pub fn starts_and_failures(&self, job: &str) -> BTreeMap<String, (u32, u32)> {
        let world = self.world.0.lock().unwrap();
        let starts = world.judge.starts.iter().filter(|(task, _)| task.starts_with(job));
        starts
            .map(|(task, starts)| {
                let failed = world.judge.failed.get(task).copied().unwrap_or(0);
                (task.clone(), (*starts, failed))
            })
            .collect()
    }

    /// Largest number of ends that a runner has listed and that are not taken note of.
    pub fn most_unnoted_ends(&self) -> usize {
        let world = self.world.0.lock().unwrap();
        let lives = world.runners.iter().filter_map(|runner| runner.life.as_ref());
        lives.map(|life| life.ended.len()).max().unwrap_or(0)
    }
}

impl World {
    /// The other members of a gang end at the next tick, unless they end by themselves now.
    fn break_gang(&mut self, step: &str, run: u32) {
        let lives = self.runners.iter_mut().filter_map(|runner| runner.life.as_mut());
        for (task, attempt) in lives.flat_map(|life| &mut life.running) {
            if attempt.run == run && step_of(task) == step {
                attempt.is_broken = true;
            }
        }
    }

    /// Counts the members of each gang that are present: step of the job, number of the run.
    fn present_members(&self) -> HashMap<(String, u32), usize> {
        let mut present = HashMap::new();
        let lives = self.runners.iter().filter_map(|runner| runner.life.as_ref());
        for (task, attempt) in lives.flat_map(|life| &life.running) {
            if attempt.gang > 0 {
                *present.entry((step_of(task), attempt.run)).or_default() += 1;
            }
        }
        present
    }
}

impl Life {
    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 1_000
    }

    fn extend(&mut self, deadline_ms: u64) {
        let left_ms = deadline_ms.saturating_sub(self.clock_ms()).min(HOLD_MAX_MS);
        let until = Instant::now() + Duration::from_millis(left_ms);
        self.lease_until = Some(self.lease_until.map_or(until, |current| current.max(until)));
    }

    fn ok(&self) -> Reply {
        Reply::Answer(200, object([("clockMs", number(self.clock_ms()))]))
    }

    fn refuse(&self, reason: &str) -> Reply {
        let body = object([("clockMs", number(self.clock_ms())), ("reason", text(reason))]);
        Reply::Answer(409, body)
    }

    fn lists(&self) -> Json {
        let now = Instant::now();
        let percent = |attempt: &Attempt| {
            let worked = attempt.works_since.map_or(Duration::ZERO, |since| now - since);
            (worked.as_millis() * 100 / attempt.work.as_millis().max(1)).min(100) as u64
        };
        let running = self.running.iter().map(|(task, attempt)| {
            Json::List(vec![
                text(task),
                number(attempt.run.into()),
                text(&attempt.saved),
                number(percent(attempt)),
                number(0),
            ])
        });
        let ended = self.ended.iter().take(MAX_LISTED_ENDS).map(|end| {
            Json::List(vec![
                number(end.number),
                text(&end.task),
                number(end.run.into()),
                text(end.how),
                text(&end.saved),
            ])
        });
        object([
            ("clockMs", number(self.clock_ms())),
            ("born", number(self.born_ms)),
            ("running", Json::List(running.collect())),
            ("ended", Json::List(ended.collect())),
        ])
    }
}

/// Returns the name of a task without its index.
fn step_of(task: &str) -> String {
    task.rsplit_once('.').map_or(task, |(step, _)| step).to_owned()
}
