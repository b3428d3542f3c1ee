//! Encoding of UDP datagrams, and the window by which a receiver rejects replayed ones.
//!
//! ```text
//! version: u8 | sender incarnation: varint | sequence: varint | payload: postcard | tag: 8 bytes
//! ```
//!
//! The tag of a datagram that is addressed to one incarnation of a receiver also covers that incarnation. The
//! incarnation itself is not transmitted, so this adds no bytes.

use std::collections::HashMap;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, ensure};

use super::codec::{
    BadTagSnafu, FrameKey, MalformedSnafu, OversizedSnafu, PROTOCOL_VERSION, ReplayedSnafu, Result,
    TruncatedSnafu, UnknownVersionSnafu, constant_time_eq, decode_payload,
};
use crate::id::Incarnation;

/// Largest size of a datagram in bytes, which fits the usual path MTU without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Size of a datagram's tag in bytes. With 16 bytes the answer to a heartbeat would exceed its budget of 30 bytes.
pub const DATAGRAM_TAG_BYTES: usize = 8;
/// Largest number of senders whose replay windows a receiver keeps: a full group has 128 members, and each may restart.
pub const MAX_SENDERS: usize = 1_024;

/// Number of sequence numbers that a replay window covers, one per bit of [`ReplayWindow::received_mask`].
const WINDOW_DATAGRAMS: u64 = 128;
const PURPOSE: &[u8] = b"teaselhall datagram";
const ADDRESSED_PURPOSE: &[u8] = b"teaselhall addressed datagram";

/// Header of a datagram, between the protocol version and the payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatagramHeader {
    /// Incarnation of the sender. It holds random bits, so no two processes have the same.
    pub incarnation: Incarnation,
    /// Sequence number, which increases with each datagram of the sender.
    pub sequence: u64,
}

/// Encodes the datagrams of one sender.
#[derive(Debug)]
pub struct DatagramEncoder {
    key: FrameKey,
    header: DatagramHeader,
}

impl DatagramEncoder {
    /// Creates an encoder for the sender with this incarnation.
    pub fn new(key: FrameKey, incarnation: Incarnation) -> Self {
        Self { key, header: DatagramHeader { incarnation, sequence: 0 } }
    }

    /// Encodes one message for any receiver.
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

    /// Encodes one message that only this incarnation of the receiver accepts.
    ///
    /// # Errors
    ///
    /// Same as [`Self::encode`].
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
        let tag = compute_tag(&self.key, &datagram, receiver);
        datagram.extend_from_slice(&tag);
        check_size(datagram.len())?;
        self.header = header;
        Ok(datagram)
    }
}

/// Decodes datagrams and rejects replayed ones.
///
/// After a restart of the receiver, or once the replay window of a sender was evicted, old datagrams are accepted once
/// more. Messages by UDP are therefore idempotent and carry epoch and incarnation.
#[derive(Debug)]
pub struct DatagramDecoder {
    key: FrameKey,
    windows: HashMap<Incarnation, ReplayWindow>,
    /// Number of authentic datagrams so far, by which the windows of senders are ordered.
    datagram_count: u64,
}

impl DatagramDecoder {
    /// Creates a decoder without replay windows.
    pub fn new(key: FrameKey) -> Self {
        Self { key, windows: HashMap::new(), datagram_count: 0 }
    }

    /// Decodes one datagram that was encoded for any receiver.
    ///
    /// # Errors
    ///
    /// Any [`super::FrameError`]; the caller drops the datagram and can decode later ones.
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
    /// Same as [`Self::decode`]; [`super::FrameError::BadTag`] if it was encoded for another incarnation.
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

    /// Checks version and tag of a datagram, and returns the part that precedes the tag.
    fn check_tag<'a>(&self, datagram: &'a [u8], receiver: Option<Incarnation>) -> Result<&'a [u8]> {
        let min_bytes = 1 + DATAGRAM_TAG_BYTES;
        let missing_bytes = min_bytes.saturating_sub(datagram.len());
        ensure!(missing_bytes == 0, TruncatedSnafu { missing_bytes });
        let version = datagram[0];
        ensure!(version == PROTOCOL_VERSION, UnknownVersionSnafu { version });
        let (covered, tag) = datagram.split_at(datagram.len() - DATAGRAM_TAG_BYTES);
        ensure!(constant_time_eq(&compute_tag(&self.key, covered, receiver), tag), BadTagSnafu);
        Ok(covered)
    }

    /// Records the sequence number in the window of its sender, and returns whether it is new.
    fn admit(&mut self, header: DatagramHeader) -> bool {
        if !self.windows.contains_key(&header.incarnation) && self.windows.len() >= MAX_SENDERS {
            self.evict_least_recent_sender();
        }
        self.datagram_count += 1;
        let window = self.windows.entry(header.incarnation).or_default();
        window.last_datagram = self.datagram_count;
        window.admit(header.sequence)
    }

    fn evict_least_recent_sender(&mut self) {
        let least_recent = self.windows.iter().min_by_key(|(_, window)| window.last_datagram);
        if let Some(incarnation) = least_recent.map(|(incarnation, _)| *incarnation) {
            self.windows.remove(&incarnation);
        }
    }
}

/// Sequence numbers that were received from one sender.
#[derive(Debug, Default)]
struct ReplayWindow {
    highest: u64,
    /// Bit `n` is set if `highest - n` was received.
    received_mask: u128,
    /// [`DatagramDecoder::datagram_count`] at the last datagram of the sender.
    last_datagram: u64,
}

impl ReplayWindow {
    /// Records a sequence number, and returns `false` if it was received before or is older than the window.
    fn admit(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            let shifted_mask =
                if shift < WINDOW_DATAGRAMS { self.received_mask << shift } else { 0 };
            self.received_mask = shifted_mask | 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if age >= WINDOW_DATAGRAMS || self.received_mask & (1 << age) != 0 {
            return false;
        }
        self.received_mask |= 1 << age;
        true
    }
}

fn check_size(size_bytes: usize) -> Result<()> {
    let limit_bytes = MAX_DATAGRAM_BYTES;
    ensure!(size_bytes <= limit_bytes, OversizedSnafu { size_bytes, limit_bytes });
    Ok(())
}

fn compute_tag(
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
