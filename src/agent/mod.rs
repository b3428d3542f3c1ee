//! The agent process: runs beside a worker or an endpoint.

pub mod endpoint;
pub mod endpoint_routes;
mod find_leader;
mod forward;
pub mod leader;
mod leader_entry;
mod leader_table;
mod lease_table;
pub mod worker;
mod worker_api;
