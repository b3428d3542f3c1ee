//! The register of coordinators in the store: the leadership, and the address of each coordinator.

use std::net::SocketAddr;

use super::event::{Event, EventSender};
use super::store_watch::FAILURE_PAUSE;
use super::{LEAD_TABLE, LEADER_KEY, MEMBER_PREFIX};
use crate::election::Leadership;
use crate::prelude::*;
use crate::store::{RowKey, RowResult, RowStore, Transaction};
use crate::workflow;

/// The registered addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Registered {
    /// The address of the leader, if there was one.
    pub leader: Option<SocketAddr>,
    /// The addresses of all coordinators that registered, the latest first. They include replaced ones.
    pub coordinators: Vec<SocketAddr>,
}

/// Reads the registered addresses.
///
/// # Errors
///
/// [`RowError`](crate::store::RowError) if the store does not answer.
pub async fn list_registered<S>(store: &S) -> RowResult<Registered>
where
    S: RowStore,
{
    let mut rows = store.list(LEAD_TABLE, 0).await?.rows;
    rows.sort_by_key(|row| std::cmp::Reverse(row.version));
    let leader_key = RowKey::new(LEAD_TABLE, LEADER_KEY);
    let leader = rows.iter().find(|row| row.key == leader_key);
    let leadership = leader.and_then(|row| decode_leadership(&row.content));
    Ok(Registered {
        leader: leadership.map(|leadership| leadership.address),
        coordinators: rows
            .iter()
            .filter_map(|row| member_address(&row.key, &row.content))
            .collect(),
    })
}

/// Decodes the row of the leadership.
pub(super) fn decode_leadership(content: &[u8]) -> Option<Leadership> {
    match workflow::decode(content) {
        Ok(leadership) => Some(leadership),
        Err(error) => {
            log::error!("leadership row cannot be decoded and is ignored: {error}");
            None
        }
    }
}

/// Decodes the row with the address of a coordinator. Returns `None` for any other row.
pub(super) fn member_address(key: &RowKey, content: &[u8]) -> Option<SocketAddr> {
    if !key.key.starts_with(MEMBER_PREFIX) {
        return None;
    }
    match workflow::decode(content) {
        Ok(address) => Some(address),
        Err(error) => {
            log::error!(
                key = key.key.as_str();
                "address of a coordinator cannot be decoded and is ignored: {error}"
            );
            None
        }
    }
}

/// Writes the address of this coordinator to the store and sends the addresses of all coordinators to the actor.
/// Retries until both calls succeed.
pub async fn register<S>(store: S, process: ProcessId, address: SocketAddr, events: EventSender)
where
    S: RowStore,
{
    let key = RowKey::new(LEAD_TABLE, &format!("{MEMBER_PREFIX}{process}"));
    let transaction =
        Transaction { puts: vec![(key, workflow::encode(&address))], ..Transaction::default() };
    loop {
        let registered = match store.transact(&transaction).await {
            Ok(_) => list_registered(&store).await,
            Err(error) => Err(error),
        };
        match registered {
            Ok(registered) => {
                for address in registered.coordinators {
                    let _ = events.send(Event::PeerAddress(address)).await;
                }
                return;
            }
            Err(error) => {
                log::warn!(
                    "address of this coordinator could not be registered; retried after a pause: {error}"
                );
                tokio::time::sleep(FAILURE_PAUSE * 4).await;
            }
        }
    }
}
