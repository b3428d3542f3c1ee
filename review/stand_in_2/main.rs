//! Runs one case of the review: `case NAME ROOT FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run. Without the disruption if the variable `TROUBLE` is 0.

mod cases;
mod deployment;
mod http;
mod json;
mod proxy;
mod record;
mod runner;
mod store;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, root, folder] = &arguments[..] else {
        eprintln!("usage: case NAME ROOT FOLDER");
        return ExitCode::from(2);
    };
    let is_calm = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let outcome = Record::create(&Path::new(folder).join("record.txt"), name != "rows")
        .map_err(|error| error.to_string())
        .and_then(|record| {
            let outcome = cases::run(name, Path::new(root), Path::new(folder), !is_calm, &record);
            record.add(format!("outcome: {outcome:?}"));
            outcome
        });
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
