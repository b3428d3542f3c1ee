//! Tests that commands refuse invalid input, and that exit codes follow the outcome, because scripts rely on them.

mod configuration;

use test_case::test_case;

use super::job::job_table;
use super::{Entries, Error, ExitCode, Table, run};
use crate::api::{ApiError, ErrorCode};
use crate::job::JobRow;
use crate::prelude::*;

fn execute(line: &str) -> super::Result<super::Output> {
    let arguments: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    runtime.block_on(run(&arguments))
}

#[test_case("fly", "unknown command"; "unknown command")]
#[test_case("job fly", "unknown subcommand"; "unknown subcommand")]
#[test_case("job show", "usage: teaselhall job show JOB"; "missing argument")]
#[test_case("job list --colour", "colour"; "unknown option")]
#[test_case("job list --entries ftp://x", "http URL"; "entry that is not http")]
#[test_case("job list --entries ,", "empty"; "empty list of entries")]
#[test_case("job list --settings /nonexistent.json", "/nonexistent.json"; "missing settings file")]
#[test_case("job submit --entries http://127.0.0.1:1 --kind k --run-ms 1", "--organisation"; "missing option")]
#[test_case("job submit --entries http://127.0.0.1:1 --organisation o --kind k --run-ms 1s", "--run-ms"; "unit in a number")]
#[test_case("request --entries http://127.0.0.1:1 --organisation o --kind k --body a --body-file b", "both"; "two bodies")]
fn invalid_input_is_named_in_the_error_and_exits_with_2(line: &str, expected: &str) {
    let error = execute(line).expect_err("the command must be refused");

    assert_eq!(error.exit_code(), ExitCode::Usage);
    assert!(error.to_string().contains(expected), "{error}");
}

#[test]
fn call_to_unreachable_entries_exits_with_not_run() {
    let error =
        execute("job list --entries http://127.0.0.1:1").expect_err("nothing listens there");

    assert_eq!(error.exit_code(), ExitCode::NotRun);
}

#[test_case(ErrorCode::Unavailable, ExitCode::NotRun)]
#[test_case(ErrorCode::Conflict, ExitCode::NotRun)]
#[test_case(ErrorCode::BadInput, ExitCode::Usage)]
#[test_case(ErrorCode::Unknown, ExitCode::Unknown)]
fn exit_code_of_a_refused_call_follows_its_error_code(code: ErrorCode, expected: ExitCode) {
    let error = Error::Refused { error: ApiError::new(code, "") };

    assert_eq!(error.exit_code(), expected);
}

#[test]
fn command_help_is_printed_without_entries() {
    let output = execute("job submit --help").expect("help is printed");

    assert!(String::from_utf8_lossy(&output.text).contains("--organisation"));
}

#[test]
fn trailing_slash_of_an_entry_url_is_removed() {
    let entries = Entries::parse("http://a:1/, http://b:2".split(',')).expect("the list is valid");

    assert_eq!(entries.urls(), ["http://a:1", "http://b:2"]);
}

#[test]
fn table_has_aligned_columns_and_no_trailing_space() {
    let mut table = Table::new(&["job", "state"]);
    table.add(vec!["j1".to_owned(), "queued".to_owned()]);
    table.add(vec!["long-name".to_owned(), "x".to_owned()]);

    insta::assert_snapshot!(table.render());
}

#[test]
fn job_table_describes_job_states() {
    let row = |id: &str, state| {
        let spec = JobSpec {
            id: JobId::from(id),
            organisation: OrganisationId::from("fraser"),
            kind: KindId::from("cure-run"),
            tasks: 2,
            task: TaskSpec { cores: 1, memory_mb: 1, accelerators: 8 },
            adjacency: Adjacency::Rack,
            declared_run_ms: 1,
            repeat: Repeat::Allowed,
            can_checkpoint: false,
        };
        JobRow { state, ..JobRow::queued(spec, GroupId::from("surrey-1.0")) }
    };
    let reason = "no worker has 64 cores".to_owned();
    let rows = [
        row("j1", JobState::Queued),
        row("j2", JobState::Running { attempt: 2 }),
        row("j3", JobState::Ended { end: JobEnd::Succeeded }),
        row("j4", JobState::Ended { end: JobEnd::NotRun { reason } }),
    ];

    insta::assert_snapshot!(job_table(&rows).render());
}
