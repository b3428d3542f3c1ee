//! Forwards a request to the endpoint beside the agent, and its answer to the agent's actor.

use std::time::Duration;

use reqwest::Url;
use tokio::sync::oneshot;

use super::endpoint::Event;
use crate::endpoint::{AgentInput, Forward};
use crate::prelude::*;
use crate::process::InboxSender;
use crate::wire::{AgentMessage, LinkSender};

/// The target of a forwarded request, and the channels for its answer.
pub(super) struct ForwardContext {
    /// The HTTP client, whose pool holds the connections to the endpoint.
    pub(super) client: reqwest::Client,
    /// The URL of the endpoint to which the request is posted.
    pub(super) url: Url,
    /// The inbox of the agent's actor.
    pub(super) inbox: InboxSender<Event>,
    /// The sender of the entry's connection, or `None` if it has ended. Reading the answer from the endpoint
    /// pauses until this connection has capacity, so that little of the answer is buffered.
    pub(super) sender: Option<LinkSender<AgentMessage>>,
}

/// Creates a client that sends each request at most once: without redirects, retries or a proxy.
pub(super) fn client(connections: u32) -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .pool_max_idle_per_host(connections as usize)
        .pool_idle_timeout(Duration::from_secs(30))
        .build()
}

/// Forwards a request, and sends its answer part by part to the actor, until the answer ends or `abort` completes.
pub(super) async fn run(context: ForwardContext, forward: Forward, abort: oneshot::Receiver<()>) {
    let attempt = forward.attempt;
    let inbox = context.inbox.clone();
    let outcome = tokio::select! {
        outcome = exchange(&context, forward) => outcome,
        _ = abort => {
            let reason = "the deadline passed while the endpoint was working".to_owned();
            AgentInput::Failed { attempt, reason }
        }
    };
    let _ = inbox.send(Event::Input(outcome)).await;
}

/// Sends a request and passes on its answer. Returns the input that reports how the exchange ended.
async fn exchange(context: &ForwardContext, forward: Forward) -> AgentInput {
    let attempt = forward.attempt;
    let request = context
        .client
        .post(context.url.clone())
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
    let _ = context.inbox.send(Event::Input(AgentInput::Head { attempt, status })).await;
    loop {
        match response.chunk().await {
            Ok(Some(bytes)) => {
                if let Some(sender) = &context.sender {
                    sender.wait_for_capacity().await;
                }
                let input = AgentInput::Data { attempt, bytes: bytes.to_vec() };
                let _ = context.inbox.send(Event::Input(input)).await;
            }
            Ok(None) => return AgentInput::End { attempt },
            Err(error) => return failed(attempt, &error),
        }
    }
}

fn failed(attempt: AttemptId, error: &reqwest::Error) -> AgentInput {
    let reason = format!("the endpoint did not answer completely: {error}");
    AgentInput::Failed { attempt, reason }
}
