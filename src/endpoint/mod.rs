//! The agent beside an endpoint: slots, tombstones, drain. See docs/design.md, section 3, "Flow of a request".

mod agent;
mod message;
#[cfg(test)]
mod tests;
mod window;

pub use agent::EndpointAgent;
pub use message::{AgentInput, AgentOutput, Forward, MAX_CHUNK_BYTES};
