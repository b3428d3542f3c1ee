//! Commands for the signing keys of partners.

use std::path::Path;

use getopts::Options;
use serde_json::json;

use super::document::bad_bundle;
use super::{Context, Output, Result};
use crate::bundle::PartnerSigner;
use crate::prelude::*;

/// Runs `key new`: generates a key, writes the private key to a new file and prints the public key.
pub(super) async fn new(arguments: &[&str]) -> Result<Output> {
    let mut options = Options::new();
    options.optopt("", "file", "new key file; an existing one is never overwritten", "FILE");
    let context = match Context::parse("key new PARTNER --file FILE", arguments, options, 1..=1)? {
        Ok(context) => context,
        Err(help) => return Ok(help),
    };
    let path = context.required("file")?;
    let partner = PartnerId::from(context.argument(0));
    let signer = PartnerSigner::generate(partner, &mut rand::rng());
    signer.write_new(Path::new(&path)).map_err(|error| bad_bundle(&error))?;
    let public = json!(signer.public_key()).to_string();
    if context.json {
        return Ok(Output::done(&public));
    }
    Ok(Output::done(&format!(
        "private key written to {path}; keep it secret\nfor \"partners\" in the settings: {public}"
    )))
}
