//! Frames of UDP datagrams, and the window that refuses replayed ones.
//!
//! ```text
//! version: u8 | sender incarnation: varint | sequence: varint | payload: postcard | tag: 8 bytes
//! ```
//!
//! The tag of a datagram for one incarnation of a receiver also covers that incarnation, which costs no bytes.

use std::collections::HashMap;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, ensure};

use super::codec::{
    BadTagSnafu, FrameKey, MalformedSnafu, OversizedSnafu, PROTOCOL_VERSION, ReplayedSnafu, Result,
    TruncatedSnafu, UnknownVersionSnafu, constant_time_eq, decode_payload,
};
use crate::id::Incarnation;

/// The largest datagram, which fits the usual path MTU without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The size of a datagram's tag. 16 bytes would put the answer to a heartbeat over its budget of 30 bytes.
pub const DATAGRAM_TAG_BYTES: usize = 8;
/// The most senders whose windows a receiver keeps: a full group has 128 members, and each may restart.
pub const MAX_SENDERS: usize = 1_024;

const WINDOW_DATAGRAMS: u64 = 128;
const PURPOSE: &[u8] = b"teaselhall datagram";
const ADDRESSED_PURPOSE: &[u8] = b"teaselhall addressed datagram";

/// What precedes the payload of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatagramHeader {
    /// The sender. Incarnations hold random bits, so no two processes have the same.
    pub incarnation: Incarnation,
    /// Rises with each datagram of the sender.
    pub sequence: u64,
}

/// Encodes the datagrams of one sender.
#[derive(Debug)]
pub struct DatagramEncoder {
    key: FrameKey,
    header: DatagramHeader,
}

impl DatagramEncoder {
    /// Creates an encoder for the process with this incarnation.
    pub fn new(key: FrameKey, incarnation: Incarnation) -> Self {
        Self { key, header: DatagramHeader { incarnation, sequence: 0 } }
    }

    /// Encodes one message.
    ///
    /// # Errors
    ///
    /// [`super::FrameError::Oversized`] if the datagram would exceed [`MAX_DATAGRAM_BYTES`].
    pub fn encode<T>(&mut self, message: &T) -> Result<Vec<u8>>
    where
        T: Serialize,
    {
        self.encode_with(message, None)
    }

    /// Encodes one message that only this incarnation of its receiver accepts.
    ///
    /// # Errors
    ///
    /// As [`Self::encode`].
    pub fn encode_for<T>(&mut self, message: &T, receiver: Incarnation) -> Result<Vec<u8>>
    where
        T: Serialize,
    {
        self.encode_with(message, Some(receiver))
    }

    fn encode_with<T>(&mut self, message: &T, receiver: Option<Incarnation>) -> Result<Vec<u8>>
    where
        T: Serialize,
    {
        let mut header = self.header;
        header.sequence += 1;
        let mut datagram = vec![PROTOCOL_VERSION];
        datagram = postcard::to_extend(&header, datagram).context(MalformedSnafu)?;
        datagram = postcard::to_extend(message, datagram).context(MalformedSnafu)?;
        let tag = tag_of(&self.key, &datagram, receiver);
        datagram.extend_from_slice(&tag);
        check_size(datagram.len())?;
        self.header = header;
        Ok(datagram)
    }
}

/// Decodes datagrams and refuses replayed ones.
///
/// After a restart of the receiver, or for a sender whose window was dropped, old datagrams pass once more; messages
/// by UDP are idempotent and carry epoch and incarnation for this reason.
#[derive(Debug)]
pub struct DatagramDecoder {
    key: FrameKey,
    windows: HashMap<Incarnation, ReplayWindow>,
    received: u64,
}

impl DatagramDecoder {
    /// Creates a decoder.
    pub fn new(key: FrameKey) -> Self {
        Self { key, windows: HashMap::new(), received: 0 }
    }

    /// Decodes one datagram.
    ///
    /// # Errors
    ///
    /// Any [`super::FrameError`]; the datagram is to be dropped, and later ones can still be decoded.
    pub fn decode<T>(&mut self, datagram: &[u8]) -> Result<(DatagramHeader, T)>
    where
        T: DeserializeOwned,
    {
        self.decode_with(datagram, None)
    }

    /// Decodes one datagram that was encoded for this incarnation.
    ///
    /// # Errors
    ///
    /// As [`Self::decode`]; a datagram for another incarnation has a bad tag.
    pub fn decode_for<T>(
        &mut self,
        datagram: &[u8],
        receiver: Incarnation,
    ) -> Result<(DatagramHeader, T)>
    where
        T: DeserializeOwned,
    {
        self.decode_with(datagram, Some(receiver))
    }

    fn decode_with<T>(
        &mut self,
        datagram: &[u8],
        receiver: Option<Incarnation>,
    ) -> Result<(DatagramHeader, T)>
    where
        T: DeserializeOwned,
    {
        check_size(datagram.len())?;
        let covered = self.check_tag(datagram, receiver)?;
        let (header, payload): (DatagramHeader, _) =
            postcard::take_from_bytes(&covered[1..]).context(MalformedSnafu)?;
        let message = decode_payload(payload)?;
        ensure!(self.admit(header), ReplayedSnafu { sequence: header.sequence });
        Ok((header, message))
    }

    /// Returns the part of an authentic datagram that precedes its tag.
    fn check_tag<'a>(&self, datagram: &'a [u8], receiver: Option<Incarnation>) -> Result<&'a [u8]> {
        let smallest = 1 + DATAGRAM_TAG_BYTES;
        let missing_bytes = smallest.saturating_sub(datagram.len());
        ensure!(missing_bytes == 0, TruncatedSnafu { missing_bytes });
        let version = datagram[0];
        ensure!(version == PROTOCOL_VERSION, UnknownVersionSnafu { version });
        let (covered, tag) = datagram.split_at(datagram.len() - DATAGRAM_TAG_BYTES);
        ensure!(constant_time_eq(&tag_of(&self.key, covered, receiver), tag), BadTagSnafu);
        Ok(covered)
    }

    fn admit(&mut self, header: DatagramHeader) -> bool {
        if !self.windows.contains_key(&header.incarnation) && self.windows.len() >= MAX_SENDERS {
            self.drop_quietest_sender();
        }
        self.received += 1;
        let window = self.windows.entry(header.incarnation).or_default();
        window.last_received = self.received;
        window.admit(header.sequence)
    }

    fn drop_quietest_sender(&mut self) {
        let quietest = self.windows.iter().min_by_key(|(_, window)| window.last_received);
        if let Some(incarnation) = quietest.map(|(incarnation, _)| *incarnation) {
            self.windows.remove(&incarnation);
        }
    }
}

/// The sequence numbers that were received of one sender.
#[derive(Debug, Default)]
struct ReplayWindow {
    highest: u64,
    /// Bit `n` is set if `highest - n` was received.
    received: u128,
    last_received: u64,
}

impl ReplayWindow {
    /// Notes a sequence number, and returns whether it is new.
    fn admit(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            let kept = if shift < WINDOW_DATAGRAMS { self.received << shift } else { 0 };
            self.received = kept | 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if age >= WINDOW_DATAGRAMS || self.received & (1 << age) != 0 {
            return false;
        }
        self.received |= 1 << age;
        true
    }
}

fn check_size(size_bytes: usize) -> Result<()> {
    let limit_bytes = MAX_DATAGRAM_BYTES;
    ensure!(size_bytes <= limit_bytes, OversizedSnafu { size_bytes, limit_bytes });
    Ok(())
}

fn tag_of(
    key: &FrameKey,
    covered: &[u8],
    receiver: Option<Incarnation>,
) -> [u8; DATAGRAM_TAG_BYTES] {
    let hash = match receiver {
        None => key.hash(PURPOSE, &[covered]),
        Some(receiver) => key.hash(ADDRESSED_PURPOSE, &[&receiver.0.to_be_bytes(), covered]),
    };
    let mut tag = [0; DATAGRAM_TAG_BYTES];
    tag.copy_from_slice(&hash.as_bytes()[..DATAGRAM_TAG_BYTES]);
    tag
}
