//! The JSON settings of each program, read once at its start. Unknown fields are refused with their names.

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

/// Why settings were refused.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file could not be read.
    #[snafu(display("settings file {} could not be read: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not JSON of the expected shape.
    #[snafu(display("settings file {}: {source}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// The cause, with line and column.
        source: serde_json::Error,
    },
    /// A field has a value that cannot be used.
    #[snafu(display("settings field {field:?} {reason}"))]
    Field {
        /// The name of the field.
        field: &'static str,
        /// What is wrong with it.
        reason: String,
    },
}

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// Settings that can check themselves beyond what their types ensure.
pub trait ValidateSettings {
    /// Checks the values.
    ///
    /// # Errors
    ///
    /// [`Error::Field`] with the first field whose value cannot be used.
    fn check(&self) -> Result<()>;
}

/// Reads and checks a settings file.
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

/// A partner whose signature counts, and the public key that verifies it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrustedPartner {
    /// The partner.
    pub id: PartnerId,
    /// The ed25519 public key, in hexadecimal.
    pub public_key: String,
}

/// The length of a frame key in bytes.
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
        Err(error) => {
            field("frame_key", &format!("must be {FRAME_KEY_BYTES} bytes in hexadecimal: {error}"))
        }
    }
}

fn field<T>(field: &'static str, reason: &str) -> Result<T> {
    Err(Error::Field { field, reason: reason.to_owned() })
}

fn check_url(name: &'static str, url: &str) -> Result<()> {
    match reqwest::Url::parse(url) {
        Ok(url) if url.scheme() == "http" && url.host().is_some() => Ok(()),
        Ok(_) => field(name, "must be an http URL with a host"),
        Err(error) => field(name, &format!("is not a URL: {error}")),
    }
}

fn check_partners(partners: &[TrustedPartner]) -> Result<()> {
    if partners.len() < 2 {
        return field(
            "partners",
            "must name at least two partners, because a bundle needs two signatures",
        );
    }
    for (index, partner) in partners.iter().enumerate() {
        let mut key = [0; FRAME_KEY_BYTES];
        if let Err(error) = hex::decode_to_slice(&partner.public_key, &mut key) {
            return field(
                "partners",
                &format!("have a bad public_key for {:?}: {error}", partner.id.as_str()),
            );
        }
        let others = &partners[..index];
        if others
            .iter()
            .any(|other| other.id == partner.id || other.public_key == partner.public_key)
        {
            return field("partners", &format!("name {:?} or its key twice", partner.id.as_str()));
        }
    }
    Ok(())
}
