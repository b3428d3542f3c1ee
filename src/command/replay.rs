//! Command that replays a session.

use std::path::Path;

use getopts::Options;

use super::{Context, Error, ExitCode, Output, Result, parse_u64};
use crate::replay;

/// Runs `replay`. A session that breaks a promise exits with [`ExitCode::NotRun`].
pub(super) async fn run(arguments: &[&str]) -> Result<Output> {
    let mut options = Options::new();
    options.optopt("", "policy", "product (default), or a baseline", "NAME");
    options.optopt("", "seed", "seed of the random numbers, default 1", "N");
    let context = match Context::parse("replay FILE [options]", arguments, options, 1..=1)? {
        Ok(context) => context,
        Err(help) => return Ok(help),
    };
    let seed = context.matches.opt_str("seed").map(|text| parse_u64("seed", &text)).transpose()?;
    let policy = context.matches.opt_str("policy");
    let file = Path::new(context.argument(0));
    let output = replay::command(file, policy.as_deref(), seed)
        .map_err(|error| Error::Usage { reason: error.to_string() })?;
    let text = if context.json { &output.json } else { &output.text };
    let code = if output.broken.is_some() { ExitCode::NotRun } else { ExitCode::Done };
    Ok(Output { code, ..Output::done(text.trim_end()) })
}
