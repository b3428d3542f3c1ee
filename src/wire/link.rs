//! Authenticated TCP connections that carry typed messages.
//!
//! Handshake: the initiator sends its version and nonce, the acceptor sends its version, nonce and tag, and the
//! initiator sends its tag. All parts have a fixed size, which bounds what is buffered for an unauthenticated peer.

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
    MalformedSnafu, NONCE_BYTES, Nonce, PROTOCOL_VERSION, TAG_BYTES, UnknownVersionSnafu,
};
use super::traffic::{MessageKind, Traffic};
use crate::process::intake::{ByteClaim, HeldMemory, LinkBounds, QueueClaim, QueuedBytes, Shed};

/// Free space of the receive buffer before each read, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Size in bytes at which encoded frames are written, even if more messages are queued.
const WRITE_BATCH_BYTES: usize = 64 * 1024;
/// Keep-alive frames per idle timeout, so that a connection survives two missed wake-ups of the sender.
const KEEP_ALIVES_PER_IDLE: u32 = 3;

/// Interval at which a waiting sender checks the free capacity of the queue.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Error of a connection.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LinkError {
    /// The peer sent bytes that are not a valid frame.
    #[snafu(transparent)]
    Frame {
        /// Error of the decoder.
        source: FrameError,
    },
    /// The operating system reported an error.
    #[snafu(display("connection failed: {source}"))]
    Socket {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Nothing was received, or the handshake was incomplete, within the idle timeout.
    #[snafu(display("connection was idle for {idle_ms} ms"))]
    Idle {
        /// Idle timeout in milliseconds.
        idle_ms: u64,
    },
    /// The connection is closed.
    #[snafu(display("connection is closed"))]
    Closed,
    /// The incomplete frames of all connections together are too large, and this one made the least progress.
    #[snafu(display("too many bytes of incomplete frames are buffered"))]
    Overloaded,
    /// The queue of outgoing messages is full, since the peer reads too slowly.
    #[snafu(display("queue of outgoing messages is full; message not sent"))]
    QueueFull,
}

/// Result of an operation on a connection.
pub type Result<T> = std::result::Result<T, LinkError>;

/// Key and limits of a connection.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// Key of the deployment.
    pub key: FrameKey,
    /// Largest size of a frame in bytes.
    pub max_frame_bytes: usize,
    /// Capacity of the queue of outgoing messages.
    pub queue_messages: usize,
    /// Idle timeout in milliseconds: the longest time without received bytes, and the longest handshake and write.
    pub idle_ms: u64,
    /// Counts the sent messages by kind.
    pub traffic: Traffic,
    /// Bounds of all connections of the process together, if there are any.
    pub bounds: Option<LinkBounds>,
}

impl LinkSettings {
    /// Returns the default limits with the given key.
    pub fn new(key: FrameKey) -> Self {
        Self {
            key,
            max_frame_bytes: MAX_FRAME_BYTES,
            queue_messages: 1_024,
            idle_ms: 3_000,
            traffic: Traffic::default(),
            bounds: None,
        }
    }

    fn idle(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }
}

/// A connection that sends messages of type `Out` and receives messages of type `In`.
#[derive(Debug)]
pub struct Link<Out, In> {
    /// Sending side of the connection.
    pub sender: LinkSender<Out>,
    /// Receiving side of the connection.
    pub receiver: LinkReceiver<In>,
}

impl<Out, In> Link<Out, In>
where
    Out: Serialize + MessageKind + Send + 'static,
    In: DeserializeOwned,
{
    /// Opens a connection on a connected socket, as its initiator.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the handshake fails or times out.
    pub async fn connect(stream: TcpStream, settings: &LinkSettings) -> Result<Self> {
        Self::open(stream, settings, Direction::FromInitiator).await
    }

    /// Accepts a connection on a socket that a listener returned.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the handshake fails or times out.
    pub async fn accept(stream: TcpStream, settings: &LinkSettings) -> Result<Self> {
        Self::open(stream, settings, Direction::FromAcceptor).await
    }

    async fn open(
        mut stream: TcpStream,
        settings: &LinkSettings,
        direction: Direction,
    ) -> Result<Self> {
        stream.set_nodelay(true).context(SocketSnafu)?;
        let handshake = perform_handshake(&mut stream, &settings.key, direction);
        let key = timeout(settings.idle(), handshake).await.map_err(|_| idle_error(settings))??;
        let limit_bytes = settings.max_frame_bytes;
        let encoder = FrameEncoder::new(key.clone(), direction, limit_bytes);
        let decoder = FrameDecoder::new(key, direction.reverse(), limit_bytes);
        let (read_half, write_half) = stream.into_split();
        let (queue, messages) = mpsc::channel(settings.queue_messages);
        let claim = settings.bounds.as_ref().map(|bounds| bounds.queues.claim());
        let (write_failed, write_failure) = watch::channel(false);
        let (idle, traffic) = (settings.idle(), settings.traffic.clone());
        let writer = Writer { write_half, encoder, messages, write_failed, idle, traffic };
        tokio::spawn(writer.run(claim.clone()));
        let receiver = LinkReceiver {
            read_half,
            decoder,
            write_failed: write_failure,
            settings: settings.clone(),
            frame: None,
            message: PhantomData,
        };
        Ok(Self { sender: LinkSender { queue, claim, message: PhantomData }, receiver })
    }
}

fn idle_error(settings: &LinkSettings) -> LinkError {
    LinkError::Idle { idle_ms: settings.idle_ms }
}

/// Exchanges nonces and tags with the peer, and returns the key of the connection.
async fn perform_handshake(
    stream: &mut TcpStream,
    key: &FrameKey,
    direction: Direction,
) -> Result<FrameKey> {
    let mut local: Nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut local);
    let remote = match direction {
        Direction::FromInitiator => {
            send_nonce(stream, &local).await?;
            let remote = receive_nonce(stream).await?;
            receive_tag(stream, key, direction.reverse(), (&local, &remote)).await?;
            send_tag(stream, key, direction, (&local, &remote)).await?;
            return Ok(key.for_connection(&local, &remote));
        }
        Direction::FromAcceptor => receive_nonce(stream).await?,
    };
    send_nonce(stream, &local).await?;
    send_tag(stream, key, direction, (&remote, &local)).await?;
    receive_tag(stream, key, direction.reverse(), (&remote, &local)).await?;
    Ok(key.for_connection(&remote, &local))
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

/// Sending side of a [`Link`]. The connection is closed when all clones are dropped and the queue is empty.
#[derive(Debug)]
pub struct LinkSender<Out> {
    queue: mpsc::Sender<QueuedMessage>,
    /// Entry of the connection in the bound of all queues of the process, if there is one.
    claim: Option<QueueClaim>,
    message: PhantomData<fn(Out)>,
}

/// Encoded message in the queue of a connection.
#[derive(Debug)]
struct QueuedMessage {
    payload: Vec<u8>,
    kind: &'static str,
    held: Option<QueuedBytes>,
}

impl<Out> Clone for LinkSender<Out> {
    fn clone(&self) -> Self {
        Self { queue: self.queue.clone(), claim: self.claim.clone(), message: PhantomData }
    }
}

impl<Out> LinkSender<Out>
where
    Out: Serialize + MessageKind,
{
    /// Queues a message, waiting while the queue is full.
    ///
    /// # Errors
    ///
    /// [`LinkError::Closed`] if the connection is closed. A queued message may still be lost if the connection fails.
    pub async fn send(&self, message: Out) -> Result<()> {
        let place = self.queue.reserve().await.map_err(|_| LinkError::Closed)?;
        place.send(self.encode(&message)?);
        Ok(())
    }

    /// Queues a message if the queue has free capacity.
    ///
    /// # Errors
    ///
    /// [`LinkError::Closed`] or [`LinkError::QueueFull`]; the message was not sent.
    pub fn try_send(&self, message: Out) -> Result<()> {
        let place = self.queue.try_reserve().map_err(|error| match error {
            mpsc::error::TrySendError::Full(()) => LinkError::QueueFull,
            mpsc::error::TrySendError::Closed(()) => LinkError::Closed,
        })?;
        place.send(self.encode(&message)?);
        Ok(())
    }

    /// Encodes a message and records its bytes, since a decoded one may take any multiple of them.
    fn encode(&self, message: &Out) -> Result<QueuedMessage> {
        let payload = postcard::to_stdvec(message).context(MalformedSnafu)?;
        let held = self.claim.as_ref().map(|claim| claim.add(payload.len())).transpose();
        let held = held.map_err(|Shed| LinkError::QueueFull)?;
        Ok(QueuedMessage { payload, kind: message.kind(), held })
    }
}

impl<Out> LinkSender<Out> {
    /// Waits until at least half of the queue is free, or the connection is closed.
    ///
    /// A sender that calls this before each message, and sends few messages concurrently, does not fill the queue.
    pub async fn wait_for_capacity(&self) {
        while self.queue.capacity() < self.queue.max_capacity() / 2 && !self.queue.is_closed() {
            tokio::time::sleep(CAPACITY_CHECK_INTERVAL).await;
        }
    }

    /// Waits until the connection is closed for sending.
    pub async fn closed(&self) {
        self.queue.closed().await;
    }
}

/// Receiving side of a [`Link`].
#[derive(Debug)]
pub struct LinkReceiver<In> {
    read_half: OwnedReadHalf,
    decoder: FrameDecoder,
    write_failed: watch::Receiver<bool>,
    settings: LinkSettings,
    /// Memory that is held for an incomplete frame larger than [`READ_BUFFER_BYTES`], with its size.
    frame: Option<(ByteClaim, usize)>,
    message: PhantomData<fn() -> In>,
}

impl<In> LinkReceiver<In>
where
    In: DeserializeOwned,
{
    /// Waits for the next message, or returns `None` when the peer closed the connection between two frames.
    ///
    /// Cancel safe: no message is lost if the returned future is dropped.
    ///
    /// # Errors
    ///
    /// Any [`LinkError`]; the connection cannot be used afterwards.
    pub async fn receive(&mut self) -> Result<Option<In>> {
        loop {
            if let Some(message) = self.decoder.decode()? {
                return Ok(Some(message));
            }
            self.hold_frame().await?;
            let buffer = self.decoder.buffer_mut();
            buffer.reserve(READ_BUFFER_BYTES);
            let read = timeout(self.settings.idle(), self.read_half.read_buf(buffer));
            let received = tokio::select! {
                biased;
                received = read => received.map_err(|_| idle_error(&self.settings))?,
                Ok(_) = self.write_failed.wait_for(|failed| *failed) => return ClosedSnafu.fail(),
                () = given_up(&self.frame) => return OverloadedSnafu.fail(),
            };
            if received.context(SocketSnafu)? == 0 {
                self.decoder.finish()?;
                return Ok(None);
            }
        }
    }
}

impl<In> LinkReceiver<In> {
    /// Waits for the memory that the last received message takes until it was handled. Meanwhile nothing is received, so
    /// that the peer has to wait too.
    pub async fn hold_message(&self) -> Option<HeldMemory> {
        let bounds = self.settings.bounds.as_ref()?;
        bounds.messages.hold(self.decoder.last_frame_bytes()).await
    }

    /// Reserves the memory for an incomplete frame before it is allocated. The buffer may grow to twice its content.
    async fn hold_frame(&mut self) -> Result<()> {
        let Some(LinkBounds { frames, .. }) = &self.settings.bounds else {
            return Ok(());
        };
        let buffered_bytes = self.decoder.buffer_mut().len();
        if buffered_bytes < READ_BUFFER_BYTES {
            self.frame = None;
            return Ok(());
        }
        let (claim, held_bytes) = self.frame.get_or_insert_with(|| (frames.claim(), 0));
        claim.record_received(buffered_bytes);
        let wanted_bytes = 2 * (buffered_bytes + READ_BUFFER_BYTES);
        if wanted_bytes > *held_bytes {
            let reserved = claim.reserve(wanted_bytes - *held_bytes).await;
            reserved.map_err(|Shed| OverloadedSnafu.build())?;
            *held_bytes = wanted_bytes;
        }
        Ok(())
    }
}

/// Waits until the memory of an incomplete frame is to be released; without end if none is held.
async fn given_up(frame: &Option<(ByteClaim, usize)>) {
    match frame {
        Some((claim, _)) => claim.given_up().await,
        None => std::future::pending().await,
    }
}

/// Writes queued messages, batched into one write call up to [`WRITE_BATCH_BYTES`].
struct Writer {
    write_half: OwnedWriteHalf,
    encoder: FrameEncoder,
    messages: mpsc::Receiver<QueuedMessage>,
    /// Set when a write fails or times out, which ends the receiving side too. A peer that no longer reads but sends
    /// keep-alives would otherwise hold the connection open.
    write_failed: watch::Sender<bool>,
    idle: Duration,
    traffic: Traffic,
}

impl Writer {
    async fn run(mut self, claim: Option<QueueClaim>) {
        tokio::select! {
            biased;
            () = given_up_queue(&claim) => {
                self.write_failed.send_replace(true);
            }
            () = self.write_queue() => {}
        }
    }

    /// Writes messages until all senders are dropped or a write fails.
    async fn write_queue(&mut self) {
        let keep_alive = self.idle / KEEP_ALIVES_PER_IDLE;
        let mut buffer = BytesMut::new();
        // Memory of the messages in the buffer.
        let mut held = Vec::new();
        loop {
            match timeout(keep_alive, self.messages.recv()).await {
                Ok(Some(message)) => self.encode_batch(message, &mut buffer, &mut held),
                Ok(None) => break,
                Err(_) => {
                    let _ = self.encoder.encode_keep_alive(&mut buffer);
                }
            }
            match timeout(self.idle, self.write_half.write_all(&buffer)).await {
                Ok(Ok(())) => {
                    buffer.clear();
                    held.clear();
                }
                Ok(Err(_)) | Err(_) => {
                    self.write_failed.send_replace(true);
                    return;
                }
            }
        }
        let _ = self.write_half.shutdown().await;
    }

    /// Encodes a message and those queued behind it, up to [`WRITE_BATCH_BYTES`].
    fn encode_batch(
        &mut self,
        message: QueuedMessage,
        buffer: &mut BytesMut,
        held: &mut Vec<QueuedBytes>,
    ) {
        held.extend(self.encode(message, buffer));
        while buffer.len() < WRITE_BATCH_BYTES {
            match self.messages.try_recv() {
                Ok(message) => held.extend(self.encode(message, buffer)),
                Err(_) => break,
            }
        }
    }

    fn encode(&mut self, message: QueuedMessage, buffer: &mut BytesMut) -> Option<QueuedBytes> {
        let start = buffer.len();
        match self.encoder.encode_payload(&message.payload, buffer) {
            Ok(()) => self.traffic.record(message.kind, (buffer.len() - start) as u64),
            Err(error) => log::error!("outgoing message could not be encoded; dropped: {error}"),
        }
        message.held
    }
}

/// Waits until the queue of the connection is given up; without end if it has no bound.
async fn given_up_queue(claim: &Option<QueueClaim>) {
    match claim {
        Some(claim) => claim.given_up().await,
        None => std::future::pending().await,
    }
}
