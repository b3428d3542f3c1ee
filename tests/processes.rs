//! Runs the checks of `./local --platform-faults` on a whole deployment on loopback, whose processes are killed,
//! paused, drained and cut off from the table. They guard against promises that hold for single modules but not for the
//! processes.

#[path = "../examples/local/check.rs"]
mod check;
#[path = "../examples/local/deployment.rs"]
mod deployment;
#[path = "../examples/local/fault.rs"]
mod fault;

use std::path::Path;
use std::time::Duration;

use deployment::Deployment;

/// Time within which each process must answer its health check.
const START_LIMIT: Duration = Duration::from_secs(60);

#[test]
fn every_promise_holds_for_real_processes_under_faults() {
    let bundle = serde_json::from_str(include_str!("../examples/fraser/bundle.json"));
    let programs = Path::new(env!("CARGO_BIN_EXE_teaselhall-entry")).parent();
    let directory = std::env::temp_dir().join(format!("teaselhall-test-{}", std::process::id()));
    let bundle = bundle.expect("the example bundle is JSON");
    let programs = programs.expect("the path of a program has a parent");
    let mut deployment =
        Deployment::prepare(&directory, programs, bundle).expect("settings are written");
    deployment.start(START_LIMIT).expect("all processes start");

    let held = check::run_all(&mut deployment, true);

    assert!(held, "a promise was broken; logs are in {}", directory.display());
    drop(deployment);
    std::fs::remove_dir_all(&directory).expect("the folder can be removed");
}
