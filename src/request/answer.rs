//! Reassembly of an answer from its parts, with a check that it is complete and unaltered.

use serde::{Deserialize, Serialize};

use crate::wire::{AnswerChecksum, AnswerChunk};

/// The parts of an attempt's answer that have arrived so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct AnswerCollector {
    status: Option<u16>,
    received_bytes: u64,
    checksum: AnswerChecksum,
    #[serde(rename = "held")]
    buffered: Vec<u8>,
    #[serde(rename = "streams")]
    is_streaming: bool,
}

/// The result of adding a part to the answer.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum AnswerProgress {
    /// The part is buffered or a duplicate; there is nothing to send to the caller.
    Buffered,
    /// The answer exceeds the buffer: send its status and the buffered bytes to the caller.
    BeginStream(u16, Vec<u8>),
    /// Send these bytes to the caller.
    Stream(Vec<u8>),
    /// The answer is complete, and none of it was sent to the caller yet.
    CompleteBuffered(u16, Vec<u8>),
    /// The answer is complete, and all of it was sent to the caller.
    CompleteStreamed,
    /// The answer is damaged for this reason.
    Invalid(String),
}

impl AnswerCollector {
    /// Returns whether parts of the answer were sent to the caller.
    pub(super) fn is_streaming(&self) -> bool {
        self.is_streaming
    }

    /// Returns whether the head of the answer arrived, which proves that the attempt ran.
    pub(super) fn has_begun(&self) -> bool {
        self.status.is_some()
    }

    /// Adds a part. Answers larger than `buffer_bytes` are streamed to the caller.
    pub(super) fn add(&mut self, chunk: AnswerChunk, buffer_bytes: u64) -> AnswerProgress {
        match chunk {
            AnswerChunk::Head { status } => {
                self.status.get_or_insert(status);
                AnswerProgress::Buffered
            }
            AnswerChunk::Data { offset_bytes, bytes } => {
                self.add_data(offset_bytes, bytes, buffer_bytes)
            }
            AnswerChunk::End { length_bytes, checksum } => self.finish(length_bytes, checksum),
        }
    }

    fn add_data(&mut self, offset_bytes: u64, bytes: Vec<u8>, buffer_bytes: u64) -> AnswerProgress {
        let end_bytes = offset_bytes.saturating_add(bytes.len() as u64);
        if end_bytes <= self.received_bytes {
            return AnswerProgress::Buffered;
        }
        let Some(status) = self.status else {
            return AnswerProgress::Invalid(
                "data arrived before the head of the answer".to_owned(),
            );
        };
        if offset_bytes != self.received_bytes {
            let expected = self.received_bytes;
            return AnswerProgress::Invalid(format!(
                "answer continues at byte {offset_bytes} instead of byte {expected}"
            ));
        }
        self.received_bytes = end_bytes;
        self.checksum = self.checksum.with(&bytes);
        if self.is_streaming {
            return AnswerProgress::Stream(bytes);
        }
        self.buffered.extend_from_slice(&bytes);
        if self.received_bytes <= buffer_bytes {
            return AnswerProgress::Buffered;
        }
        self.is_streaming = true;
        AnswerProgress::BeginStream(status, std::mem::take(&mut self.buffered))
    }

    fn finish(&mut self, length_bytes: u64, checksum: AnswerChecksum) -> AnswerProgress {
        let Some(status) = self.status else {
            return AnswerProgress::Invalid("end arrived before the head of the answer".to_owned());
        };
        if length_bytes != self.received_bytes {
            let received = self.received_bytes;
            return AnswerProgress::Invalid(format!(
                "answer ended after {received} of {length_bytes} bytes"
            ));
        }
        if checksum != self.checksum {
            return AnswerProgress::Invalid(
                "checksum of the answer does not match its bytes".to_owned(),
            );
        }
        if self.is_streaming {
            AnswerProgress::CompleteStreamed
        } else {
            AnswerProgress::CompleteBuffered(status, std::mem::take(&mut self.buffered))
        }
    }
}
