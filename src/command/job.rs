//! Commands for gang jobs.

use std::time::Duration;

use getopts::Options;
use reqwest::Method;
use serde_json::{Value, json};

use super::client::Retry;
use super::{Context, Error, ExitCode, Output, Result, Table, exit_code_of, parse_u32, parse_u64};
use crate::job::JobRow;
use crate::prelude::*;

/// Interval at which `job wait` queries the state of the job.
const WAIT_INTERVAL: Duration = Duration::from_millis(200);
/// Number of consecutive failed queries that `job wait` tolerates; it gives up on the next one.
const MAX_WAIT_FAILURES: u32 = 50;

/// Runs `job submit`.
pub(super) async fn submit(arguments: &[&str]) -> Result<Output> {
    let mut options = Options::new();
    options.optopt("", "organisation", "organisation", "ID");
    options.optopt("", "kind", "kind of work", "ID");
    options.optopt("", "tasks", "number of tasks, default 1", "N");
    options.optopt("", "cores", "cores of each task, default 1", "N");
    options.optopt("", "memory-mb", "memory of each task, default 1024", "N");
    options.optopt("", "accelerators", "accelerators of each task, default 1", "N");
    options.optopt("", "adjacency", "worker, rack or data_centre (default)", "LEVEL");
    options.optopt("", "run-ms", "declared run time", "N");
    options.optflag("", "never-repeat", "run at most once");
    options.optflag("", "can-checkpoint", "tasks can be checkpointed and resumed");
    options.optopt("", "key", "idempotency key", "TEXT");
    let context = match Context::parse("job submit [options]", arguments, options, 0..=0)? {
        Ok(context) => context,
        Err(help) => return Ok(help),
    };
    let body = job_body(&context)?;
    let key = context.matches.opt_str("key");
    let retry = if key.is_some() { Retry::Idempotent } else { Retry::OnlyIfNotSent };
    let send = |http: &reqwest::Client, base: &str| {
        let request = http.post(format!("{base}/v1/jobs")).json(&body);
        match &key {
            Some(key) => request.header("idempotency-key", key),
            None => request,
        }
    };
    let response = context.client()?.call(retry, send).await?;
    let row: JobRow =
        response.json().await.map_err(|error| Error::Unknown { reason: error.to_string() })?;
    Ok(show_row(&context, &row))
}

fn job_body(context: &Context) -> Result<Value> {
    let number = |name: &str, default: u32| match context.matches.opt_str(name) {
        Some(text) => parse_u32(name, &text),
        None => Ok(default),
    };
    let memory_mb = match context.matches.opt_str("memory-mb") {
        Some(text) => parse_u64("memory-mb", &text)?,
        None => 1_024,
    };
    let repeat =
        if context.matches.opt_present("never-repeat") { Repeat::Never } else { Repeat::Allowed };
    Ok(json!({
        "organisation": context.required("organisation")?,
        "kind": context.required("kind")?,
        "tasks": number("tasks", 1)?,
        "task": {
            "cores": number("cores", 1)?, "memory_mb": memory_mb, "accelerators": number("accelerators", 1)?,
        },
        "adjacency": context.matches.opt_str("adjacency").unwrap_or_else(|| "data_centre".to_owned()),
        "declared_run_ms": parse_u64("run-ms", &context.required("run-ms")?)?,
        "repeat": repeat,
        "can_checkpoint": context.matches.opt_present("can-checkpoint"),
    }))
}

/// Runs `job show`.
pub(super) async fn show(arguments: &[&str]) -> Result<Output> {
    let context = match Context::parse("job show JOB", arguments, Options::new(), 1..=1)? {
        Ok(context) => context,
        Err(help) => return Ok(help),
    };
    let row = read(&context).await?;
    Ok(show_row(&context, &row))
}

/// Runs `job list`.
pub(super) async fn list(arguments: &[&str]) -> Result<Output> {
    let context = match Context::parse("job list", arguments, Options::new(), 0..=0)? {
        Ok(context) => context,
        Err(help) => return Ok(help),
    };
    let rows: Vec<JobRow> = context.client()?.get("/v1/jobs").await?;
    Ok(Output::done(&render(&context, &rows)))
}

/// Runs `job cancel`.
pub(super) async fn cancel(arguments: &[&str]) -> Result<Output> {
    let context = match Context::parse("job cancel JOB", arguments, Options::new(), 1..=1)? {
        Ok(context) => context,
        Err(help) => return Ok(help),
    };
    let path = format!("/v1/jobs/{}", context.argument(0));
    let answer = context.client()?.send(&Method::DELETE, &path, None, Retry::Idempotent).await?;
    let row: JobRow = serde_json::from_value(answer)
        .map_err(|error| Error::Unknown { reason: error.to_string() })?;
    Ok(show_row(&context, &row))
}

/// `job wait`: shows each change of state on standard error, and ends with the job's outcome as exit code.
pub(super) async fn wait(arguments: &[&str]) -> Result<Output> {
    let mut options = Options::new();
    options.optopt("", "timeout-ms", "give up after this time", "N");
    let context = match Context::parse("job wait JOB [--timeout-ms N]", arguments, options, 1..=1)?
    {
        Ok(context) => context,
        Err(help) => return Ok(help),
    };
    let limit_ms = context
        .matches
        .opt_str("timeout-ms")
        .map(|text| parse_u64("timeout-ms", &text))
        .transpose()?;
    let limit = limit_ms.map(Duration::from_millis);
    let start = tokio::time::Instant::now();
    let (mut shown_state, mut failures) = (None, 0);
    loop {
        match read(&context).await {
            Ok(row) => {
                failures = 0;
                if let JobState::Ended { end } = &row.state {
                    let output = Output::done(&render(&context, std::slice::from_ref(&row)));
                    return Ok(Output { code: end_code(end), ..output });
                }
                if shown_state.as_ref() != Some(&row.state) {
                    eprintln!("{:>8.1} s  {}", start.elapsed().as_secs_f64(), describe(&row.state));
                    shown_state = Some(row.state);
                }
            }
            // Queries are repeated, because entries or the table may be restarting.
            Err(error) if failures < MAX_WAIT_FAILURES && error.exit_code() != ExitCode::Usage => {
                failures += 1
            }
            Err(error) => return Err(error),
        }
        if limit.is_some_and(|limit| start.elapsed() >= limit) {
            let reason =
                format!("job {} had not ended when --timeout-ms expired", context.argument(0));
            return Err(Error::Unknown { reason });
        }
        tokio::time::sleep(WAIT_INTERVAL).await;
    }
}

fn end_code(end: &JobEnd) -> ExitCode {
    match end {
        JobEnd::Succeeded => ExitCode::Done,
        JobEnd::Failed { .. } | JobEnd::Cancelled => ExitCode::NotRun,
        JobEnd::NotRun { .. } | JobEnd::Unknown { .. } => exit_code_of(end.outcome()),
    }
}

async fn read(context: &Context) -> Result<JobRow> {
    context.client()?.get(&format!("/v1/jobs/{}", context.argument(0))).await
}

fn show_row(context: &Context, row: &JobRow) -> Output {
    if context.json {
        return Output::done(&json!(row).to_string());
    }
    Output::done(&render(context, std::slice::from_ref(row)))
}

fn render(context: &Context, rows: &[JobRow]) -> String {
    if context.json {
        return json!(rows).to_string();
    }
    job_table(rows).render()
}

/// Returns a table with one row for each job.
pub(super) fn job_table(rows: &[JobRow]) -> Table {
    let mut table =
        Table::new(&["job", "organisation", "kind", "tasks", "accelerators", "group", "state"]);
    for row in rows {
        let spec = &row.spec;
        table.add(vec![
            spec.id.to_string(),
            spec.organisation.to_string(),
            spec.kind.to_string(),
            spec.tasks.to_string(),
            spec.accelerators().to_string(),
            row.group.to_string(),
            describe(&row.state),
        ]);
    }
    table
}

fn describe(state: &JobState) -> String {
    match state {
        JobState::Queued => "queued".to_owned(),
        JobState::Running { attempt } => format!("running, attempt {attempt}"),
        JobState::Ended { end: JobEnd::Succeeded } => "succeeded".to_owned(),
        JobState::Ended { end: JobEnd::Cancelled } => "cancelled".to_owned(),
        JobState::Ended { end: JobEnd::Failed { reason } } => format!("failed: {reason}"),
        JobState::Ended { end: JobEnd::NotRun { reason } } => format!("not run: {reason}"),
        JobState::Ended { end: JobEnd::Unknown { reason } } => format!("unknown: {reason}"),
    }
}
