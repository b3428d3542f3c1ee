//! Checks of the promises while processes or the platform of a local deployment fail.

use std::time::{Duration, Instant};

use serde_json::json;

use super::check::{STEP_LIMIT, running_tasks, submit};
use super::deployment::{Deployment, Result, block_on};

/// Time for which the table is down with `--platform-faults`.
const OUTAGE: Duration = Duration::from_secs(10);

/// Takes the table down while a job runs: requests must be answered, a submission must be refused as not run, and the
/// running job must succeed.
pub(super) fn table_down(deployment: &Deployment) -> Result<String> {
    let job = submit(
        deployment,
        &["--organisation", "fraser", "--kind", "cure-run", "--run-ms", "15000"],
    )?;
    deployment
        .wait_until("the job runs", STEP_LIMIT, |d| Ok(!running_tasks(d, &job)?.is_empty()))?;
    deployment.set_faults(&json!({"table_down": true}))?;
    let outage_end = Instant::now() + OUTAGE;
    let refused = deployment.command(&[
        "job",
        "submit",
        "--organisation",
        "fraser",
        "--kind",
        "cure-run",
        "--run-ms",
        "1",
    ]);
    let mut answered = 0;
    while Instant::now() < outage_end {
        let request = [
            "request",
            "--organisation",
            "fraser",
            "--kind",
            "fit-check",
            "--body",
            "during the outage",
        ];
        deployment.command_ok(&request)?;
        answered += 1;
    }
    deployment.set_faults(&json!({}))?;
    let (code, text) = refused?;
    if code != 1 {
        return Err(format!("a submission during the outage exited with {code}: {text}"));
    }
    let (code, text) = deployment.command(&["job", "wait", &job, "--timeout-ms", "60000"])?;
    if code != 0 {
        return Err(format!(
            "job wait for the job that ran during the outage exited with {code}: {text}"
        ));
    }
    Ok(format!(
        "{answered} requests answered, submission refused as not run, running job succeeded"
    ))
}

/// Group whose leader is killed and paused.
const GROUP: &str = "surrey-1.0";
/// Pause of the leader. It is longer than the leader's lease of 3 s.
const PAUSE: Duration = Duration::from_secs(6);

/// Returns the process that leads a group and its epoch.
fn find_leader(deployment: &Deployment, group: &str) -> Result<Option<(String, u64)>> {
    for name in deployment.names("agent-").iter().filter(|name| name.contains("-w")) {
        let leader = deployment.dump(name)?["worker"]["leader"].clone();
        if leader["config"]["group"] == group {
            return Ok(Some((name.clone(), leader["epoch"].as_u64().unwrap_or_default())));
        }
    }
    Ok(None)
}

/// Waits for a leader whose epoch is later than the given one; returns its process and the time that it took.
fn wait_for_leader(deployment: &Deployment, after_epoch: u64) -> Result<(String, Duration)> {
    let is_newer = |leader: &Option<(String, u64)>| {
        leader.as_ref().is_some_and(|(_, epoch)| *epoch > after_epoch)
    };
    let waited =
        deployment.wait_until("group has a leader with a later epoch", STEP_LIMIT, |d| {
            Ok(is_newer(&find_leader(d, GROUP)?))
        })?;
    let leader = find_leader(deployment, GROUP)?.ok_or("the new leader was lost again")?;
    Ok((leader.0, waited))
}

/// Submits a job whose guarantee only the group can serve, and waits for its success.
fn run_in_group(deployment: &Deployment, repeat: &[&str]) -> Result<String> {
    let job = [
        "--organisation",
        "marine-seals",
        "--kind",
        "cure-run",
        "--tasks",
        "2",
        "--accelerators",
        "8",
    ];
    let job = submit(
        deployment,
        &[&job[..], &["--adjacency", "rack", "--run-ms", "1000"], repeat].concat(),
    )?;
    let (code, text) = deployment.command(&["job", "wait", &job, "--timeout-ms", "60000"])?;
    if code == 0 { Ok(job) } else { Err(format!("job wait {job} exited with {code}: {text}")) }
}

/// Fails unless exactly two tasks of a job of two tasks succeeded; more would mean that a task ran twice.
fn expect_two_successes(deployment: &Deployment, job: &str) -> Result<()> {
    let records = deployment.platform_json("/record/tasks")?;
    let records = records.as_array().cloned().unwrap_or_default();
    let succeeded = records.iter().filter(|record| {
        let task = record["report"]["task"].as_str().unwrap_or_default();
        task.starts_with(job) && record["report"]["state"] == "succeeded"
    });
    match succeeded.count() {
        2 => Ok(()),
        count => Err(format!("{count} tasks of 2 succeeded")),
    }
}

/// Kills the leader of a group: another must take over and run a job exactly once.
pub(super) fn kill_leader(deployment: &mut Deployment) -> Result<String> {
    let (leader, epoch) = find_leader(deployment, GROUP)?.ok_or("the group has no leader")?;
    deployment.kill(&leader)?;
    let (successor, waited) = wait_for_leader(deployment, epoch)?;
    let job = run_in_group(deployment, &["--never-repeat"])?;
    expect_two_successes(deployment, &job)?;
    deployment.start_process(&leader)?;
    Ok(format!("{successor} took over after {waited:.1?}, and a job that may run once succeeded"))
}

/// Pauses the leader of a group past its lease: another must take over and run a job exactly once.
pub(super) fn pause_leader(deployment: &mut Deployment) -> Result<String> {
    let (leader, epoch) = find_leader(deployment, GROUP)?.ok_or("the group has no leader")?;
    deployment.pause(&leader, true)?;
    std::thread::sleep(PAUSE);
    deployment.pause(&leader, false)?;
    let (successor, _) = wait_for_leader(deployment, epoch)?;
    let job = run_in_group(deployment, &["--never-repeat"])?;
    expect_two_successes(deployment, &job)?;
    Ok(format!("{successor} leads, and a job that may run once succeeded"))
}

/// Terminates an entry while requests are in flight: each must still be answered.
pub(super) fn end_entry(deployment: &mut Deployment) -> Result<String> {
    let (name, requests) = ("entry-3", 16);
    let address = deployment.address(name).ok_or("entry-3 has no address")?;
    let answers = std::thread::scope(|scope| -> Result<Vec<Result<u16>>> {
        let threads: Vec<_> =
            (0..requests).map(|n| scope.spawn(move || slow_request(address, n))).collect();
        std::thread::sleep(Duration::from_millis(700));
        deployment.terminate(name, STEP_LIMIT)?;
        Ok(threads.into_iter().map(|t| t.join().unwrap_or(Err("panicked".to_owned()))).collect())
    })?;
    deployment.start_process(name)?;
    match answers.iter().find(|answer| **answer != Ok(200)) {
        Some(answer) => Err(format!("a request in flight ended with {answer:?}")),
        None => Ok(format!("{requests} requests in flight were answered")),
    }
}

/// Sends a request whose body the endpoint takes over a second to answer.
fn slow_request(entry: std::net::SocketAddr, number: usize) -> Result<u16> {
    let url = format!(
        "http://{entry}/v1/requests?organisation=fraser&kind=press-review&deadline_ms=20000"
    );
    block_on(async move {
        let answer =
            reqwest::Client::new().post(url).body(format!("work_ms=1500;{number}")).send().await;
        answer.map(|answer| answer.status().as_u16()).map_err(|error| error.to_string())
    })
}
