//! Guards against accepting settings with which a process cannot run, and against errors that do not name the field.

use serde_json::{Value, json};
use test_case::test_case;

use super::{AgentSettings, EntrySettings, StandInSettings, ValidateSettings};

const KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
const OTHER_KEY: &str = "ff0102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

fn partners() -> Value {
    json!([{"id": "a", "public_key": KEY}, {"id": "b", "public_key": OTHER_KEY}])
}

fn entry() -> Value {
    json!({
        "process": "entry-1", "data_centre": "amman-1", "http_address": "127.0.0.1:1", "agent_address": "127.0.0.1:2",
        "platform_url": "http://127.0.0.1:3", "frame_key": KEY, "partners": partners(),
    })
}

fn agent() -> Value {
    json!({
        "process": "agent-1", "data_centre": "amman-1", "http_address": "127.0.0.1:1", "entries": ["127.0.0.1:2"],
        "platform_url": "http://127.0.0.1:3", "frame_key": KEY, "partners": partners(),
        "beside": {"worker": {
            "worker": "w1", "rack": "r1", "shape": {"cores": 32, "memory_mb": 131072, "accelerators": 8},
            "worker_url": "http://127.0.0.1:3/worker/w1", "udp_address": "127.0.0.1:4",
        }},
    })
}

fn platform() -> Value {
    json!({"http_address": "127.0.0.1:1", "workers": [], "endpoints": []})
}

fn with(mut settings: Value, pointer: &str, value: Value) -> Value {
    let (parent, name) = pointer.rsplit_once('/').expect("pointer has a parent");
    settings.pointer_mut(parent).expect("parent exists")[name] = value;
    settings
}

fn load<T>(settings: Value) -> Result<(), String>
where
    T: serde::de::DeserializeOwned + ValidateSettings,
{
    let settings: T = serde_json::from_value(settings).map_err(|error| error.to_string())?;
    settings.check().map_err(|error| error.to_string())
}

#[test]
fn valid_settings_are_accepted() {
    assert_eq!(load::<EntrySettings>(entry()), Ok(()));
    assert_eq!(load::<AgentSettings>(agent()), Ok(()));
    assert_eq!(load::<StandInSettings>(platform()), Ok(()));
}

#[test_case("/colour", json!(1), "colour"; "unknown field")]
#[test_case("/http_address", json!("nowhere"), "socket address"; "malformed address")]
#[test_case("/platform_url", json!("ftp://x"), "platform_url"; "scheme that is not http")]
#[test_case("/frame_key", json!("00"), "frame_key"; "short key")]
#[test_case("/partners", json!([{"id": "a", "public_key": KEY}]), "two partners"; "one partner")]
#[test_case("/partners", json!([{"id": "a", "public_key": KEY}, {"id": "b", "public_key": KEY}]), "twice"; "two partners with one key")]
#[test_case("/body_limit_bytes", json!(0), "body_limit_bytes"; "body limit of zero")]
fn invalid_entry_settings_are_rejected_with_the_field_name(
    pointer: &str,
    value: Value,
    expected: &str,
) {
    let error =
        load::<EntrySettings>(with(entry(), pointer, value)).expect_err("settings must be refused");

    assert!(error.contains(expected), "{error}");
}

#[test_case("/entries", json!([]), "entries"; "no entries")]
#[test_case("/beside/worker/gang_lease_ms", json!(2000), "gang_lease_ms"; "gang lease below four heartbeats")]
#[test_case("/beside/worker/shape/accelerators", json!(6), "power of two"; "six accelerators")]
#[test_case("/beside/worker/lease_s", json!(6), "lease_s"; "unknown unit")]
fn invalid_agent_settings_are_rejected_with_the_field_name(
    pointer: &str,
    value: Value,
    expected: &str,
) {
    let error =
        load::<AgentSettings>(with(agent(), pointer, value)).expect_err("settings must be refused");

    assert!(error.contains(expected), "{error}");
}

/// Guards against example settings that the programs no longer accept.
#[test_case("consortium")]
#[test_case("fraser")]
fn example_settings_of_each_user_are_accepted(user: &str) {
    let file = |name: &str| {
        std::path::PathBuf::from(format!("{}/examples/{user}/{name}", env!("CARGO_MANIFEST_DIR")))
    };
    super::read::<EntrySettings>(&file("entry.json")).expect("entry");
    super::read::<AgentSettings>(&file("worker-agent.json")).expect("worker agent");
    super::read::<AgentSettings>(&file("endpoint-agent.json")).expect("endpoint agent");
    super::read::<StandInSettings>(&file("platform.json")).expect("platform");
}
