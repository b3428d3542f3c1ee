//! The promises of a local deployment whose processes and platform fail.

use std::time::{Duration, Instant};

use serde_json::json;

use super::check::{STEP_LIMIT, running_tasks, submit};
use super::deployment::{Deployment, Result, block_on};

/// How long the table stays down with `--platform-faults`.
const OUTAGE: Duration = Duration::from_secs(10);
pub(super) fn table_down(deployment: &Deployment) -> Result<String> {
    let job = submit(
        deployment,
        &["--organisation", "fraser", "--kind", "cure-run", "--run-ms", "15000"],
    )?;
    deployment
        .wait_until("the job runs", STEP_LIMIT, |d| Ok(!running_tasks(d, &job)?.is_empty()))?;
    deployment.set_faults(&json!({"table_down": true}))?;
    let end = Instant::now() + OUTAGE;
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
    while Instant::now() < end {
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
        return Err(format!("the job that ran during the outage: {code} {text}"));
    }
    Ok(format!(
        "{answered} requests answered, submission refused as not run, running job succeeded"
    ))
}

/// The group whose leader is killed and paused.
const GROUP: &str = "surrey-1.0";
/// A pause that is longer than the leader's lease of 3 s.
const PAUSE: Duration = Duration::from_secs(6);

fn leader_of(deployment: &Deployment, group: &str) -> Result<Option<(String, u64)>> {
    for name in deployment.names("agent-").iter().filter(|name| name.contains("-w")) {
        let leader = deployment.dump(name)?["worker"]["leader"].clone();
        if leader["config"]["group"] == group {
            return Ok(Some((name.clone(), leader["epoch"].as_u64().unwrap_or_default())));
        }
    }
    Ok(None)
}

fn wait_for_leader(deployment: &Deployment, after_epoch: u64) -> Result<(String, Duration)> {
    let leads = |found: &Option<(String, u64)>| {
        found.as_ref().is_some_and(|(_, epoch)| *epoch > after_epoch)
    };
    let waited = deployment
        .wait_until("another leader", STEP_LIMIT, |d| Ok(leads(&leader_of(d, GROUP)?)))?;
    let leader = leader_of(deployment, GROUP)?.ok_or("the leader is gone again")?;
    Ok((leader.0, waited))
}

/// Submits a job that only the group guarantees, and waits for its success.
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

/// Fails if two tasks of the same index of a job ever ran to success.
fn succeeded_once(deployment: &Deployment, job: &str) -> Result<()> {
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

pub(super) fn kill_leader(deployment: &mut Deployment) -> Result<String> {
    let (leader, epoch) = leader_of(deployment, GROUP)?.ok_or("the group has no leader")?;
    deployment.kill(&leader)?;
    let (successor, waited) = wait_for_leader(deployment, epoch)?;
    let job = run_in_group(deployment, &["--never-repeat"])?;
    succeeded_once(deployment, &job)?;
    deployment.start_process(&leader)?;
    Ok(format!("{successor} took over after {waited:.1?}, and a job that may run once succeeded"))
}

pub(super) fn pause_leader(deployment: &mut Deployment) -> Result<String> {
    let (leader, epoch) = leader_of(deployment, GROUP)?.ok_or("the group has no leader")?;
    deployment.pause(&leader, true)?;
    std::thread::sleep(PAUSE);
    deployment.pause(&leader, false)?;
    let (successor, _) = wait_for_leader(deployment, epoch)?;
    let job = run_in_group(deployment, &["--never-repeat"])?;
    succeeded_once(deployment, &job)?;
    Ok(format!("{successor} leads, and a job that may run once succeeded"))
}

pub(super) fn end_entry(deployment: &mut Deployment) -> Result<String> {
    let (name, requests) = ("entry-3", 16);
    let address = deployment.address(name).ok_or("no address")?;
    let answers = std::thread::scope(|scope| -> Result<Vec<Result<u16>>> {
        let threads: Vec<_> =
            (0..requests).map(|n| scope.spawn(move || slow_request(address, n))).collect();
        std::thread::sleep(Duration::from_millis(700));
        deployment.terminate(name, STEP_LIMIT)?;
        Ok(threads.into_iter().map(|t| t.join().unwrap_or(Err("panicked".to_owned()))).collect())
    })?;
    deployment.start_process(name)?;
    match answers.iter().find(|answer| **answer != Ok(200)) {
        Some(answer) => Err(format!("{answer:?}")),
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
