//! The agent process: runs beside a worker or an endpoint.

pub mod endpoint;
pub mod endpoint_routes;
mod forward;
