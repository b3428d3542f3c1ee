//! The programs of this package that meet crowds.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde_json::{Value, json};
use teaselhall::bundle::PartnerSigner;

use crate::crowd_parts::crowd::Target;
use crate::crowd_parts::watched::{FRAME_KEY, Program, SettingsSource};

/// Port of all HTTP calls of a program.
const HTTP_PORT: u16 = 7_201;
/// Port on which an entry accepts agents.
pub const AGENT_PORT: u16 = 7_202;
/// Port without listener, which stands for other processes that cannot be reached.
const CLOSED_PORT: u16 = 7_203;
/// Largest bundle.
pub const BUNDLE_BYTES: usize = 4 << 20;

/// Returns an entry. The crowd proposes bundles.
pub fn entry() -> Program {
    let target =
        Target { method: "POST", path: "/v1/bundles/propose", body_limit_bytes: BUNDLE_BYTES };
    program(env!("CARGO_BIN_EXE_teaselhall-entry"), target, |ip| {
        let own = json!({"process": "entry-1", "agent_address": address(ip, AGENT_PORT)});
        merge(&common_settings(ip), &own)
    })
}

/// Returns an agent beside an endpoint. The crowd announces endpoints.
pub fn agent() -> Program {
    let target = Target { method: "POST", path: "/v1/announce", body_limit_bytes: 64 << 10 };
    program(env!("CARGO_BIN_EXE_teaselhall-agent"), target, |ip| {
        let own = json!({
            "process": "agent-1",
            "entries": [address(ip, CLOSED_PORT)],
            "beside": {"endpoint": {"endpoint": "endpoint-1"}},
        });
        merge(&common_settings(ip), &own)
    })
}

/// Returns the stand-in for the platform. The crowd writes rows.
pub fn stand_in() -> Program {
    let target = Target { method: "POST", path: "/table/commit", body_limit_bytes: 16 << 20 };
    let program = program(
        env!("CARGO_BIN_EXE_teaselhall-stand-in"),
        target,
        |ip| json!({"http_address": address(ip, HTTP_PORT)}),
    );
    Program { metrics_path: "/healthz", ..program }
}

fn program<R>(file: &'static str, target: Target, render: R) -> Program
where
    R: FnOnce(IpAddr) -> Value + Send + 'static,
{
    Program {
        file,
        settings: SettingsSource::Option,
        render: Box::new(render),
        port: HTTP_PORT,
        metrics_port: HTTP_PORT,
        metrics_path: "/metrics",
        target,
        ordinary_path: target.path,
        states_limits: true,
        companions: Vec::new(),
    }
}

fn common_settings(ip: IpAddr) -> Value {
    let partner = |name: &str| {
        let signer = PartnerSigner::generate(name.into(), &mut rand::rng());
        json!(signer.public_key())
    };
    json!({
        "data_centre": "dc-1",
        "http_address": address(ip, HTTP_PORT),
        "platform_url": format!("http://{}", address(IpAddr::V4(Ipv4Addr::LOCALHOST), CLOSED_PORT)),
        "frame_key": hex::encode(FRAME_KEY),
        "partners": [partner("partner-1"), partner("partner-2")],
    })
}

fn address(ip: IpAddr, port: u16) -> SocketAddr {
    SocketAddr::new(ip, port)
}

fn merge(common: &Value, own: &Value) -> Value {
    let fields = [common, own].into_iter().filter_map(Value::as_object).flatten();
    fields.map(|(name, value)| (name.clone(), value.clone())).collect()
}
