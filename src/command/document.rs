//! Bundle files on the operator's machine.

use std::path::Path;

use serde_json::Value;

use super::{Error, Result};
use crate::bundle::{self, Bundle, SignedBundle};

/// Reads a file that holds a bundle, with or without signatures.
///
/// # Errors
///
/// [`Error::Usage`] with the file's name, and the line and field at fault.
pub fn read(path: &str) -> Result<SignedBundle> {
    let failed = |reason: String| Error::Usage { reason: format!("{path}: {reason}") };
    let text = std::fs::read_to_string(path).map_err(|error| failed(error.to_string()))?;
    parse(&text).map_err(failed)
}

/// Reads a bundle, with or without signatures.
///
/// # Errors
///
/// A sentence with the position and the field at fault.
pub fn parse(text: &str) -> std::result::Result<SignedBundle, String> {
    let value: Value = serde_json::from_str(text).map_err(|error| error.to_string())?;
    // Parsing the text again keeps the line in the error.
    if value.get("bundle").is_some() {
        return serde_json::from_str(text).map_err(|error| error.to_string());
    }
    let bundle: Bundle = serde_json::from_str(text).map_err(|error| error.to_string())?;
    Ok(SignedBundle { bundle, signatures: Vec::new() })
}

/// Replaces a file by a bundle without signatures; a failure leaves the file as it was.
///
/// # Errors
///
/// [`Error::Usage`] with the file's name.
pub fn replace(path: &str, bundle: &Bundle) -> Result<()> {
    let failed =
        |error: &dyn std::fmt::Display| Error::Usage { reason: format!("{path}: {error}") };
    let text = serde_json::to_string_pretty(bundle).map_err(|error| failed(&error))?;
    let new = Path::new(path).with_extension("json.new");
    std::fs::write(&new, format!("{text}\n")).map_err(|error| failed(&error))?;
    std::fs::rename(&new, path).map_err(|error| failed(&error))
}

/// Turns an error of the bundle slice into one of bad input.
pub(super) fn bad_bundle(error: &bundle::Error) -> Error {
    Error::Usage { reason: error.to_string() }
}
