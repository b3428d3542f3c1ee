//! Content digest of a bundle, which its partners sign.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::{Bundle, Error};

/// BLAKE3 hash of a bundle's canonical form, written as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of a bundle.
    ///
    /// # Errors
    ///
    /// [`Error::Encoding`] if the bundle cannot be encoded as JSON.
    pub fn of(bundle: &Bundle) -> Result<Self, Error> {
        Ok(Self(*blake3::hash(&canonical_json(bundle)?).as_bytes()))
    }

    /// Returns the 32 bytes of the hash.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

/// Encodes a bundle as compact JSON with sorted object keys, so that two processes hash the same bytes whatever the
/// order of fields in the file that the bundle came from.
///
/// # Errors
///
/// [`Error::Encoding`] if the bundle cannot be encoded as JSON.
pub fn canonical_json(bundle: &Bundle) -> Result<Vec<u8>, Error> {
    let encoding_error = |error: serde_json::Error| Error::Encoding { reason: error.to_string() };
    let mut value = serde_json::to_value(bundle).map_err(encoding_error)?;
    // serde_json sorts maps by default, but not if a dependency enables its `preserve_order` feature.
    value.sort_all_objects();
    serde_json::to_vec(&value).map_err(encoding_error)
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Digest({self})")
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).map_err(|error| Error::Hex {
            field: "digest".to_owned(),
            reason: error.to_string(),
        })?;
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}
