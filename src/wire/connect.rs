//! Opens connections to other processes of the system.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{Link, LinkSettings};

/// Opens a connection within a limit of time. A failure is logged; the caller tries again or elsewhere.
pub async fn connect_with_timeout<Out, In>(
    address: SocketAddr,
    links: &LinkSettings,
    limit: Duration,
) -> Option<Link<Out, In>>
where
    Out: Serialize + Send + 'static,
    In: DeserializeOwned,
{
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            log::debug!(address = address.to_string(); "no connection to a process: {error}");
            return None;
        }
        Err(_) => {
            log::debug!(address = address.to_string(); "no connection to a process in time");
            return None;
        }
    };
    match timeout(limit, Link::connect(stream, links)).await {
        Ok(Ok(link)) => Some(link),
        Ok(Err(error)) => {
            log::warn!(address = address.to_string(); "handshake with a process failed: {error}");
            None
        }
        Err(_) => {
            log::debug!(address = address.to_string(); "no handshake with a process in time");
            None
        }
    }
}
