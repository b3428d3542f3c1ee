//! The HTTP interface `/v1` for callers and operators; docs/api.md describes it.

mod error;

pub use error::{ApiError, ErrorCode};
