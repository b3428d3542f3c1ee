//! The cases. Each returns whether the rule held.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, Outcome};
use crate::json::{Json, number, text};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::runner::Runner;

/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);
/// `contactMs` of the settings.
const CONTACT_MS: u64 = 3_000;
/// Sides of the site, with a runner each.
const SIDES: usize = 11;

pub fn run(name: &str, root: &Path, folder: &Path, trouble: bool, record: &Record) -> Outcome {
    let mut deployment = Deployment::new(root, record)?;
    let outcome = match name {
        "rows" => rows(&mut deployment, trouble),
        "born" => born(&mut deployment, trouble),
        "view" => view(&mut deployment, trouble),
        "early" => early(&mut deployment, trouble),
        "left" => left(&mut deployment, trouble),
        "gone" => gone(&mut deployment, trouble),
        "waits" => waits(&mut deployment, trouble),
        "rests" => rests(&mut deployment, trouble),
        _ => Err(format!("no case {name}")),
    };
    if std::env::var("KEEP_LOGS").is_ok() {
        deployment.keep_logs(folder);
    }
    outcome
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Starts fronts whose seeds are all of them.
fn start_fronts(deployment: &mut Deployment, count: usize) -> Result<(), String> {
    for _ in 0..count {
        deployment.add_front(&[]);
    }
    let seeds: Vec<_> = deployment.fronts.iter().map(|front| front.ip).collect();
    deployment.fronts.clear();
    for _ in 0..count {
        let front = deployment.add_front(&seeds);
        deployment.start(&front)?;
    }
    for front in deployment.fronts.clone() {
        deployment.wait_ready(&front)?;
    }
    Ok(())
}

/// What a task of the jobs whose ids begin so needs: thousandths of a core, memory and accelerators.
struct Need {
    jobs: &'static str,
    room: [u64; 3],
}

/// Checks a job of one task as LOST says, from `finish_s` after the end of the traffic on: each front knows it, and it isn't so
/// that for 3 s it has nothing running while its task's turn has come, there is capacity for it twice over, and under half
/// of the service's capacity is in use. The job needs the first of `needs`, and a runner of a kind. Returns whether the rule
/// held.
fn is_kept(
    deployment: &Deployment,
    runners: &[Runner],
    needs: &[Need],
    (job, kind): (&str, Option<&str>),
) -> bool {
    sleep(FINISH);
    let record = &deployment.record;
    for front in &deployment.fronts {
        if ["0", "410"].contains(&deployment.state(front, "usual", job).as_str()) {
            return false;
        }
    }
    let need = &needs[0];
    let until = Instant::now() + seconds(3);
    let (mut most_in_use, mut least_fits) = (0, u64::MAX);
    while Instant::now() < until {
        let (mut used, mut capacity, mut fits) = ([0; 3], [0; 3], 0);
        for runner in runners.iter().filter(|runner| runner.is_up()) {
            let settings = &runner.settings;
            let room = [settings.cpu, settings.memory_mb, settings.gpu];
            let mut free = room;
            for (index, part) in free.iter_mut().enumerate() {
                let in_use: u64 =
                    needs.iter().map(|need| runner.running(need.jobs) * need.room[index]).sum();
                *part = part.saturating_sub(in_use);
                used[index] += in_use;
                capacity[index] += room[index];
            }
            if kind.is_none_or(|kind| settings.labels[0] == kind) {
                let ratio = |index: usize| free[index].checked_div(need.room[index]);
                fits += (0..3).filter_map(ratio).min().unwrap_or_default();
            }
        }
        let percent = (0..3).map(|index| used[index] * 100 / capacity[index].max(1)).max();
        most_in_use = most_in_use.max(percent.unwrap_or_default());
        least_fits = least_fits.min(fits);
        let is_idle = record.done_of(job) == 0 && !runners.iter().any(|r| r.is_running(job));
        if !is_idle || fits < 2 || most_in_use >= 50 {
            record.add(format!(
                "idle: {is_idle}, room for {fits} such tasks, {most_in_use} % in use"
            ));
            return true;
        }
        sleep(Duration::from_millis(50));
    }
    record.add(format!(
        "job {job} had nothing running for 3 s; room for {least_fits} such tasks at least, {most_in_use} % in use at most"
    ));
    deployment.state(&deployment.fronts[0], "usual", job);
    false
}

/// LOST: one large job whose tasks save their progress stops the whole system.
fn rows(deployment: &mut Deployment, trouble: bool) -> Outcome {
    start_fronts(deployment, 3)?;
    let mut runners = Vec::new();
    for _ in 0..6 {
        let side = deployment.add_side();
        deployment.start(&side)?;
        let mut settings = deployment.runner_settings(&side, "a");
        settings.saved_length = 64;
        runners.push(deployment.start_runner(settings, 0)?);
    }
    let fronts = deployment.fronts.clone();
    deployment.wait_working(&fronts[0], None)?;
    // The same 1,024 tasks, in one job or in eight jobs. The first step is short, the second one long.
    let jobs: u64 = if trouble { 1 } else { 8 };
    let step = |tasks: u64, estimate_ms| {
        vec![
            ("count", number(tasks / jobs)),
            ("cpu", number(50)),
            ("memMb", number(64)),
            ("estMs", number(estimate_ms)),
            ("checkpointable", Json::Bool(true)),
        ]
    };
    for job in 0..jobs {
        let (id, steps) = (format!("b16{job:013x}"), vec![step(1_024, 50_000)]);
        deployment.submit(&fronts[0], "usual", &id, "uneven 4000 100000", steps)?;
    }
    sleep(seconds(10));
    let small = "5a11000000000001";
    let since_ms = deployment.record.now_ms();
    let step = vec![
        ("count", number(1)),
        ("cpu", number(100)),
        ("estMs", number(500)),
        // No runner is left on this rack.
        ("dataRack", text("r-amman-west")),
    ];
    deployment.submit(&fronts[1], "usual", small, "run 500", vec![step])?;
    deployment.record.add("end of the traffic");
    let needs = [Need { jobs: small, room: [100, 0, 0] }, Need { jobs: "b16", room: [50, 64, 0] }];
    let held = is_kept(deployment, &runners, &needs, (small, None));
    let record = &deployment.record;
    record.add(format!("starts of the small job: {}", record.started_since(small, since_ms)));
    let refused = deployment.store.oversized();
    for (key, size) in refused.iter().take(3) {
        record.add(format!("the store refused row {key} of {size} bytes"));
    }
    record.add(format!("transactions that the store refused for a large row: {}", refused.len()));
    let leaders = deployment.store.writes_of("lead", "leader");
    record.add(format!("changes of the leadership: {leaders}"));
    Ok(held)
}

/// LOST: a runner whose clock was ahead when it started gets no work after its restart.
fn born(deployment: &mut Deployment, trouble: bool) -> Outcome {
    start_fronts(deployment, 3)?;
    let mut runners = Vec::new();
    for number in 0..SIDES {
        let side = deployment.add_side();
        deployment.start(&side)?;
        let is_last = number + 1 == SIDES;
        let settings = deployment.runner_settings(&side, if is_last { "b" } else { "a" });
        let ahead_ms = if trouble && is_last { 2_000 } else { 0 };
        if is_last {
            deployment.wait_working(&deployment.fronts[0].clone(), None)?;
        }
        runners.push(deployment.start_runner(settings, ahead_ms)?);
    }
    let fronts = deployment.fronts.clone();
    sleep(Duration::from_millis(1_000));
    runners[SIDES - 1].crash();
    sleep(Duration::from_millis(400));
    // The clock is right again.
    runners[SIDES - 1].begin_life(0);
    sleep(seconds(5));
    let job = "c10c000000000001";
    let since_ms = deployment.record.now_ms();
    let step = vec![
        ("count", number(1)),
        ("cpu", number(1_000)),
        ("gpu", number(1)),
        ("estMs", number(1_000)),
        ("requires", text("b")),
    ];
    deployment.submit(&fronts[0], "usual", job, "run 1000", vec![step])?;
    deployment.record.add("end of the traffic");
    let needs = [Need { jobs: job, room: [1_000, 0, 1] }];
    let held = is_kept(deployment, &runners, &needs, (job, Some("b")));
    let started = deployment.record.started_since(job, since_ms);
    deployment.record.add(format!("starts of the job: {started}"));
    Ok(held)
}

/// MIXED: after one connection between two fronts was closed, one of them never learns of the jobs that were accepted
/// meanwhile.
fn view(deployment: &mut Deployment, trouble: bool) -> Outcome {
    let first = deployment.add_front(&[]);
    deployment.fronts.clear();
    let leader = deployment.add_front(&[first.ip]);
    deployment.start(&leader)?;
    deployment.wait_ready(&leader)?;
    let side = deployment.add_side();
    deployment.start(&side)?;
    let settings = deployment.runner_settings(&side, "a");
    deployment.start_runner(settings, 0)?;
    deployment.wait_working(&leader, None)?;
    // The other fronts reach the leader at its own address too, which they learn from it.
    let seed = deployment.spare_ip();
    let other = deployment.add_front(&[leader.ip]);
    let last = deployment.add_front(&[seed]);
    for front in [&other, &last] {
        deployment.start(front)?;
        deployment.wait_ready(front)?;
    }
    sleep(seconds(2));
    let target = Deployment::inner_address(leader.ip);
    let proxy = Proxy::start(Deployment::inner_address(seed), target).map_err(|e| e.to_string())?;
    sleep(seconds(4));
    let step = |gpu| {
        vec![
            ("count", number(1)),
            ("cpu", number(1_000)),
            ("gpu", number(gpu)),
            ("estMs", number(500)),
        ]
    };
    deployment.submit(&leader, "usual", "f111000000000000", "run 80000", vec![step(7)])?;
    // Waits for nothing; it is cancelled at the leader while the connection is closed.
    let cancelled = "f111000000000001";
    deployment.submit(&leader, "usual", cancelled, "run 80000", vec![step(1)])?;
    sleep(seconds(3));
    // Two fronts keep several connections and use one of them; the proxied one is in use if it carries more than
    // keep-alives.
    const KEEP_ALIVES_BYTES: usize = 200;
    for attempt in 0..16 {
        let before = proxy.received();
        sleep(seconds(2));
        let received = proxy.received() - before;
        deployment.record.add(format!("{received} bytes in 2 s on the proxied connection"));
        if received > KEEP_ALIVES_BYTES {
            break;
        }
        proxy.close_all();
        sleep(Duration::from_millis(1_000 + 70 * attempt));
    }
    if trouble {
        let closed = proxy.close_all();
        deployment.record.add(format!("{closed} connections of {} are closed", last.name));
    }
    const JOBS: u64 = 6;
    for job in 0..JOBS {
        let id = format!("3a17{job:012x}");
        deployment.submit(&leader, "nightly", &id, "run 500", vec![step(8)])?;
    }
    deployment.cancel(&leader, "usual", cancelled);
    // Later than `visible_ms` and 2 s after the last confirmation, and than `contactMs` after the disruption.
    sleep(seconds(8));
    let mut held = true;
    for _ in 0..8 {
        for front in [&leader, &other, &last] {
            let waiting = deployment.waiting(front, "nightly");
            held &= waiting.is_none_or(|waiting| waiting * 2 >= JOBS);
        }
        sleep(seconds(2));
    }
    for front in [&leader, &last] {
        deployment.state(front, "usual", cancelled);
    }
    let leaders = deployment.store.writes_of("lead", "leader");
    deployment.record.add(format!("changes of the leadership: {leaders}"));
    let begun = deployment.record.started_since("3a17", 0);
    deployment.record.add(format!("waiting jobs that have begun: {begun}"));
    if begun > 0 {
        return Err("the jobs did not wait".to_owned());
    }
    Ok(held)
}

/// TWICE: a front shows a job as done before that is stored, and its task runs again.
fn early(deployment: &mut Deployment, trouble: bool) -> Outcome {
    start_fronts(deployment, 3)?;
    let mut runners = Vec::new();
    for _ in 0..3 {
        let side = deployment.add_side();
        deployment.start(&side)?;
        let settings = deployment.runner_settings(&side, "a");
        runners.push(deployment.start_runner(settings, 0)?);
    }
    let sides = deployment.sides.clone();
    let fronts = deployment.fronts.clone();
    deployment.wait_working(&fronts[0], None)?;
    sleep(seconds(4));
    // The last to start is a front that does not lead.
    let leader = deployment.leader()?;
    let rolled = fronts.iter().find(|front| front.name != leader).ok_or("no follower")?.clone();
    let job = "ea51000000000001";
    let step = vec![("count", number(1)), ("cpu", number(1_000)), ("estMs", number(2_000))];
    deployment.submit(&rolled, "usual", job, "run 2000", vec![step])?;
    sleep(seconds(1));
    let used = runners.iter().position(|runner| runner.is_running(job)).ok_or("no run")?;
    if trouble {
        deployment.store.set_down(true);
        deployment.record.add("the store is down");
    }
    sleep(Duration::from_millis(1_300));
    deployment.kill(&rolled);
    deployment.start(&rolled)?;
    let mut shown_ms = None;
    for _ in 0..20 {
        if deployment.state(&rolled, "usual", job) == "done" {
            shown_ms = Some(deployment.record.now_ms());
            break;
        }
        sleep(Duration::from_millis(100));
    }
    // All machines lose power.
    for machine in fronts.iter().chain(&sides) {
        deployment.kill(machine);
    }
    for runner in &runners {
        runner.crash();
    }
    sleep(Duration::from_millis(1_500));
    if trouble {
        deployment.store.set_down(false);
        deployment.record.add("the store is up");
    }
    // The machine that ran the job is gone for good.
    for machine in &fronts {
        deployment.start(machine)?;
    }
    for (index, runner) in runners.iter().enumerate().filter(|(index, _)| *index != used) {
        deployment.start(&sides[index])?;
        runner.begin_life(0);
    }
    let back_ms = deployment.record.now_ms();
    for front in &fronts {
        deployment.wait_ready(front)?;
    }
    for pause in [seconds(1), seconds(17), seconds(3)] {
        sleep(pause);
        for front in &fronts {
            deployment.state(front, "usual", job);
        }
    }
    let Some(shown_ms) = shown_ms else {
        deployment.record.add("the job was not shown as done before the machines lost power");
        return Ok(true);
    };
    // By a machine in touch: its process has run for `contactMs`, and the store has been up as long.
    let from_ms = (shown_ms + 1_000).max(back_ms + CONTACT_MS);
    let again = deployment.record.started_since(job, from_ms);
    deployment.record.add(format!(
        "starts by a machine in touch, over a second after the job was shown as done: {again}"
    ));
    Ok(again == 0)
}

fn left(deployment: &mut Deployment, trouble: bool) -> Outcome {
    start_fronts(deployment, 3)?;
    let mut runners = Vec::new();
    for number in 0..SIDES {
        let side = deployment.add_side();
        deployment.start(&side)?;
        let settings =
            deployment.runner_settings(&side, if number + 1 == SIDES { "b" } else { "a" });
        runners.push(deployment.start_runner(settings, 0)?);
    }
    let fronts = deployment.fronts.clone();
    deployment.wait_working(&fronts[0], Some("b"))?;
    let runner = &runners[SIDES - 1];
    runner.drain();
    sleep(seconds(2));
    if trouble {
        deployment.record.add("its last report is sent, and held up");
        // It ends without a confirmation, "some seconds later".
        sleep(Duration::from_millis(1_500));
    } else {
        runner.report_leaving();
    }
    runner.crash();
    sleep(seconds(1));
    runner.begin_life(0);
    sleep(Duration::from_millis(1_500));
    if trouble {
        runner.report_leaving();
    }
    sleep(seconds(5));
    let job = "1ef7000000000001";
    let since_ms = deployment.record.now_ms();
    let step = vec![
        ("count", number(1)),
        ("cpu", number(1_000)),
        ("gpu", number(1)),
        ("estMs", number(1_000)),
        ("requires", text("b")),
    ];
    deployment.submit(&fronts[0], "usual", job, "run 1000", vec![step])?;
    deployment.record.add("end of the traffic");
    let needs = [Need { jobs: job, room: [1_000, 0, 1] }];
    let held = is_kept(deployment, &runners, &needs, (job, Some("b")));
    let started = deployment.record.started_since(job, since_ms);
    deployment.record.add(format!("starts of the job: {started}"));
    Ok(held)
}

/// LOST: tasks that last wait for up to 15 s beside an idle runner, because such tasks failed on it.
fn rests(deployment: &mut Deployment, trouble: bool) -> Outcome {
    start_fronts(deployment, 3)?;
    let mut runners = Vec::new();
    for _ in 0..2 {
        let side = deployment.add_side();
        deployment.start(&side)?;
        let settings = deployment.runner_settings(&side, "a");
        runners.push(deployment.start_runner(settings, 0)?);
    }
    let fronts = deployment.fronts.clone();
    deployment.wait_working(&fronts[0], None)?;
    let jobs = ["1a57000000000001", "1a57000000000002", "1a57000000000003"];
    for job in jobs {
        let step = vec![
            ("count", number(1)),
            ("cpu", number(2_000)),
            ("gpu", number(1)),
            ("longRunning", Json::Bool(true)),
        ];
        deployment.submit(&fronts[0], "usual", job, "last", vec![step])?;
    }
    sleep(seconds(4));
    let runs = |job: &str| runners.iter().any(|runner| runner.is_running(job));
    let mut longest = Duration::ZERO;
    // Each task fails now and then; never two at the same time.
    let end = Instant::now() + seconds(80);
    let mut next = jobs.iter().cycle();
    while Instant::now() < end {
        let job = next.next().ok_or("no job")?;
        if trouble {
            for runner in &runners {
                runner.fail(job);
            }
        }
        let failed = Instant::now();
        sleep(Duration::from_millis(100));
        while !runs(job) && failed.elapsed() < seconds(20) {
            sleep(Duration::from_millis(50));
        }
        longest = longest.max(failed.elapsed());
        deployment.record.add(format!("job {job} was down for {:?}", failed.elapsed()));
        sleep(seconds(3));
    }
    // From 6 s after its last run, 3 s.
    deployment.record.add(format!("longest time without a run: {longest:?}"));
    Ok(longest < seconds(9))
}

/// LOST: a runner leaves while the leader is frozen; its task does not start elsewhere for 15 s.
fn gone(deployment: &mut Deployment, trouble: bool) -> Outcome {
    start_fronts(deployment, 3)?;
    let mut runners = Vec::new();
    for _ in 0..3 {
        let side = deployment.add_side();
        deployment.start(&side)?;
        let settings = deployment.runner_settings(&side, "a");
        runners.push(deployment.start_runner(settings, 0)?);
    }
    let fronts = deployment.fronts.clone();
    deployment.wait_working(&fronts[0], None)?;
    let job = "90e0000000000001";
    let step = vec![
        ("count", number(1)),
        ("cpu", number(2_000)),
        ("gpu", number(1)),
        ("longRunning", Json::Bool(true)),
    ];
    deployment.submit(&fronts[0], "usual", job, "last", vec![step])?;
    sleep(seconds(5));
    let leader = deployment.leader()?;
    let leader = fronts.iter().find(|front| front.name == leader).ok_or("no leader")?;
    let leaving = runners.iter().find(|runner| runner.is_running(job)).ok_or("no run")?.clone();
    leaving.drain();
    sleep(seconds(3));
    if trouble {
        deployment.signal(leader, "STOP")?;
        sleep(Duration::from_millis(700));
    }
    leaving.leave();
    let left = Instant::now();
    if trouble {
        sleep(Duration::from_millis(2_800));
        deployment.signal(leader, "CONT")?;
    }
    let limit = seconds(30);
    while !runners.iter().any(|runner| runner.is_running(job)) && left.elapsed() < limit {
        sleep(Duration::from_millis(50));
    }
    deployment.record.add(format!("the task was down for {:?}", left.elapsed()));
    sleep(seconds(2));
    // 3 s, and 4 s before them, at which the leader has been calm for `contactMs` of 3 s, counted from the end of the freeze
    // 2.8 s after the runner left.
    Ok(left.elapsed() - seconds(2) < seconds(13))
}

/// LOST: a machine is gone for good, and each change of the leader begins the wait for it anew.
fn waits(deployment: &mut Deployment, trouble: bool) -> Outcome {
    start_fronts(deployment, 3)?;
    let mut runners = Vec::new();
    for _ in 0..3 {
        let side = deployment.add_side();
        deployment.start(&side)?;
        let settings = deployment.runner_settings(&side, "a");
        runners.push(deployment.start_runner(settings, 0)?);
    }
    let fronts = deployment.fronts.clone();
    deployment.wait_working(&fronts[0], None)?;
    let job = "3a1d000000000001";
    let step = vec![
        ("count", number(1)),
        ("cpu", number(2_000)),
        ("gpu", number(1)),
        ("longRunning", Json::Bool(true)),
    ];
    deployment.submit(&fronts[0], "usual", job, "last", vec![step])?;
    sleep(seconds(5));
    let lost = runners.iter().position(|runner| runner.is_running(job)).ok_or("no run")?;
    let side = deployment.sides[lost].clone();
    deployment.kill(&side);
    runners[lost].crash();
    let began = Instant::now();
    let mut kills = [6, 18, 30].into_iter().filter(|_| trouble).peekable();
    while !runners.iter().any(|runner| runner.is_running(job)) && began.elapsed() < seconds(70) {
        if kills.next_if(|at| began.elapsed() >= seconds(*at)).is_some() {
            let leader = deployment.leader()?;
            let leader = fronts.iter().find(|front| front.name == leader).ok_or("no leader")?;
            deployment.kill(leader);
            sleep(Duration::from_millis(500));
            deployment.start(leader)?;
        }
        sleep(Duration::from_millis(50));
    }
    deployment.record.add(format!("the task was down for {:?}", began.elapsed()));
    // 9.5 s of lease, and 3 s beyond the 10 s that are calm after the loss.
    Ok(began.elapsed() < seconds(13))
}
