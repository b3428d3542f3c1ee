//! Plays one case of the review: starts the programs of the deploy file with stand-ins for clients, runners and the
//! platform, and checks a rule. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
//!
//! Usage: `stand-in CASE ROOT RECORD`. With `TROUBLE=0` the disruption is left out.

mod cases;
mod deploy;
mod http;
mod json;
mod record;
mod runner;
mod store;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// What a case has found.
pub enum Outcome {
    Held,
    Broken,
}

pub type CaseResult = Result<Outcome, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record_path] = arguments.as_slice() else {
        eprintln!("usage: stand-in CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    let folder = std::env::temp_dir().join(format!("teaselhall-review-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&folder) {
        eprintln!("{}: {error}", folder.display());
        return ExitCode::from(2);
    }
    let result = cases::play(case, Path::new(root), &folder, &record, has_trouble);
    match std::env::var_os("KEEP_LOGS") {
        Some(_) => eprintln!("logs are kept in {}", folder.display()),
        None => {
            let _ = std::fs::remove_dir_all(&folder);
        }
    }
    let violations = record.violations();
    let code = match &result {
        Ok(Outcome::Held) if violations.is_empty() => 0,
        Ok(_) => 1,
        Err(_) => 2,
    };
    match &result {
        Ok(_) => println!("{case}: {} violations, exit code {code}", violations.len()),
        Err(reason) => println!("{case}: could not run: {reason}"),
    }
    for line in violations.iter().take(3) {
        println!("  {line}");
    }
    record.add(&format!("exit code {code}"));
    if let Err(error) = record.write(Path::new(record_path)) {
        eprintln!("{record_path}: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
