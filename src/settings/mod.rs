//! JSON settings of each program, read once at its start. Unknown fields are rejected with an error that names them.

mod agent;
mod entry;
mod stand_in;
#[cfg(test)]
mod tests;

pub use agent::{AgentRole, AgentSettings};
pub use entry::EntrySettings;
pub use stand_in::{EndpointSettings, StandInSettings, WorkerSettings};

use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::prelude::*;

/// Error of reading or validating settings.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file could not be read.
    #[snafu(display("settings file {} could not be read: {source}", path.display()))]
    Read {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not JSON or does not match the expected fields.
    #[snafu(display("settings file {}: {source}", path.display()))]
    Parse {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the parser, with line and column.
        source: serde_json::Error,
    },
    /// A field has an invalid value.
    #[snafu(display("settings field {field:?} {reason}"))]
    Field {
        /// Name of the field.
        field: &'static str,
        /// Requirement that the value violates, as a predicate that follows the name of the field.
        reason: String,
    },
}

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// Validation of settings beyond what their types ensure.
pub trait ValidateSettings {
    /// Validates the values.
    ///
    /// # Errors
    ///
    /// [`Error::Field`] for the first field with an invalid value.
    fn check(&self) -> Result<()>;
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Any [`Error`], with the name of the file or the field.
pub fn read<T>(path: &Path) -> Result<T>
where
    T: DeserializeOwned + ValidateSettings,
{
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    let settings: T = serde_json::from_str(&text).context(ParseSnafu { path })?;
    settings.check()?;
    Ok(settings)
}

/// Partner whose signatures are accepted, with the public key that verifies them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrustedPartner {
    /// Id of the partner.
    pub id: PartnerId,
    /// Ed25519 public key in hexadecimal.
    pub public_key: String,
}

/// Length of a frame key in bytes.
pub const FRAME_KEY_BYTES: usize = 32;

/// Decodes the key that authenticates frames between processes.
///
/// # Errors
///
/// [`Error::Field`] if the text is not 32 bytes in hexadecimal.
pub fn decode_frame_key(text: &str) -> Result<[u8; FRAME_KEY_BYTES]> {
    let mut key = [0; FRAME_KEY_BYTES];
    match hex::decode_to_slice(text, &mut key) {
        Ok(()) => Ok(key),
        Err(error) => field_error(
            "frame_key",
            &format!("must be {FRAME_KEY_BYTES} bytes in hexadecimal: {error}"),
        ),
    }
}

/// Returns [`Error::Field`]; the reason is a predicate that follows the name of the field.
fn field_error<T>(field: &'static str, reason: &str) -> Result<T> {
    Err(Error::Field { field, reason: reason.to_owned() })
}

fn check_url(name: &'static str, url: &str) -> Result<()> {
    match reqwest::Url::parse(url) {
        Ok(url) if url.scheme() == "http" && url.host().is_some() => Ok(()),
        Ok(_) => field_error(name, "must be an http URL with a host"),
        Err(error) => field_error(name, &format!("is not a URL: {error}")),
    }
}

fn check_partners(partners: &[TrustedPartner]) -> Result<()> {
    if partners.len() < 2 {
        return field_error(
            "partners",
            "must name at least two partners, because a bundle needs two signatures",
        );
    }
    for (index, partner) in partners.iter().enumerate() {
        let mut key = [0; FRAME_KEY_BYTES];
        if let Err(error) = hex::decode_to_slice(&partner.public_key, &mut key) {
            return field_error(
                "partners",
                &format!(
                    "contains a malformed public_key for partner {:?}: {error}",
                    partner.id.as_str()
                ),
            );
        }
        let others = &partners[..index];
        if others
            .iter()
            .any(|other| other.id == partner.id || other.public_key == partner.public_key)
        {
            return field_error(
                "partners",
                &format!("contains partner {:?} or its public_key twice", partner.id.as_str()),
            );
        }
    }
    Ok(())
}
