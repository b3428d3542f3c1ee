//! Asks an entry for the group of a worker, and who leads it.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::net::TcpStream;

use crate::prelude::*;
use crate::wire::{AgentMessage, EntryMessage, Link, LinkError, LinkSettings};

/// The time after which an entry that does not answer is given up.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// What an entry knows of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct FoundGroup {
    pub(super) group: GroupId,
    pub(super) group_workers: u32,
    pub(super) leader: Option<(Epoch, SocketAddr)>,
}

/// Asks one entry, chosen at random. The connection is closed after the answer: entries could not keep connections to
/// all workers within their budget.
pub(super) async fn find_leader(
    entries: &[SocketAddr],
    settings: &LinkSettings,
    question: AgentMessage,
) -> Option<FoundGroup> {
    let entry = *entries.choose(&mut rand::rng())?;
    match tokio::time::timeout(ANSWER_LIMIT, ask(entry, settings, question)).await {
        Ok(Ok(found)) => found,
        Ok(Err(error)) => {
            log::debug!(entry = entry.to_string(); "entry did not name the leader: {error}");
            None
        }
        Err(_) => None,
    }
}

async fn ask(
    entry: SocketAddr,
    settings: &LinkSettings,
    question: AgentMessage,
) -> Result<Option<FoundGroup>, LinkError> {
    let stream = TcpStream::connect(entry).await.map_err(|source| LinkError::Socket { source })?;
    let mut link: Link<AgentMessage, EntryMessage> = Link::connect(stream, settings).await?;
    link.sender.send(question).await?;
    while let Some(message) = link.receiver.receive().await? {
        if let EntryMessage::Leader { group, group_workers, leader } = message {
            return Ok(Some(FoundGroup { group, group_workers, leader }));
        }
    }
    Ok(None)
}
