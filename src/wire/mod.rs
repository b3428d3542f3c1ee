//! Messages between the processes of the system, and the frames that carry them. See docs/design.md, section 5.

mod codec;
mod connect;
mod datagram;
mod link;
mod message;
#[cfg(test)]
mod tests;
mod traffic;

pub use codec::{
    Direction, FrameDecoder, FrameEncoder, FrameError, FrameKey, MAX_FRAME_BYTES, NONCE_BYTES,
    Nonce, PROTOCOL_VERSION, TAG_BYTES, Tag,
};
pub use connect::connect_with_timeout;
pub use datagram::{
    DATAGRAM_TAG_BYTES, DatagramDecoder, DatagramEncoder, DatagramHeader, MAX_DATAGRAM_BYTES,
};
pub use link::{Link, LinkError, LinkReceiver, LinkSender, LinkSettings};
pub use message::{
    AgentMessage, AnswerChecksum, AnswerChunk, AttemptRequest, DataCentreState, EndpointSpec,
    EntryMessage, GroupSummary, LeaderDatagram, LeaderMessage, MemberMessage, NotRunReason,
};
pub use traffic::{MessageKind, SentMessages, Traffic};
