//! The cases. Each returns how the rule was broken, or `None` if it held.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, TENANTS};
use crate::record::Record;
use crate::runner::Runner;

pub type Outcome = Result<Option<String>, String>;

/// Duration of a freeze in the site file.
const SUSPENSION: Duration = Duration::from_secs(4);
/// Time for which a killed process is down in the site file.
const DOWN: Duration = Duration::from_millis(3_500);

/// Time for which requesters wait.
const PATIENCE: Duration = Duration::from_secs(3);
/// Time after which a task of a cancelled job must not start, `cancel_ms`.
const CANCEL: Duration = Duration::from_secs(3);
/// Time after a disturbance from which on calm machines are in touch, `contactMs`.
const CONTACT: Duration = Duration::from_secs(3);
/// Delay of an order that is carried out late; `fleetbench kinds` names 2 to 12 s.
const LATE: Duration = Duration::from_secs(8);
/// Time until a runner that has started again reports itself; reports come every 1.5 s.
const SILENCE: Duration = Duration::from_secs(1);
/// Time after which the notice of the end of a runner arrives.
const NOTICE_DELAY: Duration = Duration::from_secs(8);
/// Time for which connections are refused; the time of `srv_cut` that `fleetbench kinds` names.
const REFUSAL: Duration = Duration::from_secs(5);
const ID: &str = "5c0e7a21d94b36f8";
/// A job of one task that runs for 40 s.
const JOB: &str =
    r#"{"spec":"40000","steps":[{"count":1,"cpu":13000,"memMb":68000,"gpu":8,"estMs":40000}]}"#;

/// Returns the name of the task of [`JOB`].
fn task() -> String {
    format!("{ID}.0.0.0")
}

/// Starts a deployment with the queues of some tenants, and lets it settle.
fn started(root: &Path, record: &Record, tenants: usize) -> Result<Deployment, String> {
    let deployment = Deployment::start(root, record, &TENANTS[..tenants]);
    if !deployment.wait_until_ready() {
        return Err("the fronts are not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(3));
    Ok(deployment)
}

fn until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Waits until a task runs. Returns the index of its runner.
fn wait_for_start(deployment: &Deployment, task: &str) -> Option<usize> {
    let limit = Instant::now() + Duration::from_secs(5);
    while Instant::now() < limit {
        let found = deployment.runners.iter().position(|runner| runner.runs(task));
        if found.is_some() {
            return found;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    None
}

/// Returns for how long a task ran on two runners at the same time, both of which were up and awake, and their names.
fn watch_overlap(
    runners: &[Runner],
    task: &str,
    time: Duration,
) -> Option<(Duration, Vec<String>)> {
    let until = Instant::now() + time;
    let mut overlap: Option<(Instant, Duration, Vec<String>)> = None;
    while Instant::now() < until {
        let awake = runners.iter().filter(|runner| !runner.is_suspended() && runner.runs(task));
        let names: Vec<String> = awake.map(|runner| runner.name.clone()).collect();
        if names.len() > 1 {
            let since = overlap.as_ref().map_or_else(Instant::now, |(since, ..)| *since);
            overlap = Some((since, since.elapsed(), names));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    overlap.map(|(_, overlap, names)| (overlap, names))
}

/// A machine is suspended for some seconds with its runner, whose steady clock does not count them, and its process of the
/// system is then killed twice. The lease of the runner ends that much later than the leader expects.
pub fn suspended(root: &Path, record: &Record, is_disrupted: bool) -> Outcome {
    let (has_kills, has_suspension) = match std::env::var("ONLY").as_deref() {
        Ok("kills") => (is_disrupted, false),
        Ok("suspension") => (false, is_disrupted),
        _ => (is_disrupted, is_disrupted),
    };
    let mut deployment = started(root, record, 1)?;
    let submitted = deployment.request(0, &TENANTS[0], ("POST", ID), JOB, PATIENCE);
    if submitted.map(|(status, _)| status) != Some(200) {
        return Err("the job was not accepted".to_owned());
    }
    let task = task();
    let Some(first) = wait_for_start(&deployment, &task) else {
        return Err("the task did not start".to_owned());
    };
    std::thread::sleep(Duration::from_secs(3));
    let runner = deployment.runners[first].clone();
    let began = Instant::now();
    if has_suspension {
        record.line(&format!("machine of runner {} is suspended with its runner", runner.name));
        runner.suspend();
        deployment.sides[first].signal("STOP");
    }
    until(began + SUSPENSION);
    if has_kills {
        record.line("the process of the system on that machine is killed");
        deployment.sides[first].kill();
    } else {
        deployment.sides[first].signal("CONT");
    }
    if has_suspension {
        runner.resume();
        record.line("the machine is awake again");
    }
    let watched = std::thread::spawn({
        let (runners, task) = (deployment.runners.clone(), task.clone());
        move || watch_overlap(&runners, &task, Duration::from_secs(14))
    });
    if has_kills {
        until(began + SUSPENSION + DOWN);
        record.line("the process is started, and killed again at once");
        deployment.sides[first].start();
        std::thread::sleep(Duration::from_millis(100));
        deployment.sides[first].kill();
        until(began + SUSPENSION + DOWN * 2);
        record.line("the process is started");
        deployment.sides[first].start();
    }
    let overlap = watched.join().map_err(|_| "the observer failed".to_owned())?;
    deployment.request(1, &TENANTS[0], ("GET", ID), "", PATIENCE);
    Ok(overlap.map(|(overlap, runners)| overlap_text(&task, overlap, &runners)))
}

/// The answer to the write of a submission is lost, and the write is done some seconds later. Meanwhile the requester leaves
/// and cancels the job. All runners are busy until the store has been without disturbance for longer than `contactMs`, so that
/// all machines are in touch when the job starts.
pub fn cancelled_in_doubt(root: &Path, record: &Record, is_disrupted: bool) -> Outcome {
    let deployment = started(root, record, 1)?;
    let busy = JOB.replace("40000", "16000").replace("\"count\":1", "\"count\":11");
    let busy_id = "1b0e7a21d94b36f7";
    deployment.request(0, &TENANTS[0], ("POST", busy_id), &busy, PATIENCE);
    for index in 0..11 {
        if wait_for_start(&deployment, &format!("{busy_id}.0.0.{index}")).is_none() {
            return Err("the runners are not busy".to_owned());
        }
    }
    std::thread::sleep(CONTACT);
    if is_disrupted {
        record.line("the store loses answers for 1 s; what is lost is done 5 s later");
        deployment.store.lose_answers(Duration::from_secs(1), Duration::from_secs(5));
    }
    let leaves_after = Duration::from_millis(150);
    deployment.request(0, &TENANTS[0], ("POST", ID), JOB, leaves_after);
    let cancelled = deployment.request(1, &TENANTS[0], ("DELETE", ID), "", PATIENCE);
    let acknowledged = Instant::now();
    let status = cancelled.map(|(status, _)| status);
    if !status.is_some_and(|status| status == 410 || (200..300).contains(&status)) {
        return Err(format!("the cancelling was answered with {status:?}"));
    }
    std::thread::sleep(Duration::from_secs(18));
    deployment.request(2, &TENANTS[0], ("GET", ID), "", PATIENCE);
    let calm_since = match (is_disrupted, deployment.store.calm_since()) {
        (true, None) => return Err("no write was lost".to_owned()),
        (_, calm_since) => calm_since.unwrap_or(acknowledged),
    };
    // Before that the rule does not hold: it has a time bound, and the store was not stable.
    let bound = (acknowledged + CANCEL).max(calm_since + CONTACT);
    let starts = deployment.runners.iter();
    let first = starts.filter_map(|runner| runner.first_start_after(&task(), bound)).min();
    Ok(first.map(|at| {
        let (ms, calm_ms) = ((at - acknowledged).as_millis(), (at - calm_since).as_millis());
        format!(
            "UNASKED: task {} started {ms} ms after the cancelling was answered with {status:?}, and {calm_ms} ms after the last disturbance",
            task()
        )
    }))
}

/// Two tenants with queues on services of their own number their jobs alike.
pub fn equal_ids(root: &Path, record: &Record, is_disrupted: bool) -> Outcome {
    let deployment = started(root, record, 2)?;
    let ids =
        ["0000000000000001", if is_disrupted { "0000000000000001" } else { "0000000000000002" }];
    let [first, second] = &TENANTS;
    let submitted = deployment.request(0, first, ("POST", ids[0]), JOB, PATIENCE);
    if submitted.map(|(status, _)| status) != Some(200) {
        return Err("the job of the first tenant was not accepted".to_owned());
    }
    std::thread::sleep(Duration::from_secs(2));
    deployment.request(1, second, ("GET", ids[1]), "", PATIENCE);
    deployment.request(1, second, ("POST", ids[1]), &JOB.replace("40000", "30000"), PATIENCE);
    deployment.request(1, second, ("DELETE", ids[1]), "", PATIENCE);
    std::thread::sleep(Duration::from_secs(2));
    let shown = deployment.request(0, first, ("GET", ids[0]), "", PATIENCE);
    let state = shown.map(|(_, body)| body.get("state").text().to_owned());
    Ok((state.as_deref() == Some("canceled")).then(|| {
        "LOST: the job of the first tenant is shown as canceled, and only the second tenant has cancelled a job".to_owned()
    }))
}

/// An order to start a task gets no answer, and its repetition is answered. The runner lists the run, crashes and starts again
/// under its identifier. Then the first order is carried out late.
pub fn late_start(root: &Path, record: &Record, is_disrupted: bool) -> Outcome {
    let (has_late_start, has_crash) = match std::env::var("ONLY").as_deref() {
        Ok("late") => (is_disrupted, false),
        Ok("crash") => (false, is_disrupted),
        _ => (is_disrupted, is_disrupted),
    };
    let deployment = started(root, record, 1)?;
    let submit = |id: &str, job: &str| {
        let answer = deployment.request(0, &TENANTS[0], ("POST", id), job, PATIENCE);
        match answer {
            Some((200, _)) => Ok(()),
            _ => Err(format!("job {id} was not accepted")),
        }
    };
    // It takes a worker for a while, so that another one has room when the task has to start again.
    let other = "1b0e7a21d94b36f7";
    submit(other, JOB)?;
    if wait_for_start(&deployment, &format!("{other}.0.0.0")).is_none() {
        return Err("the first job did not start".to_owned());
    }
    let task = task();
    if has_late_start {
        for runner in &deployment.runners {
            runner.delay_start(Some((&task, LATE)));
        }
    }
    let ordered = Instant::now();
    submit(ID, JOB)?;
    submit("2c0e7a21d94b36f7", &small_tasks(30))?;
    let Some(first) = wait_for_start(&deployment, &task) else {
        return Err("the task did not start".to_owned());
    };
    // One order is late, no more.
    deployment.runners.iter().for_each(|runner| runner.delay_start(None));
    std::thread::sleep(Duration::from_secs(2));
    deployment.request(1, &TENANTS[0], ("DELETE", other), "", PATIENCE);
    std::thread::sleep(Duration::from_secs(1));
    if has_crash {
        deployment.runners[first].crash(Duration::ZERO);
    }
    let watched = LATE + Duration::from_secs(4);
    let overlap =
        watch_overlap(&deployment.runners, &task, watched.saturating_sub(ordered.elapsed()));
    deployment.request(1, &TENANTS[0], ("GET", ID), "", PATIENCE);
    Ok(overlap.map(|(overlap, runners)| overlap_text(&task, overlap, &runners)))
}

/// Returns a job of many small tasks.
fn small_tasks(count: usize) -> String {
    format!(r#"{{"spec":"2000","steps":[{{"count":{count},"cpu":100,"memMb":100,"estMs":2000}}]}}"#)
}

fn overlap_text(task: &str, overlap: Duration, runners: &[String]) -> String {
    let (ms, runners) = (overlap.as_millis(), runners.join(" and "));
    format!("TWICE: task {task} ran for {ms} ms at the same time on the runners {runners}")
}

/// A runner crashes after ends of its runs were acknowledged, and starts again under its identifier.
pub fn stale_acknowledgement(root: &Path, record: &Record, is_disrupted: bool) -> Outcome {
    let deployment = started(root, record, 1)?;
    deployment.request(0, &TENANTS[0], ("POST", "2c0e7a21d94b36f7"), &small_tasks(40), PATIENCE);
    std::thread::sleep(Duration::from_secs(6));
    let Some(runner) = deployment.runners.iter().max_by_key(|runner| runner.acked()) else {
        return Err("there is no runner".to_owned());
    };
    record.line(&format!("runner {}: ends up to {} are acknowledged", runner.name, runner.acked()));
    if is_disrupted {
        runner.crash(SILENCE);
    }
    std::thread::sleep(Duration::from_secs(4));
    record.line(&format!("runner {}: ends up to {} are acknowledged", runner.name, runner.acked()));
    deployment.request(0, &TENANTS[0], ("POST", ID), &small_tasks(4), PATIENCE);
    std::thread::sleep(Duration::from_secs(12));
    deployment.request(1, &TENANTS[0], ("GET", ID), "", PATIENCE);
    let repeated = record.repeated();
    Ok((!repeated.is_empty()).then(|| {
        let (starts, first) = (repeated.len(), &repeated[0]);
        format!("TWICE: {starts} starts of tasks whose end done was taken note of, first {first}")
    }))
}

/// A runner drains and leaves, and starts again under its identifier. The notice of its end arrives late, while a firewall
/// refuses the calls of its side.
pub fn late_notice(root: &Path, record: &Record, is_disrupted: bool) -> Outcome {
    let (is_late, is_refused) = match std::env::var("ONLY").as_deref() {
        Ok("late") => (is_disrupted, false),
        Ok("refused") => (false, is_disrupted),
        _ => (is_disrupted, is_disrupted),
    };
    let deployment = started(root, record, 1)?;
    // The first worker in the order of placement is the one that a job of its own finds.
    let first = {
        deployment.request(0, &TENANTS[0], ("POST", "2c0e7a21d94b36f7"), &small_tasks(1), PATIENCE);
        wait_for_start(&deployment, "2c0e7a21d94b36f7.0.0.0")
            .ok_or("the first job did not start")?
    };
    let runner = &deployment.runners[first];
    std::thread::sleep(Duration::from_secs(3));
    runner.drain();
    // It goes on for `drainMs` and a little longer.
    std::thread::sleep(Duration::from_millis(2_500));
    let left = Instant::now();
    runner.leave(if is_late { NOTICE_DELAY } else { Duration::ZERO });
    std::thread::sleep(Duration::from_secs(1));
    let submitted = deployment.request(0, &TENANTS[0], ("POST", ID), JOB, PATIENCE);
    if submitted.map(|(status, _)| status) != Some(200) {
        return Err("the job was not accepted".to_owned());
    }
    let task = task();
    if wait_for_start(&deployment, &task) != Some(first) {
        return Err("the task did not start on the runner that has left and come back".to_owned());
    }
    until(left + NOTICE_DELAY - Duration::from_secs(2));
    if is_refused {
        record.line(&format!("the calls of the side to runner {} are refused", runner.name));
        deployment.gates[first].refuse(true);
    }
    let began = Instant::now();
    let overlap = watch_overlap(&deployment.runners, &task, REFUSAL);
    if is_refused {
        record.line("the calls are forwarded again");
        deployment.gates[first].refuse(false);
    }
    let after = watch_overlap(&deployment.runners, &task, Duration::from_secs(6));
    record.line(&format!("observed for {} s", began.elapsed().as_secs()));
    let overlap = overlap.or(after);
    Ok(overlap.map(|(overlap, runners)| overlap_text(&task, overlap, &runners)))
}
