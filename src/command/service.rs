//! Commands that take data centres out of service and bring them back.

use getopts::Options;
use reqwest::Method;
use serde_json::{Value, json};

use super::client::Retry;
use super::inspect::render_values;
use super::{Context, Output, Result};
use crate::api::DataCentreStateRequest;

/// Runs `datacentre out` and `datacentre in`.
pub(super) async fn change(arguments: &[&str], state: &str) -> Result<Output> {
    let usage = format!("datacentre {state} ID");
    let mut options = Options::new();
    options.optopt("", "operator", "name for the record, default: the user", "NAME");
    let context = match Context::parse(&usage, arguments, options, 1..=1)? {
        Ok(context) => context,
        Err(help) => return Ok(help),
    };
    let user = || std::env::var("USER").unwrap_or_else(|_| "operator".to_owned());
    let operator = context.matches.opt_str("operator").unwrap_or_else(user);
    let body = json!(DataCentreStateRequest { operator });
    let path = format!("/v1/datacentres/{}/{state}", context.argument(0));
    // The call is idempotent: setting the same state again changes nothing.
    let answer =
        context.client()?.send(&Method::POST, &path, Some(&body), Retry::Idempotent).await?;
    if context.json {
        return Ok(Output::done(&answer.to_string()));
    }
    Ok(Output::done(&format!("data centre {} is {state}", context.argument(0))))
}

/// Runs `datacentre list`.
pub(super) async fn list(arguments: &[&str]) -> Result<Output> {
    let context = match Context::parse("datacentre list", arguments, Options::new(), 0..=0)? {
        Ok(context) => context,
        Err(help) => return Ok(help),
    };
    let answer: Value = context.client()?.get("/v1/datacentres").await?;
    Ok(render_values(&context, &answer))
}
