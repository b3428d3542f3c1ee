//! Command that sends one request to an endpoint.

use getopts::Options;

use super::client::Retry;
use super::{Context, Error, ExitCode, Output, Result, parse_u64};

/// Runs `request`: prints the body of the endpoint's answer unchanged.
pub(super) async fn run(arguments: &[&str]) -> Result<Output> {
    let mut options = Options::new();
    options.optopt("", "organisation", "organisation", "ID");
    options.optopt("", "kind", "kind of work", "ID");
    options.optopt("", "deadline-ms", "time until the caller gives up, default 10000", "N");
    options.optopt("", "body", "the body as text", "TEXT");
    options.optopt("", "body-file", "a file with the body", "FILE");
    options.optflag("", "never-repeat", "run at most once");
    options.optopt("", "key", "idempotency key", "TEXT");
    let context = match Context::parse("request [options]", arguments, options, 0..=0)? {
        Ok(context) => context,
        Err(help) => return Ok(help),
    };
    let deadline_ms = context.matches.opt_str("deadline-ms").unwrap_or_else(|| "10000".to_owned());
    parse_u64("deadline-ms", &deadline_ms)?;
    let never_repeat = context.matches.opt_present("never-repeat");
    let query = [
        ("organisation", context.required("organisation")?),
        ("kind", context.required("kind")?),
        ("deadline_ms", deadline_ms),
        ("repeat", if never_repeat { "never" } else { "allowed" }.to_owned()),
    ];
    let body = body(&context)?;
    let key = context.matches.opt_str("key");
    let retry =
        if never_repeat && key.is_none() { Retry::OnlyIfNotSent } else { Retry::Idempotent };
    let send = |http: &reqwest::Client, base: &str| {
        let mut url = reqwest::Url::parse(&format!("{base}/v1/requests"))
            .expect("entries were checked to be URLs");
        url.query_pairs_mut().extend_pairs(&query);
        let request = http.post(url).body(body.clone());
        match &key {
            Some(key) => request.header("idempotency-key", key),
            None => request,
        }
    };
    let response = context.client()?.call(retry, send).await?;
    let incomplete = |error: reqwest::Error| Error::Unknown {
        reason: format!("the body of the answer could not be read: {error}"),
    };
    let text = response.bytes().await.map_err(incomplete)?.to_vec();
    Ok(Output { text, code: ExitCode::Done })
}

fn body(context: &Context) -> Result<Vec<u8>> {
    match (context.matches.opt_str("body"), context.matches.opt_str("body-file")) {
        (Some(_), Some(_)) => {
            Err(Error::Usage { reason: "give --body or --body-file, not both".to_owned() })
        }
        (Some(text), None) => Ok(text.into_bytes()),
        (None, Some(path)) => std::fs::read(&path)
            .map_err(|error| Error::Usage { reason: format!("{path}: {error}") }),
        (None, None) => Ok(Vec::new()),
    }
}
