//! Runs a whole deployment on loopback, checks the promises of docs/design.md, and prints one line for each check.
//!
//! `./local [--platform-faults] [--keep]`. Exits with 0 only if every promise that was checked held.

mod check;
mod deployment;
mod fault;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use deployment::{Deployment, Result};

/// Time within which each process must answer. It is wide, because the machine may be busy.
const START_LIMIT: Duration = Duration::from_secs(30);
/// JSON text of the deployment's bundle.
const BUNDLE: &str = include_str!("../fraser/bundle.json");

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let unknown = arguments.iter().find(|a| !["--platform-faults", "--keep"].contains(&a.as_str()));
    if let Some(unknown) = unknown {
        eprintln!("local: unknown option {unknown:?}; usage: ./local [--platform-faults] [--keep]");
        return ExitCode::from(2);
    }
    let has = |option: &str| arguments.iter().any(|argument| argument == option);
    let directory = std::env::temp_dir().join(format!("teaselhall-local-{}", std::process::id()));
    match run(&directory, has("--platform-faults"), has("--keep")) {
        Ok(true) => {
            let _ = std::fs::remove_dir_all(&directory);
            ExitCode::SUCCESS
        }
        Ok(false) => {
            eprintln!("logs and settings are in {}", directory.display());
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("local: {error}\nlogs and settings are in {}", directory.display());
            ExitCode::FAILURE
        }
    }
}

fn run(directory: &Path, faults: bool, keep: bool) -> Result<bool> {
    let bundle = serde_json::from_str(BUNDLE).map_err(|error| error.to_string())?;
    let mut deployment = Deployment::prepare(directory, &programs()?, bundle)?;
    println!("starting 3 entries, {} agents and the stand-in", 2 * deployment.workers.len());
    deployment.start(START_LIMIT)?;
    let held = check::run_all(&mut deployment, faults);
    if keep {
        wait_for_interrupt(&deployment)?;
    }
    Ok(held)
}

/// Returns the folder of the programs, which cargo builds into the parent of the folder of this example.
fn programs() -> Result<PathBuf> {
    let example = std::env::current_exe().map_err(|error| error.to_string())?;
    let folder = example.parent().and_then(Path::parent).ok_or("this program has no folder")?;
    Ok(folder.to_owned())
}

fn wait_for_interrupt(deployment: &Deployment) -> Result<()> {
    let entries: Vec<String> = deployment.entries.iter().map(|e| format!("http://{e}")).collect();
    println!("export TEASELHALL_ENTRIES={}", entries.join(","));
    println!("settings, keys and logs: {}", deployment.path(""));
    println!("running until Ctrl-C is pressed");
    deployment::block_on(async { tokio::signal::ctrl_c().await.map_err(|error| error.to_string()) })
}
