//! Crowd of connections that all send the same bytes and then stay open.

use std::net::SocketAddr;
use std::time::Duration;

use teaselhall::wire::{Direction, FrameKey, NONCE_BYTES, PROTOCOL_VERSION, TAG_BYTES};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::watched::FRAME_KEY;

/// Pause between the bytes of a connection that must not count as idle; the idle time-out is 1.5 s.
const TRICKLE_PAUSE: Duration = Duration::from_millis(500);

/// Request line of the crowd's requests.
#[derive(Clone, Copy)]
pub struct Target {
    pub method: &'static str,
    pub path: &'static str,
    /// Largest body that the program accepts for this request.
    pub body_limit_bytes: usize,
}

impl Target {
    /// Returns the head of a request with one header more.
    pub fn head(self, header: &str) -> Vec<u8> {
        let Self { method, path, .. } = self;
        format!("{method} {path} HTTP/1.1\r\nhost: h.example\r\n{header}\r\n").into_bytes()
    }
}

/// Bytes that each connection of a crowd sends.
pub struct Crowd {
    first: Vec<u8>,
    part: Vec<u8>,
    parts: usize,
    pause: Duration,
    port: Option<u16>,
    /// Whether each connection completes the handshake between processes first, and sends a byte now and then later.
    is_process: bool,
}

impl Crowd {
    /// Describes a crowd that sends `first`, and then `part` several times.
    pub fn repeating(first: Vec<u8>, part: Vec<u8>, parts: usize) -> Self {
        Self { first, part, parts, pause: Duration::ZERO, port: None, is_process: false }
    }

    /// Adds a pause before each part.
    pub fn with_pause_ms(self, pause_ms: u64) -> Self {
        Self { pause: Duration::from_millis(pause_ms), ..self }
    }

    /// Sends the crowd to another port of the program.
    pub fn at_port(self, port: u16) -> Self {
        Self { port: Some(port), ..self }
    }

    /// Lets the crowd act as processes of the system, which are not idle for long.
    pub fn of_processes(self) -> Self {
        Self { is_process: true, ..self }
    }

    /// Starts the connections. They stay open until the returned set is dropped, unless the process closes them.
    pub async fn start(self, mut address: SocketAddr, connections: usize) -> JoinSet<()> {
        if let Some(port) = self.port {
            address.set_port(port);
        }
        let crowd = std::sync::Arc::new(self);
        let mut members = JoinSet::new();
        for _ in 0..connections {
            let crowd = crowd.clone();
            members.spawn(async move {
                // A refused or closed connection is one of the allowed answers to a crowd.
                if let Ok(mut stream) = TcpStream::connect(address).await {
                    let _ = crowd.send(&mut stream).await;
                    std::future::pending::<()>().await;
                }
            });
        }
        members
    }

    async fn send(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        if self.is_process {
            shake_hands(stream).await?;
        }
        stream.write_all(&self.first).await?;
        for _ in 0..self.parts {
            tokio::time::sleep(self.pause).await;
            stream.write_all(&self.part).await?;
        }
        if !self.is_process {
            return Ok(());
        }
        loop {
            tokio::time::sleep(TRICKLE_PAUSE).await;
            stream.write_all(b" ").await?;
        }
    }
}

/// Opens a connection as another process of the system does.
async fn shake_hands(stream: &mut TcpStream) -> std::io::Result<()> {
    let nonce = [5; NONCE_BYTES];
    stream.write_all(&[&[PROTOCOL_VERSION][..], &nonce].concat()).await?;
    let mut answer = [0; 1 + NONCE_BYTES + TAG_BYTES];
    stream.read_exact(&mut answer).await?;
    let mut remote = [0; NONCE_BYTES];
    remote.copy_from_slice(&answer[1..=NONCE_BYTES]);
    let key = FrameKey::new(FRAME_KEY);
    let tag = key.handshake_tag(Direction::FromInitiator, &nonce, &remote);
    stream.write_all(tag.as_bytes()).await
}

/// Sends a request in parts with a pause before each but the first. Returns the status line of its response.
pub async fn request_in_parts(
    address: SocketAddr,
    parts: Vec<Vec<u8>>,
    pause_ms: u64,
) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    for (index, part) in parts.iter().enumerate() {
        if index > 0 {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        stream.write_all(part).await.ok()?;
    }
    status_line(&mut stream).await
}

/// Sends a request twice on one connection, with a pause in between. Returns the status line of the second response.
pub async fn request_twice(address: SocketAddr, request: Vec<u8>, pause_ms: u64) -> Option<String> {
    // A coordinator that is not ready yet closes the connection after its response.
    for _ in 0..50 {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(&request).await.ok()?;
        if response(&mut stream).await?.contains("connection: close") {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        }
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        stream.write_all(&request).await.ok()?;
        return status_line(&mut stream).await;
    }
    None
}

async fn status_line(stream: &mut TcpStream) -> Option<String> {
    response(stream).await?.lines().next().map(str::to_owned)
}

/// Reads a response, which arrives whole since it is small.
async fn response(stream: &mut TcpStream) -> Option<String> {
    let mut response = vec![0; 4_096];
    let read = tokio::time::timeout(Duration::from_secs(5), stream.read(&mut response));
    let length = read.await.ok()?.ok()?;
    Some(String::from_utf8_lossy(&response[..length]).into_owned())
}
