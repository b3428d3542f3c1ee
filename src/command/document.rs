//! Reads and writes bundle files on the operator's machine.

use std::path::Path;

use serde_json::Value;

use super::{Error, Result};
use crate::bundle::{self, Bundle, SignedBundle};

/// Reads a bundle file, with or without signatures.
///
/// # Errors
///
/// [`Error::Usage`] with the path of the file and the reason; parse errors name the line and the field.
pub fn read(path: &str) -> Result<SignedBundle> {
    let failed = |reason: String| Error::Usage { reason: format!("{path}: {reason}") };
    let text = std::fs::read_to_string(path).map_err(|error| failed(error.to_string()))?;
    parse(&text).map_err(failed)
}

/// Parses the JSON text of a bundle, with or without signatures.
///
/// # Errors
///
/// The parse error, with its line and the invalid field.
pub fn parse(text: &str) -> std::result::Result<SignedBundle, String> {
    let value: Value = serde_json::from_str(text).map_err(|error| error.to_string())?;
    // The text is parsed again, because errors of `serde_json::from_value` have no line number.
    if value.get("bundle").is_some() {
        return serde_json::from_str(text).map_err(|error| error.to_string());
    }
    let bundle: Bundle = serde_json::from_str(text).map_err(|error| error.to_string())?;
    Ok(SignedBundle { bundle, signatures: Vec::new() })
}

/// Replaces a file by a bundle without signatures. The bundle is written to a new file that is then renamed, so that a
/// failure leaves the old file unchanged.
///
/// # Errors
///
/// [`Error::Usage`] with the path of the file and the reason.
pub fn replace(path: &str, bundle: &Bundle) -> Result<()> {
    let failed =
        |error: &dyn std::fmt::Display| Error::Usage { reason: format!("{path}: {error}") };
    let text = serde_json::to_string_pretty(bundle).map_err(|error| failed(&error))?;
    let new_path = Path::new(path).with_extension("json.new");
    std::fs::write(&new_path, format!("{text}\n")).map_err(|error| failed(&error))?;
    std::fs::rename(&new_path, path).map_err(|error| failed(&error))
}

/// Converts an error of the `bundle` module into [`Error::Usage`].
pub(super) fn bad_bundle(error: &bundle::Error) -> Error {
    Error::Usage { reason: error.to_string() }
}
