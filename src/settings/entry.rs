//! Settings of `teaselhall-entry`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{
    Result, TrustedPartner, ValidateSettings, check_partners, check_url, decode_frame_key, field,
};
use crate::prelude::*;

/// Settings of an entry process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The name of the process, unique among entries.
    pub process: ProcessId,
    /// The data centre in which it runs.
    pub data_centre: DataCentreId,
    /// The address for callers and operators.
    pub http_address: SocketAddr,
    /// The TCP address to which agents connect.
    pub agent_address: SocketAddr,
    /// The base URL of the platform's table and object store.
    pub platform_url: String,
    /// The key that authenticates frames between processes: 32 bytes in hexadecimal.
    pub frame_key: String,
    /// The partners whose signatures count.
    pub partners: Vec<TrustedPartner>,
    /// The greatest body of a request, in bytes.
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
            return field("body_limit_bytes", "must be at least 1");
        }
        Ok(())
    }
}
