//! Runs one case of the review: `review-3 CASE RECORD`, in the root of the repository. Exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod deployment;
mod gate;
mod http;
mod json;
mod record;
mod runner;
mod store;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        eprintln!("usage: review-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let record = record::Record::create(Path::new(path));
    let is_disrupted = std::env::var("TROUBLE").as_deref() != Ok("0");
    let root = std::env::current_dir().expect("the current folder exists");
    let run = || match case.as_str() {
        "suspended" => cases::suspended(&root, &record, is_disrupted),
        "late-start" => cases::late_start(&root, &record, is_disrupted),
        "stale-acknowledgement" => cases::stale_acknowledgement(&root, &record, is_disrupted),
        "late-notice" => cases::late_notice(&root, &record, is_disrupted),
        "cancelled" => cases::cancelled_in_doubt(&root, &record, is_disrupted),
        "equal-ids" => cases::equal_ids(&root, &record, is_disrupted),
        _ => Err(format!("there is no case {case:?}")),
    };
    // A deployment that is dropped ends its processes, also when a stand-in fails.
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run))
        .unwrap_or_else(|_| Err("a stand-in failed".to_owned()));
    let (line, code) = match result {
        Ok(None) => ("the rule held".to_owned(), 0),
        Ok(Some(broken)) => (format!("BROKEN: {broken}"), 1),
        Err(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.line(&line);
    println!("{line}");
    ExitCode::from(code)
}
