//! Golden sessions: the replay of each session under tests/sessions violates no property and gives the expected
//! transcript.

use std::path::{Path, PathBuf};

use teaselhall::replay::{self, PropertyViolation, Session};
use teaselhall::scheduler::Policy;

const SEED: u64 = 1;

#[test]
fn golden_sessions_have_the_expected_transcripts() {
    // Guards against an unintended change of a scheduling decision in a known situation.
    for path in golden_sessions().into_iter().filter(|path| !is_known_red(path)) {
        let report = replay_file(&path);

        insta::assert_snapshot!(report.session.clone(), report.to_string());
    }
}

#[test]
fn golden_sessions_violate_no_property_with_20_seeds() {
    // Guards against a violated property in a known situation. The seeds give different orders of messages.
    let mut violations = 0;
    for path in golden_sessions() {
        if is_known_red(&path) {
            println!("known red, not run: {}", path.display());
            continue;
        }
        for seed in 1..=20 {
            let report = replay::run(&read_session(&path), Policy::Product, seed).unwrap();
            for PropertyViolation { promise, detail, at_ms, .. } in &report.broken {
                println!("{} seed {seed}, {at_ms} ms: {promise}: {detail}", report.session);
                violations += 1;
            }
        }
    }

    assert_eq!(violations, 0, "the violated properties are listed above");
}

#[test]
fn replay_with_the_same_seed_gives_the_same_report() {
    // Guards against a replay that depends on state other than the seed, such as the iteration order of a hash map.
    let path = Path::new("tests/sessions/user-consortium.jsonl");

    assert_eq!(replay_file(path), replay_file(path));
}

fn golden_sessions() -> Vec<PathBuf> {
    let files = std::fs::read_dir("tests/sessions").unwrap();
    let paths = files.map(|file| file.unwrap().path());
    let mut sessions: Vec<PathBuf> =
        paths.filter(|path| path.extension().is_some_and(|end| end == "jsonl")).collect();
    sessions.sort();
    assert!(!sessions.is_empty());
    sessions
}

/// Returns whether KNOWN-RED.txt lists a session, which violates a property because of a fault that is still open.
fn is_known_red(path: &Path) -> bool {
    let listed = std::fs::read_to_string("KNOWN-RED.txt").unwrap_or_default();
    let entry = format!("session {}:", path.file_stem().unwrap().to_string_lossy());
    listed.lines().any(|line| line.starts_with(&entry))
}

fn replay_file(path: &Path) -> replay::Report {
    replay::run(&read_session(path), Policy::Product, SEED).unwrap()
}

fn read_session(path: &Path) -> Session {
    let mut session = Session::read(path).unwrap();
    session.name = path.file_stem().unwrap().to_string_lossy().into_owned();
    session
}
