//! Messages between the processes of the system, and their frames. See docs/design.md, section 5.

mod message;

pub use message::{
    AgentMessage, AnswerChunk, AttemptRequest, EndpointSpec, EntryMessage, GroupSummary,
    LeaderDatagram, LeaderMessage, MemberMessage, NotRunReason, ServiceState,
};
