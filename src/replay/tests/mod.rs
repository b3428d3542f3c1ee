//! Tests of the session format. The submodules test the checks of properties.

mod packing;
mod property;

use test_case::test_case;

use super::*;

#[test_case(r#"{"at_ms":0,"event":"end","ende":1}"#, "s:1: unknown field `ende`"; "unknown field")]
#[test_case(r#"{"at_ms":0,"event":"stop"}"#, "s:1: unknown variant `stop`"; "unknown event")]
#[test_case(r#"{"at_s":0,"event":"end"}"#, "s:1: at_ms must be"; "missing time")]
#[test_case("# note\n\n{", "s:3: EOF"; "truncated line")]
fn invalid_line_is_refused_with_file_and_line_number(text: &str, expected: &str) {
    // Guards against a misspelt field or event that is ignored without an error.
    let error = Session::parse("s", text).unwrap_err().to_string();

    assert!(error.starts_with(expected), "{error}");
}

#[test]
fn line_with_lower_time_than_the_line_before_is_refused() {
    // Guards against a session whose inputs are applied in another order than that of its lines.
    let text = "{\"at_ms\":5,\"event\":\"end\"}\n{\"at_ms\":4,\"event\":\"end\"}";

    let error = Session::parse("s", text).unwrap_err().to_string();

    assert_eq!(error, "s:2: at_ms is lower than on the line before");
}

#[test]
fn written_session_parses_to_the_same_session() {
    // Guards against a generated session that cannot be replayed after it was written to a file.
    let session = Session {
        name: "s".to_owned(),
        inputs: vec![TimedEvent { at_ms: 3, event: Event::User { user: User::Fraser } }],
    };

    let read = Session::parse("s", &session.to_lines()).unwrap();

    assert_eq!(read, session);
}
