//! Tests of the session format; submodules test the checks of promises.

mod packing;
mod property;

use test_case::test_case;

use super::*;

#[test_case(r#"{"at_ms":0,"event":"end","ende":1}"#, "s:1: unknown field `ende`"; "unknown field")]
#[test_case(r#"{"at_ms":0,"event":"stop"}"#, "s:1: unknown variant `stop`"; "unknown event")]
#[test_case(r#"{"at_s":0,"event":"end"}"#, "s:1: at_ms must be"; "missing time")]
#[test_case("# note\n\n{", "s:3: EOF"; "truncated line")]
fn a_bad_line_is_refused_with_file_and_line(text: &str, expected: &str) {
    // Guards against inputs that are silently ignored because of a misspelt field.
    let error = Session::parse("s", text).unwrap_err().to_string();

    assert!(error.starts_with(expected), "{error}");
}

#[test]
fn falling_times_are_refused() {
    // Guards against a session whose inputs run in another order than they are read.
    let text = "{\"at_ms\":5,\"event\":\"end\"}\n{\"at_ms\":4,\"event\":\"end\"}";

    let error = Session::parse("s", text).unwrap_err().to_string();

    assert_eq!(error, "s:2: at_ms is lower than on the line before");
}

#[test]
fn a_written_session_reads_back() {
    // Guards against a generated session that cannot be replayed from its file.
    let session = Session {
        name: "s".to_owned(),
        inputs: vec![TimedEvent { at_ms: 3, event: Event::User { user: User::Fraser } }],
    };

    let read = Session::parse("s", &session.to_lines()).unwrap();

    assert_eq!(read, session);
}
