//! Connections of a group's leader to the entries.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use tokio::net::TcpStream;
use xtra::prelude::*;

use super::leader::{EntryConnected, EntryLost, FromEntry, GroupLeader, LeaderParameters, Summary};
use crate::store::Table;
use crate::wire::{AgentMessage, EntryMessage, Link, LinkError, LinkSettings};

/// The range of the random delay before a lost connection is opened again.
const RECONNECT_DELAY_MS: std::ops::RangeInclusive<u64> = 50..=250;

/// Starts a task per entry that keeps a connection to it open until the leader's actor stops.
pub(super) fn connect<T>(leader: &Address<GroupLeader<T>>, parameters: &LeaderParameters)
where
    T: Table + Clone,
{
    let worker = &parameters.worker;
    for (entry, address) in worker.entries.iter().enumerate() {
        let introduction = AgentMessage::FindLeader {
            process: worker.process.clone(),
            data_centre: worker.data_centre.clone(),
            rack: worker.worker.rack.clone(),
        };
        let connector = Connector {
            leader: leader.downgrade(),
            entry,
            address: *address,
            settings: worker.link.clone(),
            introduction,
        };
        tokio::spawn(connector.run());
    }
}

/// Keeps a connection to one entry open.
struct Connector<T>
where
    T: Table + Clone,
{
    leader: xtra::WeakAddress<GroupLeader<T>>,
    entry: usize,
    address: SocketAddr,
    settings: LinkSettings,
    introduction: AgentMessage,
}

impl<T> Connector<T>
where
    T: Table + Clone,
{
    async fn run(self) {
        while self.leader.is_connected() {
            if let Err(error) = self.connect().await {
                log::debug!(
                    entry = self.address.to_string();
                    "connection to an entry failed or ended, reconnecting: {error}"
                );
            }
            drop(self.leader.send(EntryLost { entry: self.entry }).await);
            let delay_ms = rand::rng().random_range(RECONNECT_DELAY_MS);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    async fn connect(&self) -> Result<(), LinkError> {
        let limit = Duration::from_millis(self.settings.idle_ms);
        let opened = tokio::time::timeout(limit, TcpStream::connect(self.address)).await;
        let idle = |_| LinkError::Idle { idle_ms: self.settings.idle_ms };
        let stream = opened.map_err(idle)?.map_err(|source| LinkError::Socket { source })?;
        let mut link: Link<AgentMessage, EntryMessage> =
            Link::connect(stream, &self.settings).await?;
        link.sender.send(self.introduction.clone()).await?;
        let stopping = |_| LinkError::Closed;
        let summary = self.leader.send(Summary).await.map_err(stopping)?;
        link.sender.send(AgentMessage::Lead(summary)).await?;
        let connected = EntryConnected { entry: self.entry, sender: link.sender };
        self.leader.send(connected).await.map_err(stopping)?;
        while let Some(message) = link.receiver.receive().await? {
            let from = FromEntry { entry: self.entry, message };
            self.leader.send(from).await.map_err(stopping)?;
        }
        Ok(())
    }
}
