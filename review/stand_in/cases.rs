//! The cases of the review. Each is described in `review/N/claim.txt`.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::deploy::{Deployment, Queue};
use crate::json::{Json, number, object, text};
use crate::record::Record;
use crate::runner::Placing;
use crate::store::Mode;
use crate::{CaseResult, Outcome};

/// `finish_s` of the site: the time after the end of the traffic from which jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job has nothing running until the rule LOST is broken.
const LOST_AFTER: Duration = Duration::from_secs(3);

pub fn play(
    case: &str,
    root: &Path,
    folder: &Path,
    record: &Record,
    has_trouble: bool,
) -> CaseResult {
    record.add(&format!("case {case}, trouble {has_trouble}"));
    let play = match case {
        "fronts-replaced" => fronts_replaced,
        "occurrence-lost" => occurrence_lost,
        "many-ends" => many_ends,
        "gang-failure" => gang_failure,
        "large-schedule" => large_schedule,
        "new-life" => new_life,
        "reserved-runners" => reserved_runners,
        _ => return Err(format!("no case {case}")),
    };
    play(root, folder, record, has_trouble).map_err(|error| error.to_string())
}

type Played = std::io::Result<Outcome>;

const QUEUES: [Queue; 2] = [
    Queue { name: "prerun", priority: 1, attempts: 3, stretch: 3, slo_ms: 1_000 },
    Queue { name: "drift", priority: 2, attempts: 2, stretch: 3, slo_ms: 3_000 },
];

fn runners(count: usize) -> Vec<Placing> {
    let zones = ["amman-north", "amman-east", "amman-south"];
    (0..count)
        .map(|index| Placing {
            name: format!("runner-{}", index + 1),
            zone: zones[index % zones.len()].to_owned(),
            labels: vec!["a".to_owned(), format!("r1-{}", index / 3)],
            cpu: 32_000,
            mem_mb: 131_072,
            gpu: 8,
        })
        .collect()
}

fn id(number: u64) -> String {
    format!("{number:016x}")
}

fn job(spec: &str, step: Json) -> Json {
    object([("spec", text(spec)), ("steps", Json::List(vec![step]))])
}

fn failed(reason: &str) -> std::io::Error {
    std::io::Error::other(reason.to_owned())
}

fn is_over(state: &str) -> bool {
    matches!(state, "done" | "failed" | "canceled")
}

/// Waits until the fronts are ready and one of them leads.
fn wait_for_leader(deployment: &Deployment) -> std::io::Result<usize> {
    if !deployment.wait_until_ready(Duration::from_secs(10)) {
        return Err(failed("the fronts are not ready"));
    }
    for _ in 0..100 {
        if let Some(leader) = deployment.leader() {
            return Ok(leader);
        }
        thread::sleep(Duration::from_millis(100));
    }
    Err(failed("no front leads"))
}

/// Checks from `finish_s` after the end of the traffic that the job is not left alone: it breaks the rule LOST if, for
/// 3 s, it is not over and has nothing running while its turn has come, there is capacity for it twice over, and under
/// half of the capacity is in use.
fn check_lost(
    deployment: &Deployment,
    queue: &str,
    job: &str,
    traffic_ended: Instant,
    limit: Duration,
) -> Outcome {
    let begin = traffic_ended + FINISH;
    thread::sleep(begin.saturating_duration_since(Instant::now()));
    let until = Instant::now() + limit;
    let mut idle_since: Option<Instant> = None;
    let mut last = String::new();
    while Instant::now() < until {
        let state = deployment.state(queue, job);
        if state != last {
            deployment.record.add(&format!("job {job} is shown as {state}"));
            last.clone_from(&state);
        }
        if is_over(&state) {
            return Outcome::Held;
        }
        if !deployment.runners.is_left_alone(job) {
            idle_since = None;
        } else if idle_since.get_or_insert_with(Instant::now).elapsed() >= LOST_AFTER {
            deployment.record.broken(&format!(
                "LOST: job {job} is {state} and has had nothing running for 3 s, {} s after the end of the traffic, while there is room for it twice over",
                traffic_ended.elapsed().as_secs()
            ));
            return Outcome::Broken;
        }
        thread::sleep(Duration::from_millis(100));
    }
    deployment.record.add(&format!("the check of job {job} ended after its limit"));
    Outcome::Held
}

/// All fronts are replaced one after the other, the leader last.
fn fronts_replaced(root: &Path, folder: &Path, record: &Record, has_trouble: bool) -> Played {
    let mut deployment = Deployment::start(root, folder, record, &QUEUES, 3, &runners(2))?;
    let leader = wait_for_leader(&deployment)?;
    let task = || object([("count", number(2)), ("cpu", number(4_000)), ("estMs", number(1_000))]);
    if !deployment.submit("prerun", &id(1), &job("ms=1000", task())) {
        return Err(failed("the first job is not accepted"));
    }
    let state = deployment.wait_for("prerun", &id(1), &["done"], Duration::from_secs(10));
    if state != "done" {
        return Err(failed("the first job is not done"));
    }
    if has_trouble {
        let followers: Vec<usize> = (0..3).filter(|index| *index != leader).collect();
        for index in followers.into_iter().chain([leader]) {
            record.add(&format!("leader is {:?}", deployment.leader()));
            deployment.replace_front(index, Duration::from_secs(2))?;
            thread::sleep(Duration::from_secs(6));
        }
    }
    if !deployment.submit("prerun", &id(2), &job("ms=1000", task())) {
        return Err(failed("the second job is not accepted"));
    }
    let traffic_ended = Instant::now();
    let limit = Duration::from_secs(25);
    Ok(check_lost(&deployment, "prerun", &id(2), traffic_ended, limit))
}

/// The leader is killed while the second time of a scheduled job works and the first one still waits.
fn occurrence_lost(root: &Path, folder: &Path, record: &Record, has_trouble: bool) -> Played {
    let mut deployment = Deployment::start(root, folder, record, &QUEUES, 3, &runners(2))?;
    wait_for_leader(&deployment)?;
    let step = |estimate_ms| {
        object([
            ("count", number(1)),
            ("cpu", number(8_000)),
            ("gpu", number(8)),
            ("estMs", number(estimate_ms)),
        ])
    };
    // Two jobs that occupy all accelerators of a runner each, as in a burst.
    for (number, spec, estimate_ms) in [(1, "ms=15000", 15_000), (2, "ms=26000", 26_000)] {
        if !deployment.submit("prerun", &id(number), &job(spec, step(estimate_ms))) {
            return Err(failed("a job is not accepted"));
        }
        deployment.wait_for("prerun", &id(number), &["running"], Duration::from_secs(5));
    }
    let began = Instant::now();
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_millis());
    let scheduled = object([
        ("spec", text("ms=4000")),
        ("steps", Json::List(vec![step(4_000)])),
        ("times", number(2)),
        ("initialDelayMs", number(now_ms as u64 + 500)),
        ("intervalMs", number(10_000)),
    ]);
    if !deployment.submit("prerun", &id(3), &scheduled) {
        return Err(failed("the scheduled job is not accepted"));
    }
    // The second time is due at 10.5 s; the first runner is free at 15 s.
    let second = format!("{}.1.", id(3));
    while deployment.runners.running(&second) == 0 {
        if began.elapsed() > Duration::from_secs(30) {
            break;
        }
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_millis(1_000));
    if has_trouble {
        let leader = deployment.leader().ok_or_else(|| failed("no front leads"))?;
        Deployment::kill(record, &mut deployment.fronts[leader]);
        thread::sleep(Duration::from_millis(3_500));
        deployment.restart_front(leader)?;
    }
    // The traffic goes on until after the disruption.
    let last = object([("count", number(1)), ("cpu", number(1_000)), ("estMs", number(500))]);
    if !deployment.submit("drift", &id(4), &job("ms=500", last)) {
        return Err(failed("the last job is not accepted"));
    }
    let traffic_ended = Instant::now();
    let limit = Duration::from_secs(30);
    Ok(check_lost(&deployment, "prerun", &id(3), traffic_ended, limit))
}

/// The store is down while many tasks of one runner end.
fn many_ends(root: &Path, folder: &Path, record: &Record, has_trouble: bool) -> Played {
    let deployment = Deployment::start(root, folder, record, &QUEUES, 3, &runners(2))?;
    wait_for_leader(&deployment)?;
    let step = object([
        ("count", number(1_000)),
        ("cpu", number(30)),
        ("memMb", number(100)),
        ("estMs", number(6_000)),
    ]);
    if !deployment.submit("drift", &id(1), &job("ms=6000 step=4", step)) {
        return Err(failed("the job is not accepted"));
    }
    let began = Instant::now();
    while deployment.runners.running(&id(1)) < 1_000 {
        if began.elapsed() > Duration::from_secs(5) {
            return Err(failed("the tasks do not start"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.add("all 1000 tasks run");
    thread::sleep(Duration::from_millis(6_200));
    if has_trouble {
        deployment.store.set_mode(Mode::Busy);
    }
    for _ in 0..35 {
        thread::sleep(Duration::from_millis(100));
        record.add(&format!(
            "{} tasks run, {} ends of a runner are not taken note of",
            deployment.runners.running(&id(1)),
            deployment.runners.most_unnoted_ends()
        ));
    }
    if has_trouble {
        deployment.store.set_mode(Mode::Up);
    }
    deployment.wait_for("drift", &id(1), &["done", "failed"], Duration::from_secs(60));
    let starts = deployment.runners.starts_and_failures(&id(1));
    let repeated = starts.values().filter(|(starts, _)| *starts > 1).count();
    record.add(&format!("{repeated} of {} tasks were started more than once", starts.len()));
    // The ends of the last runs have to be taken note of.
    thread::sleep(Duration::from_secs(2));
    Ok(match record.violations().is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    })
}

/// Both members of a gang fail; one end is reported to the leader, the other one to its successor.
fn gang_failure(root: &Path, folder: &Path, record: &Record, has_trouble: bool) -> Played {
    let mut deployment = Deployment::start(root, folder, record, &QUEUES, 3, &runners(2))?;
    wait_for_leader(&deployment)?;
    let step = object([
        ("count", number(2)),
        ("cpu", number(8_000)),
        ("gpu", number(8)),
        ("estMs", number(4_000)),
        ("gang", Json::Bool(true)),
    ]);
    // The first run of the gang fails on both runners after 4 s.
    deployment.runners.fail_once(&id(1), Duration::from_millis(4_000));
    if !deployment.submit("drift", &id(1), &job("ms=6000 gang=2", step)) {
        return Err(failed("the job is not accepted"));
    }
    let began = Instant::now();
    while deployment.runners.running(&id(1)) < 2 && began.elapsed() < Duration::from_secs(5) {
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_millis(3_000));
    if has_trouble {
        Deployment::kill(record, &mut deployment.sides[1]);
        thread::sleep(Duration::from_millis(1_500));
        let leader = deployment.leader().ok_or_else(|| failed("no front leads"))?;
        Deployment::kill(record, &mut deployment.fronts[leader]);
        thread::sleep(Duration::from_millis(1_500));
        deployment.restart_side(1)?;
        deployment.restart_front(leader)?;
    }
    let state = deployment.wait_for("drift", &id(1), &["done", "failed"], Duration::from_secs(40));
    let starts = deployment.runners.starts_and_failures(&id(1));
    record.add(&format!("starts and failed runs of each task: {starts:?}"));
    let most_failed = starts.values().map(|(_, failed)| *failed).max().unwrap_or(0);
    if state == "failed" && most_failed < 2 {
        record.broken(&format!(
            "LOST: job {} is shown as failed, but no task has failed more than {most_failed} times, and `attempts` is 2",
            id(1)
        ));
        return Ok(Outcome::Broken);
    }
    Ok(Outcome::Held)
}

/// Memory of a front, from the site's page.
const FRONT_MEMORY_KB: u64 = 260 * 1_000;
/// Time after which the platform starts a process again.
const RESTART: Duration = Duration::from_millis(1_000);

/// Kills fronts that exceed their memory and starts them again, as the platform does.
struct MemoryLimit {
    down_since: [Option<Instant>; 3],
    kills: usize,
}

impl MemoryLimit {
    fn enforce(&mut self, deployment: &mut Deployment) -> std::io::Result<()> {
        for index in 0..self.down_since.len() {
            match self.down_since[index] {
                Some(since) if since.elapsed() >= RESTART => {
                    deployment.restart_front(index)?;
                    self.down_since[index] = None;
                }
                Some(_) => {}
                None => {
                    let used_kb = deployment.fronts[index].memory_kb().unwrap_or(0);
                    if used_kb > FRONT_MEMORY_KB {
                        let name = deployment.fronts[index].name.clone();
                        deployment.record.add(&format!(
                            "{name} uses {used_kb} kB of memory, over its limit of {FRONT_MEMORY_KB} kB"
                        ));
                        let record = deployment.record.clone();
                        Deployment::kill(&record, &mut deployment.fronts[index]);
                        self.down_since[index] = Some(Instant::now());
                        self.kills += 1;
                    }
                }
            }
        }
        Ok(())
    }
}

/// A client submits a job with many times that are all due.
fn large_schedule(root: &Path, folder: &Path, record: &Record, has_trouble: bool) -> Played {
    let mut deployment = Deployment::start(root, folder, record, &QUEUES, 3, &runners(2))?;
    wait_for_leader(&deployment)?;
    let mut limit = MemoryLimit { down_since: [None; 3], kills: 0 };
    if has_trouble {
        let step = object([
            ("count", number(200)),
            ("cpu", number(2_800)),
            ("gpu", number(1)),
            ("estMs", number(6_000)),
        ]);
        let scheduled = object([
            ("spec", text("ms=6000")),
            ("steps", Json::List(vec![step])),
            ("times", number(10_000)),
            ("intervalMs", number(60_000)),
        ]);
        if !deployment.submit("drift", &id(1), &scheduled) {
            return Err(failed("the scheduled job is not accepted"));
        }
    }
    let step = object([("count", number(2)), ("cpu", number(4_000)), ("estMs", number(1_000))]);
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(3) {
        limit.enforce(&mut deployment)?;
        thread::sleep(Duration::from_millis(20));
    }
    let mut is_accepted = false;
    while !is_accepted && began.elapsed() < Duration::from_secs(15) {
        limit.enforce(&mut deployment)?;
        is_accepted = deployment.submit("prerun", &id(2), &job("ms=1000", step.clone()));
    }
    if !is_accepted {
        return Err(failed("the second job is not accepted"));
    }
    let traffic_ended = Instant::now();
    let mut idle_since: Option<Instant> = None;
    while traffic_ended.elapsed() < FINISH + Duration::from_secs(20) {
        limit.enforce(&mut deployment)?;
        thread::sleep(Duration::from_millis(20));
        if deployment.runners.started(&id(2)) {
            deployment.wait_for("prerun", &id(2), &["done"], Duration::from_secs(10));
            return Ok(Outcome::Held);
        }
        let is_left_alone = deployment.runners.is_left_alone(&id(2));
        if !is_left_alone || traffic_ended.elapsed() < FINISH {
            idle_since = None;
        } else if idle_since.get_or_insert_with(Instant::now).elapsed() >= LOST_AFTER {
            record.broken(&format!(
                "LOST: job {} has had nothing running for 3 s, {} s after the end of the traffic, while there is room for it twice over; fronts were killed {} times for their memory",
                id(2),
                traffic_ended.elapsed().as_secs(),
                limit.kills
            ));
            return Ok(Outcome::Broken);
        }
    }
    Ok(Outcome::Held)
}

/// Time for which the gang has waited when the small job comes.
const GANG_WAITS: Duration = Duration::from_secs(62);

/// A gang that can't be placed waits, and a small job comes after it.
fn reserved_runners(root: &Path, folder: &Path, record: &Record, has_trouble: bool) -> Played {
    let deployment = Deployment::start(root, folder, record, &QUEUES, 3, &runners(2))?;
    wait_for_leader(&deployment)?;
    // One lasting task on each runner.
    let lasting = object([
        ("count", number(2)),
        ("cpu", number(1_000)),
        ("gpu", number(1)),
        ("antiAffinity", number(1)),
        ("longRunning", Json::Bool(true)),
    ]);
    if !deployment.submit("drift", &id(1), &job("ms=100000000", lasting)) {
        return Err(failed("the lasting job is not accepted"));
    }
    let began = Instant::now();
    while deployment.runners.running(&id(1)) < 2 {
        if began.elapsed() > Duration::from_secs(10) {
            return Err(failed("the lasting tasks do not start"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    // One of 15 jobs of the queue can't be done, which is within the share of 0.068 of the site.
    for number_of in 10..24 {
        let step = object([("count", number(1)), ("cpu", number(1_000)), ("estMs", number(500))]);
        if !deployment.submit("prerun", &id(number_of), &job("ms=500", step)) {
            return Err(failed("an ordinary job is not accepted"));
        }
    }
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        let gang = object([
            ("count", number(2)),
            ("cpu", number(13_000)),
            ("gpu", number(8)),
            ("estMs", number(1_000)),
            ("gang", Json::Bool(true)),
        ]);
        if !deployment.submit("prerun", &id(2), &job("ms=1000 gang=2", gang)) {
            return Err(failed("the gang is not accepted"));
        }
    }
    thread::sleep(GANG_WAITS);
    let step = object([("count", number(1)), ("cpu", number(2_800)), ("estMs", number(6_000))]);
    if !deployment.submit("drift", &id(3), &job("ms=6000", step)) {
        return Err(failed("the small job is not accepted"));
    }
    let traffic_ended = Instant::now();
    let limit = Duration::from_secs(20);
    Ok(check_lost(&deployment, "drift", &id(3), traffic_ended, limit))
}

/// Time for which the crashed runner is down.
const RUNNER_DOWN: Duration = Duration::from_millis(100);
/// Time after its start at which the runner first reports itself; it serves calls before.
const FIRST_REPORT: Duration = Duration::from_millis(100);

/// One of eight runners crashes and starts again under the same id, and a job comes before the first report of its new life.
fn new_life(root: &Path, folder: &Path, record: &Record, has_trouble: bool) -> Played {
    let deployment = Deployment::start(root, folder, record, &QUEUES, 3, &runners(8))?;
    wait_for_leader(&deployment)?;
    let step = |count| {
        object([
            ("count", number(count)),
            ("cpu", number(2_800)),
            ("gpu", number(1)),
            ("estMs", number(6_000)),
        ])
    };
    if !deployment.submit("drift", &id(1), &job("ms=20000", step(1))) {
        return Err(failed("the first job is not accepted"));
    }
    let began = Instant::now();
    let busy = loop {
        match deployment.runners.runner_of(&id(1)) {
            Some(runner) => break runner,
            None if began.elapsed() > Duration::from_secs(10) => {
                return Err(failed("the first job does not start"));
            }
            None => thread::sleep(Duration::from_millis(20)),
        }
    };
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        deployment.runners.crash(busy);
        thread::sleep(RUNNER_DOWN);
        deployment.runners.begin_life(busy, FIRST_REPORT)?;
    }
    if !deployment.submit("drift", &id(2), &job("ms=6000", step(4))) {
        return Err(failed("the second job is not accepted"));
    }
    for job in [2, 1] {
        deployment.wait_for("drift", &id(job), &["done", "failed"], Duration::from_secs(40));
    }
    thread::sleep(Duration::from_secs(1));
    Ok(Outcome::Held)
}
