//! The entry process: the HTTP interface for callers and operators, and the connections of agents.

pub mod groups;
pub mod jobs;
