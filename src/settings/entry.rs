//! Settings of `teaselhall-entry`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{
    Result, TrustedPartner, ValidateSettings, check_partners, check_url, decode_frame_key,
    field_error,
};
use crate::prelude::*;

/// Settings of an entry process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Id of the process, unique among entries.
    pub process: ProcessId,
    /// Data centre in which the entry runs.
    pub data_centre: DataCentreId,
    /// HTTP address for callers and operators.
    pub http_address: SocketAddr,
    /// TCP address to which agents connect.
    pub agent_address: SocketAddr,
    /// Base URL of the platform's table and object store.
    pub platform_url: String,
    /// Key that authenticates frames between processes: 32 bytes in hexadecimal.
    pub frame_key: String,
    /// Partners whose signatures are accepted.
    pub partners: Vec<TrustedPartner>,
    /// Largest size of a request body in bytes.
    #[serde(default = "default_body_limit_bytes")]
    pub body_limit_bytes: u64,
}

fn default_body_limit_bytes() -> u64 {
    1 << 20
}

impl ValidateSettings for EntrySettings {
    fn check(&self) -> Result<()> {
        check_url("platform_url", &self.platform_url)?;
        decode_frame_key(&self.frame_key)?;
        check_partners(&self.partners)?;
        if self.body_limit_bytes == 0 {
            return field_error("body_limit_bytes", "must be at least 1");
        }
        Ok(())
    }
}
