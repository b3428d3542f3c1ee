//! Commands that show the state of endpoints, worker groups and entries, and `endpoint drain`.

use getopts::Options;
use reqwest::Method;
use serde_json::{Map, Value};

use super::client::Retry;
use super::{Client, Context, Entries, Output, Result, Table};

/// Runs `endpoint drain`: stops new requests to an endpoint.
pub(super) async fn drain(arguments: &[&str]) -> Result<Output> {
    let context = match Context::parse("endpoint drain ID", arguments, Options::new(), 1..=1)? {
        Ok(context) => context,
        Err(help) => return Ok(help),
    };
    let path = format!("/v1/endpoints/{}/drain", context.argument(0));
    let answer = context.client()?.send(&Method::POST, &path, None, Retry::Idempotent).await?;
    if context.json {
        return Ok(Output::done(&answer.to_string()));
    }
    Ok(Output::done(&format!("endpoint {} gets no new requests", context.argument(0))))
}

/// Runs `endpoint list`.
pub(super) async fn endpoints(arguments: &[&str]) -> Result<Output> {
    list(arguments, "endpoint list", "/v1/endpoints").await
}

/// Runs `worker list`: prints the capacity groups whose leaders are connected.
pub(super) async fn workers(arguments: &[&str]) -> Result<Output> {
    list(arguments, "worker list", "/v1/groups").await
}

async fn list(arguments: &[&str], usage: &str, path: &str) -> Result<Output> {
    let context = match Context::parse(usage, arguments, Options::new(), 0..=0)? {
        Ok(context) => context,
        Err(help) => return Ok(help),
    };
    let answer: Value = context.client()?.get(path).await?;
    Ok(render_values(&context, &answer))
}

/// Runs `dump`: prints the state of each entry by its URL, or the error if the entry could not be read.
pub(super) async fn dump(arguments: &[&str]) -> Result<Output> {
    let context = match Context::parse("dump", arguments, Options::new(), 0..=0)? {
        Ok(context) => context,
        Err(help) => return Ok(help),
    };
    let mut dumps = Map::new();
    for url in context.client()?.entries().urls() {
        let entry = Client::new(Entries::parse(std::iter::once(url.as_str()))?);
        let state = entry
            .get::<Value>("/dump")
            .await
            .unwrap_or_else(|error| Value::from(error.to_string()));
        dumps.insert(url.clone(), state);
    }
    let dumps = Value::from(dumps);
    let text = if context.json { dumps.to_string() } else { format!("{dumps:#}") };
    Ok(Output::done(&text))
}

/// Renders a list of flat JSON objects as a table whose columns are the fields of the first object.
pub(super) fn render_values(context: &Context, answer: &Value) -> Output {
    if context.json {
        return Output::done(&answer.to_string());
    }
    let empty = Vec::new();
    let items = answer.as_array().unwrap_or(&empty);
    let Some(fields) = items.first().and_then(Value::as_object) else {
        return Output::done("none");
    };
    let names: Vec<&str> = fields.keys().map(String::as_str).collect();
    let mut table = Table::new(&names);
    for item in items {
        table.add(names.iter().map(|name| cell(&item[*name])).collect());
    }
    Output::done(&table.render())
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
