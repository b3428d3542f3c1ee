//! Queries an entry for the group of a worker and the leader of that group.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::net::TcpStream;

use crate::prelude::*;
use crate::wire::{AgentMessage, EntryMessage, Link, LinkError, LinkSettings};

/// The timeout of a query to an entry.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// The group of a worker and its leader, as an entry reported them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct FoundGroup {
    pub(super) group: GroupId,
    pub(super) group_workers: u32,
    pub(super) leader: Option<(Epoch, SocketAddr)>,
}

/// Queries one entry, chosen at random, and returns `None` if it fails or reports no group. The connection is closed
/// after the answer, since the budget of an entry does not allow for open connections to all workers.
pub(super) async fn find_leader(
    entries: &[SocketAddr],
    settings: &LinkSettings,
    query: AgentMessage,
) -> Option<FoundGroup> {
    let entry = *entries.choose(&mut rand::rng())?;
    match tokio::time::timeout(QUERY_TIMEOUT, query_entry(entry, settings, query)).await {
        Ok(Ok(found)) => found,
        Ok(Err(error)) => {
            log::debug!(entry = entry.to_string(); "query for the leader failed: {error}");
            None
        }
        Err(_) => None,
    }
}

async fn query_entry(
    entry: SocketAddr,
    settings: &LinkSettings,
    query: AgentMessage,
) -> Result<Option<FoundGroup>, LinkError> {
    let stream = TcpStream::connect(entry).await.map_err(|source| LinkError::Socket { source })?;
    let mut link: Link<AgentMessage, EntryMessage> = Link::connect(stream, settings).await?;
    link.sender.send(query).await?;
    while let Some(message) = link.receiver.receive().await? {
        if let EntryMessage::Leader { group, group_workers, leader } = message {
            return Ok(Some(FoundGroup { group, group_workers, leader }));
        }
    }
    Ok(None)
}
