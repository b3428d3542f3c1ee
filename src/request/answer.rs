//! Checks that the parts of an answer make a whole.

use serde::{Deserialize, Serialize};

use crate::wire::{AnswerChecksum, AnswerChunk};

/// The answer of one attempt, as far as it has arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Collector {
    status: Option<u16>,
    received_bytes: u64,
    checksum: AnswerChecksum,
    held: Vec<u8>,
    streams: bool,
}

/// What a part did to the answer.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// The part is held, or was received before.
    Held,
    /// The answer outgrew the buffer: pass on its status and all that was held.
    Begin(u16, Vec<u8>),
    /// Pass on these bytes.
    Pass(Vec<u8>),
    /// The answer is whole and was held completely.
    Whole(u16, Vec<u8>),
    /// The answer is whole, and all parts were passed on.
    Complete,
    /// The answer cannot become whole.
    Broken(String),
}

impl Collector {
    /// Returns whether parts of the answer were passed on to the caller.
    pub(super) fn streams(&self) -> bool {
        self.streams
    }

    /// Returns whether any part arrived, which proves that the attempt ran.
    pub(super) fn has_begun(&self) -> bool {
        self.status.is_some()
    }

    /// Adds a part. Answers over `buffer_bytes` are passed on.
    pub(super) fn add(&mut self, chunk: AnswerChunk, buffer_bytes: u64) -> Progress {
        match chunk {
            AnswerChunk::Head { status } => {
                self.status.get_or_insert(status);
                Progress::Held
            }
            AnswerChunk::Data { offset_bytes, bytes } => {
                self.add_data(offset_bytes, bytes, buffer_bytes)
            }
            AnswerChunk::End { length_bytes, checksum } => self.finish(length_bytes, checksum),
        }
    }

    fn add_data(&mut self, offset_bytes: u64, bytes: Vec<u8>, buffer_bytes: u64) -> Progress {
        let end_bytes = offset_bytes.saturating_add(bytes.len() as u64);
        if end_bytes <= self.received_bytes {
            return Progress::Held;
        }
        let Some(status) = self.status else {
            return Progress::Broken("data came before the answer's head".to_owned());
        };
        if offset_bytes != self.received_bytes {
            let expected = self.received_bytes;
            return Progress::Broken(format!(
                "answer continues at byte {offset_bytes} instead of {expected}"
            ));
        }
        self.received_bytes = end_bytes;
        self.checksum = self.checksum.with(&bytes);
        if self.streams {
            return Progress::Pass(bytes);
        }
        self.held.extend_from_slice(&bytes);
        if self.received_bytes <= buffer_bytes {
            return Progress::Held;
        }
        self.streams = true;
        Progress::Begin(status, std::mem::take(&mut self.held))
    }

    fn finish(&mut self, length_bytes: u64, checksum: AnswerChecksum) -> Progress {
        let Some(status) = self.status else {
            return Progress::Broken("answer ended before its head".to_owned());
        };
        if length_bytes != self.received_bytes {
            let received = self.received_bytes;
            return Progress::Broken(format!("answer has {received} of {length_bytes} bytes"));
        }
        if checksum != self.checksum {
            return Progress::Broken("checksum of the answer is wrong".to_owned());
        }
        if self.streams {
            Progress::Complete
        } else {
            Progress::Whole(status, std::mem::take(&mut self.held))
        }
    }
}
