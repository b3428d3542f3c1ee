//! Forwards one request to the endpoint beside the agent.

use std::time::Duration;

use reqwest::Url;
use tokio::sync::{mpsc, oneshot};

use super::endpoint::Event;
use crate::endpoint::{AgentInput, Forward};
use crate::prelude::*;
use crate::wire::{AgentMessage, LinkSender};

/// Where a request goes, and how its answer is paced.
pub(super) struct Path {
    /// The client, whose pool holds the connections to the endpoint.
    pub(super) client: reqwest::Client,
    /// The endpoint.
    pub(super) url: Url,
    /// The agent.
    pub(super) inbox: mpsc::Sender<Event>,
    /// The connection of the entry, if it is still open. No more is read from the endpoint than it takes.
    pub(super) sender: Option<LinkSender<AgentMessage>>,
}

/// Creates a client that sends each request at most once: it follows no redirect, repeats nothing and uses no proxy.
pub(super) fn client(connections: u32) -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .pool_max_idle_per_host(connections as usize)
        .pool_idle_timeout(Duration::from_secs(30))
        .build()
}

/// Forwards a request, and reports its answer part by part, until `abort` fires.
pub(super) async fn run(path: Path, forward: Forward, abort: oneshot::Receiver<()>) {
    let attempt = forward.attempt;
    let inbox = path.inbox.clone();
    let last = tokio::select! {
        last = exchange(&path, forward) => last,
        _ = abort => {
            let reason = "the deadline passed while the endpoint was working".to_owned();
            AgentInput::Failed { attempt, reason }
        }
    };
    let _ = inbox.send(Event::Input(last)).await;
}

/// Returns how the exchange ended.
async fn exchange(path: &Path, forward: Forward) -> AgentInput {
    let attempt = forward.attempt;
    let request = path
        .client
        .post(path.url.clone())
        .header("x-teaselhall-request", attempt.to_string())
        .header("x-teaselhall-organisation", forward.organisation.as_str())
        .header("x-teaselhall-kind", forward.kind.as_str())
        .body(forward.body);
    let mut response = match request.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() || error.is_builder() => {
            return AgentInput::Unreachable { attempt };
        }
        Err(error) => return failed(attempt, &error),
    };
    let status = response.status().as_u16();
    let _ = path.inbox.send(Event::Input(AgentInput::Head { attempt, status })).await;
    loop {
        match response.chunk().await {
            Ok(Some(bytes)) => {
                if let Some(sender) = &path.sender {
                    sender.wait_for_capacity().await;
                }
                let input = AgentInput::Data { attempt, bytes: bytes.to_vec() };
                let _ = path.inbox.send(Event::Input(input)).await;
            }
            Ok(None) => return AgentInput::End { attempt },
            Err(error) => return failed(attempt, &error),
        }
    }
}

fn failed(attempt: AttemptId, error: &reqwest::Error) -> AgentInput {
    let reason = format!("the endpoint gave no whole answer: {error}");
    AgentInput::Failed { attempt, reason }
}
