//! The HTTP interface `/v1` for callers and operators; docs/api.md describes it.

mod configuration;
mod error;

pub use configuration::{
    BundleActionRequest, BundleChanged, BundleStatus, DataCentreStateRequest, OrganisationStatus,
};
pub use error::{ApiError, ErrorCode};
