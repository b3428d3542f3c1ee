//! Authenticated TCP connections that carry typed messages.
//!
//! Handshake: the initiator sends its version and nonce, the acceptor sends its version, nonce and tag, and the
//! initiator sends its tag. All parts have a fixed size, so an unauthenticated peer cannot make a process buffer more.

use std::marker::PhantomData;
use std::time::Duration;

use bytes::BytesMut;
use rand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

use super::codec::{
    BadTagSnafu, Direction, FrameDecoder, FrameEncoder, FrameError, FrameKey, MAX_FRAME_BYTES,
    NONCE_BYTES, Nonce, PROTOCOL_VERSION, TAG_BYTES, UnknownVersionSnafu,
};

/// The amount of received bytes for which room is made at once.
const READ_BYTES: usize = 64 * 1024;
/// The size at which collected frames are written, even if more messages wait.
const WRITE_BYTES: usize = 64 * 1024;
/// Keep-alive frames sent in each idle time, so that two lost wake-ups do not end a connection.
const KEEP_ALIVES_PER_IDLE: u32 = 3;

/// The interval at which a waiting sender checks whether the queue has room.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Why a connection ended.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LinkError {
    /// The other side sent something that is not a valid frame.
    #[snafu(transparent)]
    Frame {
        /// What is wrong with it.
        source: FrameError,
    },
    /// The operating system reported an error.
    #[snafu(display("connection failed: {source}"))]
    Socket {
        /// The error.
        source: std::io::Error,
    },
    /// The other side was silent for too long.
    #[snafu(display("connection was silent for {idle_ms} ms"))]
    Idle {
        /// The limit.
        idle_ms: u64,
    },
    /// The connection is closed.
    #[snafu(display("connection is closed"))]
    Closed,
    /// The queue of outgoing messages is full, since the other side reads too slowly.
    #[snafu(display("queue of outgoing messages is full"))]
    QueueFull,
}

/// The result of an operation on a connection.
pub type Result<T> = std::result::Result<T, LinkError>;

/// The limits of a connection.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// The key of the deployment.
    pub key: FrameKey,
    /// The largest frame.
    pub max_frame_bytes: usize,
    /// The most messages that wait to be sent.
    pub queue_messages: usize,
    /// The silence after which a connection, or a handshake, counts as lost.
    pub idle_ms: u64,
}

impl LinkSettings {
    /// Returns the default limits with a key.
    pub fn new(key: FrameKey) -> Self {
        Self { key, max_frame_bytes: MAX_FRAME_BYTES, queue_messages: 1_024, idle_ms: 3_000 }
    }

    fn idle(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }
}

/// A connection that sends messages of type `Out` and receives messages of type `In`.
#[derive(Debug)]
pub struct Link<Out, In> {
    /// The sending side.
    pub sender: LinkSender<Out>,
    /// The receiving side.
    pub receiver: LinkReceiver<In>,
}

impl<Out, In> Link<Out, In>
where
    Out: Serialize + Send + 'static,
    In: DeserializeOwned,
{
    /// Opens a connection on a connected socket.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the other side fails the handshake or is silent.
    pub async fn connect(stream: TcpStream, settings: &LinkSettings) -> Result<Self> {
        Self::open(stream, settings, Direction::FromInitiator).await
    }

    /// Accepts a connection on a socket that a listener returned.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the other side fails the handshake or is silent.
    pub async fn accept(stream: TcpStream, settings: &LinkSettings) -> Result<Self> {
        Self::open(stream, settings, Direction::FromAcceptor).await
    }

    async fn open(
        mut stream: TcpStream,
        settings: &LinkSettings,
        direction: Direction,
    ) -> Result<Self> {
        stream.set_nodelay(true).context(SocketSnafu)?;
        let handshake = shake_hands(&mut stream, &settings.key, direction);
        let key = timeout(settings.idle(), handshake).await.map_err(|_| idle_error(settings))??;
        let limit_bytes = settings.max_frame_bytes;
        let encoder = FrameEncoder::new(key.clone(), direction, limit_bytes);
        let decoder = FrameDecoder::new(key, direction.reverse(), limit_bytes);
        let (read_half, write_half) = stream.into_split();
        let (queue, messages) = mpsc::channel(settings.queue_messages);
        let (failed, has_failed) = watch::channel(false);
        let writer = Writer { write_half, encoder, messages, failed, idle: settings.idle() };
        tokio::spawn(writer.run());
        let receiver = LinkReceiver {
            read_half,
            decoder,
            has_failed,
            settings: settings.clone(),
            message: PhantomData,
        };
        Ok(Self { sender: LinkSender { queue }, receiver })
    }
}

fn idle_error(settings: &LinkSettings) -> LinkError {
    LinkError::Idle { idle_ms: settings.idle_ms }
}

async fn shake_hands(
    stream: &mut TcpStream,
    key: &FrameKey,
    direction: Direction,
) -> Result<FrameKey> {
    let mut own: Nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut own);
    let other = match direction {
        Direction::FromInitiator => {
            send_nonce(stream, &own).await?;
            let other = receive_nonce(stream).await?;
            receive_tag(stream, key, direction.reverse(), (&own, &other)).await?;
            send_tag(stream, key, direction, (&own, &other)).await?;
            return Ok(key.for_connection(&own, &other));
        }
        Direction::FromAcceptor => receive_nonce(stream).await?,
    };
    send_nonce(stream, &own).await?;
    send_tag(stream, key, direction, (&other, &own)).await?;
    receive_tag(stream, key, direction.reverse(), (&other, &own)).await?;
    Ok(key.for_connection(&other, &own))
}

async fn send_nonce(stream: &mut TcpStream, nonce: &Nonce) -> Result<()> {
    let greeting = [&[PROTOCOL_VERSION][..], nonce].concat();
    stream.write_all(&greeting).await.context(SocketSnafu)
}

async fn receive_nonce(stream: &mut TcpStream) -> Result<Nonce> {
    let version = stream.read_u8().await.context(SocketSnafu)?;
    ensure!(version == PROTOCOL_VERSION, UnknownVersionSnafu { version });
    let mut nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut nonce).await.context(SocketSnafu)?;
    Ok(nonce)
}

async fn send_tag(
    stream: &mut TcpStream,
    key: &FrameKey,
    side: Direction,
    (initiator, acceptor): (&Nonce, &Nonce),
) -> Result<()> {
    let tag = key.handshake_tag(side, initiator, acceptor);
    stream.write_all(tag.as_bytes()).await.context(SocketSnafu)
}

async fn receive_tag(
    stream: &mut TcpStream,
    key: &FrameKey,
    side: Direction,
    (initiator, acceptor): (&Nonce, &Nonce),
) -> Result<()> {
    let mut tag = [0; TAG_BYTES];
    stream.read_exact(&mut tag).await.context(SocketSnafu)?;
    ensure!(key.handshake_tag(side, initiator, acceptor).matches(&tag), BadTagSnafu);
    Ok(())
}

/// The sending side of a [`Link`]. The connection is closed when all clones are dropped and the queue is empty.
#[derive(Debug)]
pub struct LinkSender<Out> {
    queue: mpsc::Sender<Out>,
}

impl<Out> Clone for LinkSender<Out> {
    fn clone(&self) -> Self {
        Self { queue: self.queue.clone() }
    }
}

impl<Out> LinkSender<Out> {
    /// Queues a message, and waits while the queue is full.
    ///
    /// # Errors
    ///
    /// [`LinkError::Closed`]. A queued message may still be lost with the connection.
    pub async fn send(&self, message: Out) -> Result<()> {
        self.queue.send(message).await.map_err(|_| LinkError::Closed)
    }

    /// Queues a message if there is room.
    ///
    /// # Errors
    ///
    /// [`LinkError::Closed`] or [`LinkError::QueueFull`]; the message was not sent.
    pub fn try_send(&self, message: Out) -> Result<()> {
        self.queue.try_send(message).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => LinkError::QueueFull,
            mpsc::error::TrySendError::Closed(_) => LinkError::Closed,
        })
    }

    /// Waits until at least half of the queue is free, or the connection is closed.
    ///
    /// Senders that call this before each message, and have few messages under way, never find the queue full.
    pub async fn wait_for_capacity(&self) {
        while self.queue.capacity() < self.queue.max_capacity() / 2 && !self.queue.is_closed() {
            tokio::time::sleep(CAPACITY_CHECK_INTERVAL).await;
        }
    }

    /// Waits until the connection can send no more.
    pub async fn closed(&self) {
        self.queue.closed().await;
    }
}

/// The receiving side of a [`Link`].
#[derive(Debug)]
pub struct LinkReceiver<In> {
    read_half: OwnedReadHalf,
    decoder: FrameDecoder,
    has_failed: watch::Receiver<bool>,
    settings: LinkSettings,
    message: PhantomData<fn() -> In>,
}

impl<In> LinkReceiver<In>
where
    In: DeserializeOwned,
{
    /// Waits for the next message, or returns `None` when the other side closed the connection between two frames.
    ///
    /// No message is lost if the returned future is dropped early.
    ///
    /// # Errors
    ///
    /// Any [`LinkError`] ends the connection.
    pub async fn receive(&mut self) -> Result<Option<In>> {
        loop {
            if let Some(message) = self.decoder.decode()? {
                return Ok(Some(message));
            }
            let buffer = self.decoder.buffer_mut();
            buffer.reserve(READ_BYTES);
            let read = timeout(self.settings.idle(), self.read_half.read_buf(buffer));
            let received = tokio::select! {
                biased;
                received = read => received.map_err(|_| idle_error(&self.settings))?,
                Ok(_) = self.has_failed.wait_for(|failed| *failed) => return ClosedSnafu.fail(),
            };
            if received.context(SocketSnafu)? == 0 {
                self.decoder.finish()?;
                return Ok(None);
            }
        }
    }
}

/// Writes queued messages, as many as are waiting in one call.
struct Writer<Out> {
    write_half: OwnedWriteHalf,
    encoder: FrameEncoder,
    messages: mpsc::Receiver<Out>,
    /// Ends the receiving side too: a peer that takes nothing more would otherwise look alive.
    failed: watch::Sender<bool>,
    idle: Duration,
}

impl<Out> Writer<Out>
where
    Out: Serialize,
{
    async fn run(mut self) {
        let keep_alive = self.idle / KEEP_ALIVES_PER_IDLE;
        let mut buffer = BytesMut::new();
        loop {
            match timeout(keep_alive, self.messages.recv()).await {
                Ok(Some(message)) => self.collect(message, &mut buffer),
                Ok(None) => break,
                Err(_) => {
                    let _ = self.encoder.encode_keep_alive(&mut buffer);
                }
            }
            match timeout(self.idle, self.write_half.write_all(&buffer)).await {
                Ok(Ok(())) => buffer.clear(),
                Ok(Err(_)) | Err(_) => {
                    self.failed.send_replace(true);
                    return;
                }
            }
        }
        let _ = self.write_half.shutdown().await;
    }

    /// Encodes a message and those that wait behind it.
    fn collect(&mut self, message: Out, buffer: &mut BytesMut) {
        self.encode(&message, buffer);
        while buffer.len() < WRITE_BYTES {
            match self.messages.try_recv() {
                Ok(message) => self.encode(&message, buffer),
                Err(_) => break,
            }
        }
    }

    fn encode(&mut self, message: &Out, buffer: &mut BytesMut) {
        if let Err(error) = self.encoder.encode(message, buffer) {
            log::error!("dropped an outgoing message: {error}");
        }
    }
}
