//! Frames of TCP connections: length, version, payload and authentication tag.
//!
//! ```text
//! length: u32 big endian | version: u8 | payload: postcard | tag: 16 bytes
//! ```
//!
//! `length` is the number of bytes that follow it. The tag covers length, version, payload, and the direction and
//! sequence number of the frame on its connection. The key of the tag is derived from the nonces of both sides. A frame
//! that is replayed, reordered, reflected or moved to another connection therefore fails the check of its tag.

use bytes::{Buf, BufMut, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

/// Version of the protocol between the processes; both sides of a connection must use the same.
pub const PROTOCOL_VERSION: u8 = 1;
/// Size of a frame's tag in bytes.
pub const TAG_BYTES: usize = 16;
/// Size of a nonce in bytes.
pub const NONCE_BYTES: usize = 32;
/// Default limit for the size of a frame, in bytes. A request body of 1 MiB or a signed bundle fits, with its envelope.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

const LENGTH_BYTES: usize = 4;
const VERSION_BYTES: usize = 1;

/// Error of encoding or decoding a frame or datagram.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FrameError {
    /// The bytes end within a frame.
    #[snafu(display("frame is truncated: {missing_bytes} or more bytes are missing"))]
    Truncated {
        /// Lower bound of the number of missing bytes.
        missing_bytes: usize,
    },
    /// The frame is longer than the limit.
    #[snafu(display("frame of {size_bytes} bytes is over the limit of {limit_bytes} bytes"))]
    Oversized {
        /// Size of the frame in bytes.
        size_bytes: usize,
        /// Largest accepted size in bytes.
        limit_bytes: usize,
    },
    /// The peer uses another version of the protocol.
    #[snafu(display(
        "protocol version {version} is not supported; this process uses version {PROTOCOL_VERSION}"
    ))]
    UnknownVersion {
        /// Protocol version of the frame.
        version: u8,
    },
    /// The tag does not match: the frame was encoded with another key, or was altered, replayed or reordered.
    #[snafu(display("authentication tag does not match"))]
    BadTag,
    /// The datagram was received before, or its sequence number is below the replay window.
    #[snafu(display("datagram {sequence} was received before or is older than the replay window"))]
    Replayed {
        /// Sequence number of the datagram.
        sequence: u64,
    },
    /// The payload is not the expected message.
    #[snafu(display("payload of a frame is malformed: {source}"))]
    Malformed {
        /// Error of the serializer or deserializer.
        source: postcard::Error,
    },
    /// Bytes follow the message in its frame.
    #[snafu(display("{extra_bytes} bytes follow the message in its frame"))]
    TrailingBytes {
        /// Number of bytes after the message.
        extra_bytes: usize,
    },
}

/// Result of encoding or decoding a frame.
pub type Result<T> = std::result::Result<T, FrameError>;

/// Secret key that authenticates frames. All processes of a deployment have the same in their settings.
#[derive(Clone, PartialEq, Eq)]
pub struct FrameKey([u8; 32]);

impl FrameKey {
    /// Creates a key from its 32 bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Derives the key of one connection from the nonces of both sides.
    #[must_use]
    pub fn for_connection(&self, initiator: &Nonce, acceptor: &Nonce) -> Self {
        Self(*self.hash(b"teaselhall connection", &[initiator, acceptor]).as_bytes())
    }

    /// Computes the tag by which one side of a new connection proves that it has the key.
    pub fn handshake_tag(&self, side: Direction, initiator: &Nonce, acceptor: &Nonce) -> Tag {
        Tag::from_hash(&self.hash(b"teaselhall handshake", &[&[side as u8], initiator, acceptor]))
    }

    /// Hashes parts under this key; `purpose` separates the domains of different uses.
    pub(crate) fn hash(&self, purpose: &[u8], parts: &[&[u8]]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&(purpose.len() as u64).to_be_bytes()).update(purpose);
        for part in parts {
            hasher.update(part);
        }
        hasher.finalize()
    }
}

impl std::fmt::Debug for FrameKey {
    /// Omits the secret, so that it is never logged.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("FrameKey(..)")
    }
}

/// Random bytes of one side of a connection, which make the key of each connection different.
pub type Nonce = [u8; NONCE_BYTES];

/// Authentication tag of a frame or a handshake.
#[derive(Clone, Copy, Debug)]
pub struct Tag([u8; TAG_BYTES]);

impl Tag {
    fn from_hash(hash: &blake3::Hash) -> Self {
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        Self(tag)
    }

    /// Returns the bytes of the tag.
    pub fn as_bytes(&self) -> &[u8; TAG_BYTES] {
        &self.0
    }

    /// Compares the tag with received bytes in constant time, so that the duration does not reveal how many match.
    pub fn matches(&self, received: &[u8]) -> bool {
        constant_time_eq(&self.0, received)
    }
}

/// Compares two byte strings in a time that depends on their length only.
pub(crate) fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    let difference = left.iter().zip(right).fold(0, |sum, (l, r)| sum | (l ^ r));
    left.len() == right.len() && std::hint::black_box(difference) == 0
}

/// Direction of a connection, named after the side that sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Direction {
    /// The side that opened the connection.
    FromInitiator = 1,
    /// The side that accepted the connection.
    FromAcceptor = 2,
}

impl Direction {
    /// Returns the other direction.
    #[must_use]
    pub fn reverse(self) -> Self {
        match self {
            Self::FromInitiator => Self::FromAcceptor,
            Self::FromAcceptor => Self::FromInitiator,
        }
    }
}

/// State of one direction of a connection.
#[derive(Debug)]
struct Channel {
    key: FrameKey,
    direction: Direction,
    /// Number of the next frame.
    sequence: u64,
    limit_bytes: usize,
}

impl Channel {
    /// Computes the tag of the next frame from its length field, version and payload.
    fn next_tag(&self, covered: &[u8]) -> Tag {
        let position = [&[self.direction as u8][..], &self.sequence.to_be_bytes()].concat();
        Tag::from_hash(&self.key.hash(b"teaselhall frame", &[&position, covered]))
    }

    fn check_size(&self, size_bytes: usize) -> Result<()> {
        let limit_bytes = self.limit_bytes;
        ensure!(size_bytes <= limit_bytes, OversizedSnafu { size_bytes, limit_bytes });
        Ok(())
    }
}

/// Encodes the frames of one direction of a connection.
#[derive(Debug)]
pub struct FrameEncoder {
    channel: Channel,
}

impl FrameEncoder {
    /// Creates an encoder with a connection's key ([`FrameKey::for_connection`]).
    pub fn new(key: FrameKey, direction: Direction, limit_bytes: usize) -> Self {
        Self { channel: Channel { key, direction, sequence: 0, limit_bytes } }
    }

    /// Appends the frame of a message to `buffer`.
    ///
    /// # Errors
    ///
    /// [`FrameError::Oversized`] if the message exceeds the size limit; `buffer` and the sequence number are unchanged.
    pub fn encode<T>(&mut self, message: &T, buffer: &mut BytesMut) -> Result<()>
    where
        T: Serialize,
    {
        self.encode_payload(&postcard::to_stdvec(message).context(MalformedSnafu)?, buffer)
    }

    /// Appends a keep-alive: a frame with an empty payload, which only resets the idle timeout of the peer.
    pub fn encode_keep_alive(&mut self, buffer: &mut BytesMut) -> Result<()> {
        self.encode_payload(&[], buffer)
    }

    /// Appends the frame of an encoded message to `buffer`.
    ///
    /// # Errors
    ///
    /// [`FrameError::Oversized`] if the message exceeds the size limit; `buffer` and the sequence number are unchanged.
    pub fn encode_payload(&mut self, payload: &[u8], buffer: &mut BytesMut) -> Result<()> {
        let size_bytes = VERSION_BYTES + payload.len() + TAG_BYTES;
        self.channel.check_size(size_bytes)?;
        let start = buffer.len();
        buffer.reserve(LENGTH_BYTES + size_bytes);
        buffer.put_u32(size_bytes as u32);
        buffer.put_u8(PROTOCOL_VERSION);
        buffer.put_slice(payload);
        let tag = self.channel.next_tag(&buffer[start..]);
        buffer.put_slice(tag.as_bytes());
        self.channel.sequence += 1;
        Ok(())
    }
}

/// Decodes the frames of one direction of a connection.
#[derive(Debug)]
pub struct FrameDecoder {
    channel: Channel,
    buffer: BytesMut,
    last_frame_bytes: usize,
}

impl FrameDecoder {
    /// Creates a decoder with a connection's key ([`FrameKey::for_connection`]).
    pub fn new(key: FrameKey, direction: Direction, limit_bytes: usize) -> Self {
        let channel = Channel { key, direction, sequence: 0, limit_bytes };
        Self { channel, buffer: BytesMut::new(), last_frame_bytes: 0 }
    }

    /// Returns the buffer to which received bytes are appended.
    pub fn buffer_mut(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Returns the size of the last frame that was removed from the buffer, in bytes.
    pub fn last_frame_bytes(&self) -> usize {
        self.last_frame_bytes
    }

    /// Removes the next message from the buffer, or returns `None` if its frame is still incomplete.
    ///
    /// # Errors
    ///
    /// Any [`FrameError`]; the caller must close the connection, since frames after an invalid one cannot be trusted.
    pub fn decode<T>(&mut self) -> Result<Option<T>>
    where
        T: DeserializeOwned,
    {
        while let Some(frame) = self.next_frame()? {
            let payload = &frame[LENGTH_BYTES + VERSION_BYTES..];
            if !payload.is_empty() {
                return decode_payload(payload).map(Some);
            }
        }
        Ok(None)
    }

    /// Checks that the stream did not end within a frame.
    ///
    /// # Errors
    ///
    /// [`FrameError::Truncated`] if bytes of an incomplete frame remain.
    pub fn finish(&self) -> Result<()> {
        let missing_bytes = self.missing_bytes();
        ensure!(self.buffer.is_empty(), TruncatedSnafu { missing_bytes });
        Ok(())
    }

    /// Removes the next complete frame from the buffer, checks its tag and returns it without the tag.
    fn next_frame(&mut self) -> Result<Option<BytesMut>> {
        let Some(size_bytes) = self.frame_size() else { return Ok(None) };
        self.channel.check_size(size_bytes)?;
        if let Some(&version) = self.buffer.get(LENGTH_BYTES) {
            ensure!(version == PROTOCOL_VERSION, UnknownVersionSnafu { version });
        }
        let missing_bytes = (VERSION_BYTES + TAG_BYTES).saturating_sub(size_bytes);
        ensure!(missing_bytes == 0, TruncatedSnafu { missing_bytes });
        if self.buffer.len() < LENGTH_BYTES + size_bytes {
            return Ok(None);
        }
        self.last_frame_bytes = LENGTH_BYTES + size_bytes;
        let mut frame = self.buffer.split_to(self.last_frame_bytes);
        let tag = frame.split_off(LENGTH_BYTES + size_bytes - TAG_BYTES);
        ensure!(self.channel.next_tag(&frame).matches(&tag), BadTagSnafu);
        self.channel.sequence += 1;
        Ok(Some(frame))
    }

    fn frame_size(&self) -> Option<usize> {
        let mut length = self.buffer.get(..LENGTH_BYTES)?;
        Some(length.get_u32() as usize)
    }

    fn missing_bytes(&self) -> usize {
        let expected = LENGTH_BYTES + self.frame_size().unwrap_or(VERSION_BYTES + TAG_BYTES);
        expected.saturating_sub(self.buffer.len())
    }
}

/// Decodes a payload that must hold exactly one message.
pub(crate) fn decode_payload<T>(payload: &[u8]) -> Result<T>
where
    T: DeserializeOwned,
{
    let (message, rest) = postcard::take_from_bytes(payload).context(MalformedSnafu)?;
    ensure!(rest.is_empty(), TrailingBytesSnafu { extra_bytes: rest.len() });
    Ok(message)
}
