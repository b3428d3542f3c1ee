//! Checks of the promises of docs/design.md on a local deployment, in the order in which they run.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use teaselhall::api::BundleActionRequest;
use teaselhall::bundle::{Digest, Purpose, Signature, SignedBundle};

use super::deployment::{Deployment, Result};
use super::fault;

/// Bound of P9: time within which an accepted bundle is active at every agent beside an endpoint.
const BUNDLE_ACTIVE_LIMIT: Duration = Duration::from_secs(5);
/// Bound of P3: time after the acknowledgement in which tasks may still start in a data centre that was taken out of
/// service.
const START_AFTER_OUT_LIMIT_MS: u64 = 3_000;
/// Bound of P7: time after the start of the drain in which an endpoint may still receive new requests.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Limit for steps that no promise bounds; it is deliberately wide.
pub(super) const STEP_LIMIT: Duration = Duration::from_secs(60);
/// Data centre of the guarantee that is reclaimed.
const RECLAIM_DATA_CENTRE: &str = "surrey-2";
/// Number of running borrowers in that data centre that leave too little room for the guarantee.
const MIN_BORROWERS: usize = 2;
/// Number of threads that send requests.
const SENDER_THREADS: usize = 4;

/// Runs all checks and returns whether every promise held. `faults` adds the check in which the table is down.
pub fn run_all(deployment: &mut Deployment, faults: bool) -> bool {
    let mut report = Report::default();
    report.check(
        "P9 bundle of both partners is active in every data centre within 5 s",
        roll_out(deployment),
    );
    report.check("P9 bundle with one signature is refused", refuse_one_signature(deployment));
    report.check("P4 each request gets the whole answer to itself", answer_requests(deployment));
    report.check("P6 keyed request runs once through two entries", run_keyed_once(deployment));
    report.check("P5 job that fits nowhere is refused as not run", refuse_impossible(deployment));
    report.check("P2 gang runs whole on adjacent accelerators", run_gang(deployment));
    if faults {
        report.check(
            "table down for 10 s: running work continues, a submission is refused as not run",
            fault::table_down(deployment),
        );
    }
    report.check("P1 borrowed cells are reclaimed for the guarantee's owner", reclaim(deployment));
    report.check("P3 no task starts after a data centre was taken out", take_out(deployment));
    report.check(
        "P7, P8 drained endpoint gets no new work and finishes its running requests",
        drain(deployment),
    );
    report.check(
        "leader killed: another leader takes over the group, nothing runs twice",
        fault::kill_leader(deployment),
    );
    report.check(
        "leader paused past its lease: it starts nothing when it resumes",
        fault::pause_leader(deployment),
    );
    report
        .check("P8 terminated entry answers all requests in flight", fault::end_entry(deployment));
    report.check("no worker was ever overcommitted", expect_no_overcommit(deployment));
    report.held
}

/// Prints the result of each check and records whether all promises held.
struct Report {
    held: bool,
}

impl Default for Report {
    fn default() -> Self {
        Self { held: true }
    }
}

impl Report {
    fn check(&mut self, promise: &str, result: Result<String>) {
        match result {
            Ok(measured) => println!("held    {promise}: {measured}"),
            Err(error) => {
                println!("BROKEN  {promise}: {error}");
                self.held = false;
            }
        }
    }
}

/// Returns the request in which a partner signs an action on the deployment's bundle.
fn bundle_action(
    deployment: &Deployment,
    signer: usize,
    purpose: Purpose,
    digest: Digest,
) -> Value {
    let signature = Signature::sign(&deployment.signers[signer], purpose, &digest);
    json!(BundleActionRequest { version: deployment.bundle.version, digest, signature })
}

/// Returns the body of a successful answer, or an error with the step, the status and the body.
fn expect_success(step: &str, (status, body): (u16, Value)) -> Result<Value> {
    if (200..300).contains(&status) { Ok(body) } else { Err(format!("{step}: {status} {body}")) }
}

/// Repeats a call while it is answered with 503, because the deployment may still be starting.
fn retry_while_unavailable<F>(call: F) -> Result<(u16, Value)>
where
    F: Fn() -> Result<(u16, Value)>,
{
    let end = Instant::now() + STEP_LIMIT;
    loop {
        let answer = call()?;
        if answer.0 != 503 || Instant::now() > end {
            return Ok(answer);
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// Returns the bundle with the first partner's signature, and its digest.
fn sign_bundle(deployment: &Deployment) -> Result<(Value, Digest)> {
    let mut signed = SignedBundle { bundle: deployment.bundle.clone(), signatures: Vec::new() };
    signed.sign(&deployment.signers[0]).map_err(|error| error.to_string())?;
    let digest = Digest::of(&deployment.bundle).map_err(|error| error.to_string())?;
    Ok((json!(signed), digest))
}

fn roll_out(deployment: &Deployment) -> Result<String> {
    let (signed, digest) = sign_bundle(deployment)?;
    let proposed = retry_while_unavailable(|| deployment.post(0, "/v1/bundles/propose", &signed))?;
    expect_success("propose", proposed)?;
    let approve = bundle_action(deployment, 1, Purpose::Accept, digest);
    expect_success("approve", deployment.post(1, "/v1/bundles/approve", &approve)?)?;
    let roll_out = bundle_action(deployment, 0, Purpose::RollOut, digest);
    let start = Instant::now();
    expect_success("rollout", deployment.post(2, "/v1/bundles/rollout", &roll_out)?)?;
    let acknowledged = start.elapsed();
    let version = deployment.bundle.version.0;
    let active = deployment.wait_until(
        "bundle is active at all agents beside endpoints",
        BUNDLE_ACTIVE_LIMIT,
        |d| {
            for name in d.names("agent-").iter().filter(|name| name.contains("-e")) {
                if d.dump(name)?["bundle"]["version"] != version {
                    return Ok(false);
                }
            }
            Ok(true)
        },
    )?;
    Ok(format!("acknowledged after {acknowledged:.1?}, active everywhere {active:.1?} later"))
}

fn refuse_one_signature(deployment: &Deployment) -> Result<String> {
    let mut bundle = deployment.bundle.clone();
    bundle.version = bundle.version.next();
    let mut signed = SignedBundle { bundle: bundle.clone(), signatures: Vec::new() };
    signed.sign(&deployment.signers[0]).map_err(|error| error.to_string())?;
    expect_success("propose", deployment.post(0, "/v1/bundles/propose", &json!(signed))?)?;
    let digest = Digest::of(&bundle).map_err(|error| error.to_string())?;
    let signature = Signature::sign(&deployment.signers[0], Purpose::RollOut, &digest);
    let request = json!(BundleActionRequest { version: bundle.version, digest, signature });
    let (status, body) = deployment.post(0, "/v1/bundles/rollout", &request)?;
    if status < 400 {
        return Err(format!("rolled out with one signature: {body}"));
    }
    Ok(body["message"].as_str().unwrap_or_default().to_owned())
}

/// Repeats a request until it is answered, because endpoints may not have announced themselves yet.
fn wait_for_first_answer(deployment: &Deployment) -> Result<()> {
    let send = |d: &Deployment| {
        let request =
            ["request", "--organisation", "fraser", "--kind", "fit-check", "--body", "first"];
        Ok(d.command(&request)?.0 == 0)
    };
    deployment.wait_until("first request is answered", STEP_LIMIT, send).map(|_| ())
}

/// Sends requests from several threads while `meanwhile` runs, and returns the number of requests that were not
/// answered with their own body.
fn count_unanswered<F>(deployment: &Deployment, bodies: &[String], meanwhile: F) -> Result<usize>
where
    F: FnOnce() -> Result<()>,
{
    let count =
        |chunk: &[String]| chunk.iter().filter(|body| !is_answered(deployment, body)).count();
    std::thread::scope(|scope| {
        let chunks = bodies.chunks(bodies.len().div_ceil(SENDER_THREADS));
        let threads: Vec<_> = chunks.map(|chunk| scope.spawn(move || count(chunk))).collect();
        meanwhile()?;
        let counts = threads
            .into_iter()
            .map(|thread| thread.join().map_err(|_| "a sender panicked".to_owned()));
        counts.sum()
    })
}

fn is_answered(deployment: &Deployment, body: &str) -> bool {
    let request = ["request", "--organisation", "fraser", "--kind", "fit-check", "--body", body];
    deployment.command(&request).is_ok_and(|(code, text)| code == 0 && text == body)
}

fn answer_requests(deployment: &Deployment) -> Result<String> {
    wait_for_first_answer(deployment)?;
    let bodies: Vec<String> =
        (0..40).map(|n| format!("drawing {n} {}", "x".repeat(n * 997))).collect();
    let unanswered = count_unanswered(deployment, &bodies, || Ok(()))?;
    if unanswered > 0 {
        return Err(format!(
            "{unanswered} of {} answers were missing or not those of the caller's request",
            bodies.len()
        ));
    }
    Ok(format!("{} answers", bodies.len()))
}

fn count_runs(deployment: &Deployment, body: &str) -> Result<usize> {
    let runs = deployment.platform_json("/record/runs")?;
    let hash = blake3::hash(body.as_bytes()).to_hex().to_string();
    let runs = runs.as_array().cloned().unwrap_or_default();
    Ok(runs.iter().filter(|run| run["body_hash"] == hash.as_str()).count())
}

fn run_keyed_once(deployment: &Deployment) -> Result<String> {
    let body = "scrap ticket 4711";
    let request = [
        "request",
        "--organisation",
        "fraser",
        "--kind",
        "press-review",
        "--never-repeat",
        "--key",
        "4711",
        "--body",
        body,
    ];
    deployment.command_ok(&request)?;
    let entry = format!("http://{}", deployment.entries[1]);
    let (code, text) = deployment.command(&[&request[..], &["--entries", &entry]].concat())?;
    match count_runs(deployment, body)? {
        1 => Ok(format!("1 run; the second call exits with {code}: {}", text.trim())),
        runs => Err(format!("{runs} runs")),
    }
}

fn refuse_impossible(deployment: &Deployment) -> Result<String> {
    let job =
        ["job", "submit", "--organisation", "fraser", "--kind", "cure-run", "--run-ms", "1000"];
    let (code, text) =
        deployment.command(&[&job[..], &["--tasks", "64", "--accelerators", "8"]].concat())?;
    if code == 0 { Err(format!("accepted: {text}")) } else { Ok(text.trim().to_owned()) }
}

pub(super) fn submit(deployment: &Deployment, arguments: &[&str]) -> Result<String> {
    let job = deployment.command_json(&[&["job", "submit"][..], arguments].concat())?;
    let id = job["spec"]["id"].as_str();
    id.map(str::to_owned).ok_or_else(|| format!("no job id in {job}"))
}

pub(super) fn running_tasks(deployment: &Deployment, job: &str) -> Result<Vec<Value>> {
    let records = deployment.platform_json("/record/tasks")?;
    let of_job = |record: &Value| {
        let task = record["report"]["task"].as_str().unwrap_or_default();
        task.starts_with(job) && record["report"]["state"] == "running"
    };
    Ok(records.as_array().cloned().unwrap_or_default().into_iter().filter(of_job).collect())
}

fn run_gang(deployment: &Deployment) -> Result<String> {
    let job = submit(
        deployment,
        &[
            "--organisation",
            "marine-seals",
            "--kind",
            "cure-run",
            "--tasks",
            "2",
            "--accelerators",
            "8",
            "--adjacency",
            "rack",
            "--run-ms",
            "3000",
        ],
    )?;
    let started = deployment
        .wait_until("both tasks run", STEP_LIMIT, |d| Ok(running_tasks(d, &job)?.len() == 2))?;
    let tasks = running_tasks(deployment, &job)?;
    let racks: std::collections::BTreeSet<&str> = tasks
        .iter()
        .filter_map(|task| {
            deployment.workers.iter().find(|place| task["worker"] == place.worker.as_str())
        })
        .map(|place| place.rack.as_str())
        .collect();
    let (code, text) = deployment.command(&["job", "wait", &job, "--timeout-ms", "60000"])?;
    if code != 0 {
        return Err(format!("job wait exited with {code}: {text}"));
    }
    if racks.len() > 1 {
        return Err(format!("tasks of one rack ran in {racks:?}"));
    }
    Ok(format!("2 tasks of 8 accelerators in one rack, started after {started:.1?}, succeeded"))
}

/// Counts the tasks of some jobs in a data centre that are in a state.
fn count_tasks(
    deployment: &Deployment,
    jobs: &[String],
    data_centre: &str,
    state: &str,
) -> Result<usize> {
    let records = deployment.platform_json("/record/tasks")?;
    let matches = |record: &&Value| {
        let task = record["report"]["task"].as_str().unwrap_or_default();
        let worker = record["worker"].as_str().unwrap_or_default();
        jobs.iter().any(|job| task.starts_with(job.as_str()))
            && worker.starts_with(data_centre)
            && record["report"]["state"] == state
    };
    Ok(records.as_array().iter().flat_map(|records| records.iter()).filter(matches).count())
}

/// Fills a data centre with borrowers, then submits a gang of the organisation whose guarantee must be reclaimed there.
fn reclaim(deployment: &Deployment) -> Result<String> {
    let borrower =
        ["--kind", "press-review", "--accelerators", "8", "--run-ms", "120000", "--can-checkpoint"];
    let mut borrowers = Vec::new();
    for _ in 0..deployment.workers.len() {
        borrowers.push(submit(
            deployment,
            &[&["--organisation", "pump-makers"][..], &borrower].concat(),
        )?);
    }
    let count_borrowers =
        |d: &Deployment, state: &str| count_tasks(d, &borrowers, RECLAIM_DATA_CENTRE, state);
    deployment.wait_until("borrowers hold the owner's cells", STEP_LIMIT, |d| {
        Ok(count_borrowers(d, "running")? >= MIN_BORROWERS)
    })?;
    let owner = submit(
        deployment,
        &[
            "--organisation",
            "valve-works",
            "--kind",
            "cure-run",
            "--tasks",
            "2",
            "--accelerators",
            "8",
            "--adjacency",
            "rack",
            "--run-ms",
            "2000",
            "--never-repeat",
        ],
    )?;
    let started = deployment.wait_until("the owner's gang runs", STEP_LIMIT, |d| {
        Ok(running_tasks(d, &owner)?.len() == 2)
    })?;
    let reclaimed = count_borrowers(deployment, "stopped")?;
    for job in &borrowers {
        deployment.command(&["job", "cancel", job])?;
    }
    if reclaimed == 0 {
        return Err("nothing had to be reclaimed, so the promise was not exercised".to_owned());
    }
    deployment.command_ok(&["job", "wait", &owner, "--timeout-ms", "60000"])?;
    Ok(format!(
        "{reclaimed} borrowers stopped, the owner's 16 accelerators in use after {started:.1?}"
    ))
}

fn take_out(deployment: &Deployment) -> Result<String> {
    let data_centre = "surrey-2";
    let start = Instant::now();
    deployment.command_ok(&["datacentre", "out", data_centre])?;
    let acknowledged = start.elapsed();
    let out_at_ms = deployment.platform_json("/record/now")?.as_u64().unwrap_or_default();
    let mut jobs = Vec::new();
    for _ in 0..12 {
        let job = [
            "--organisation",
            "valve-works",
            "--kind",
            "cure-run",
            "--accelerators",
            "8",
            "--run-ms",
            "500",
        ];
        jobs.push(submit(deployment, &job)?);
        std::thread::sleep(Duration::from_millis(500));
    }
    let starts = deployment.platform_json("/record/starts")?;
    let starts = starts.as_array().cloned().unwrap_or_default();
    let late_starts = starts.iter().filter(|start| {
        let worker = start["worker"].as_str().unwrap_or_default();
        worker.starts_with(data_centre)
            && start["at_ms"].as_u64().unwrap_or_default() > out_at_ms + START_AFTER_OUT_LIMIT_MS
    });
    let late_starts = late_starts.count();
    deployment.command_ok(&["datacentre", "in", data_centre])?;
    for job in &jobs {
        deployment.command(&["job", "cancel", job])?;
    }
    if late_starts > 0 {
        return Err(format!(
            "{late_starts} tasks started in {data_centre} more than 3 s after the acknowledgement"
        ));
    }
    Ok(format!(
        "acknowledged after {acknowledged:.1?}; no late start in {data_centre} during {} submissions",
        jobs.len()
    ))
}

fn drain(deployment: &Deployment) -> Result<String> {
    let endpoint = "surrey-1-e1";
    let bodies: Vec<String> = (0..60).map(|n| format!("ring {n}")).collect();
    let lost = count_unanswered(deployment, &bodies, || {
        std::thread::sleep(Duration::from_millis(300));
        deployment.command_ok(&["endpoint", "drain", endpoint]).map(|_| ())
    })?;
    std::thread::sleep(DRAIN_LIMIT);
    let before = list_runs(deployment, endpoint)?;
    for n in 0..20 {
        let body = format!("after the drain {n}");
        deployment.command_ok(&[
            "request",
            "--organisation",
            "fraser",
            "--kind",
            "fit-check",
            "--body",
            &body,
        ])?;
    }
    let after = list_runs(deployment, endpoint)?;
    match (lost, after.len() - before.len(), after.iter().all(|run| run["finished"] == true)) {
        (0, 0, true) => Ok(format!("{} requests during the drain, none lost", bodies.len())),
        (lost, new, finished) => Err(format!(
            "{lost} requests lost, {new} new runs after the drain, all runs finished: {finished}"
        )),
    }
}

fn list_runs(deployment: &Deployment, endpoint: &str) -> Result<Vec<Value>> {
    let runs = deployment.platform_json("/record/runs")?;
    let runs = runs.as_array().cloned().unwrap_or_default();
    Ok(runs.into_iter().filter(|run| run["endpoint"] == endpoint).collect())
}

fn expect_no_overcommit(deployment: &Deployment) -> Result<String> {
    let starts = deployment.platform_json("/record/starts")?;
    let starts = starts.as_array().cloned().unwrap_or_default();
    match starts.iter().find(|start| start["overcommitted"] == true) {
        Some(start) => Err(format!("overcommitting start: {start}")),
        None => Ok(format!("{} starts", starts.len())),
    }
}
