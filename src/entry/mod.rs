//! The entry process: the HTTP interface for callers and operators, and the connections of agents.

pub mod configuration;
pub mod groups;
pub mod jobs;
mod keys;
pub mod listener;
pub mod overview;
pub mod request_routes;
pub mod requests;
