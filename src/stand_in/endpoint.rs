//! Endpoint of the stand-in: it announces itself to the agent beside it and answers requests with their own body.

use std::time::Duration;

use serde_json::json;
use snafu::ResultExt;
use tokio::sync::watch;
use warp::Filter;

use super::route::{body, describe_rejection};
use super::{EndpointRun, Platform};
use crate::process::intake::{self, Body, Intake, ListenerKind};
use crate::process::{self, BindSnafu};
use crate::settings::EndpointSettings;

/// Interval of announcements. They are repeated so that a restarted agent receives the next one.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Starts an endpoint, which serves `POST /run` until `stopped`. A body may begin with the time after which it is
/// answered, such as `work_ms=1500;`; other bodies are answered after the time in the endpoint's settings.
pub(super) fn spawn(
    settings: &EndpointSettings,
    platform: &Platform,
    intake: &Intake,
    stopped: watch::Receiver<bool>,
) -> process::Result<()> {
    let address = settings.http_address;
    let listener = intake::bind(address).context(BindSnafu { address })?;
    let (route_settings, platform) = (settings.clone(), platform.clone());
    let route = warp::path!("run").and(warp::post()).and(body());
    let route = route
        .then(move |body: Body| answer_request(route_settings.clone(), platform.clone(), body))
        .recover(describe_rejection);
    let (intake, shutdown) = (intake.clone(), process::wait_for_shutdown(stopped.clone()));
    tokio::spawn(async move {
        intake.serve_on(ListenerKind::Clients, listener, route, shutdown).await;
    });
    tokio::spawn(announce(settings.clone(), stopped));
    Ok(())
}

async fn answer_request(settings: EndpointSettings, platform: Platform, body: Body) -> Vec<u8> {
    let index = {
        let at_ms = platform.clock.now_ms();
        let body_hash = blake3::hash(&body).to_hex().to_string();
        let run = EndpointRun { at_ms, endpoint: settings.id.clone(), body_hash, finished: false };
        let mut inner = platform.lock();
        inner.runs.push(run);
        inner.runs.len() - 1
    };
    let work_ms = parse_work_ms(&body).unwrap_or(settings.work_ms);
    tokio::time::sleep(Duration::from_millis(work_ms)).await;
    platform.lock().runs[index].finished = true;
    body.into_parts().0
}

fn parse_work_ms(body: &[u8]) -> Option<u64> {
    let text = body.strip_prefix(b"work_ms=")?;
    let digits = text.split(|byte| *byte == b';').next()?;
    std::str::from_utf8(digits).ok()?.parse().ok()
}

async fn announce(settings: EndpointSettings, stopped: watch::Receiver<bool>) {
    let client = reqwest::Client::new();
    let url = format!("{}/v1/announce", settings.agent_url.trim_end_matches('/'));
    let body = json!({
        "endpoint": settings.id,
        "url": format!("http://{}/run", settings.http_address),
        "slots": settings.slots,
        "connections": settings.connections,
        "instance": crate::process::new_incarnation().to_string(),
    });
    while !*stopped.borrow() {
        if let Err(error) = client.post(&url).json(&body).send().await {
            log::debug!(
                endpoint = settings.id.as_str();
                "announcement to the agent failed, retrying after {ANNOUNCE_INTERVAL:?}: {error}"
            );
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
