//! The agent beside an endpoint: limits concurrent attempts to the slots, refuses cancelled attempts by tombstones, and
//! drains the endpoint. See docs/design.md, section 3, "Flow of a request".

mod agent;
mod message;
#[cfg(test)]
mod tests;
mod window;

pub use agent::EndpointAgent;
pub use message::{AgentInput, AgentOutput, Forward, MAX_CHUNK_BYTES};
