//! Opens connections to other processes of the system.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{Link, LinkSettings, MessageKind};

/// Opens a connection; `limit` applies to the TCP connect and to the handshake separately.
///
/// A failure is logged and returned as `None`; the caller retries or uses another address.
pub async fn connect_with_timeout<Out, In>(
    address: SocketAddr,
    links: &LinkSettings,
    limit: Duration,
) -> Option<Link<Out, In>>
where
    Out: Serialize + MessageKind + Send + 'static,
    In: DeserializeOwned,
{
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            log::debug!(address = address.to_string(); "TCP connect failed: {error}");
            return None;
        }
        Err(_) => {
            log::debug!(address = address.to_string(); "TCP connect timed out after {limit:?}");
            return None;
        }
    };
    match timeout(limit, Link::connect(stream, links)).await {
        Ok(Ok(link)) => Some(link),
        Ok(Err(error)) => {
            log::warn!(address = address.to_string(); "handshake failed; connection closed: {error}");
            None
        }
        Err(_) => {
            log::debug!(address = address.to_string(); "handshake timed out after {limit:?}; connection closed");
            None
        }
    }
}
