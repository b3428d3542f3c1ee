//! Why a bundle, a key or a signature is not accepted.

use snafu::Snafu;

use super::FieldError;
use crate::prelude::*;

/// Why a bundle, a key or a signature is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The document cannot be written or read as JSON.
    #[snafu(display("the bundle is not valid JSON of this version: {reason}"))]
    Encoding {
        /// Why.
        reason: String,
    },
    /// A field does not hold hexadecimal digits of the right length.
    #[snafu(display("{field}: {reason}"))]
    Hex {
        /// The field.
        field: String,
        /// Why.
        reason: String,
    },
    /// The content breaks rules.
    #[snafu(display("the bundle is not valid: {}", list(problems)))]
    Invalid {
        /// Each field at fault.
        problems: Vec<FieldError>,
    },
    /// The guaranteed shapes do not fit the topology all at once.
    #[snafu(display("organisations: {reason}"))]
    NotAdmitted {
        /// Why.
        reason: String,
    },
    /// Fewer than two partners signed.
    #[snafu(display("signatures: {found} found, but two different partners must sign"))]
    TooFewSignatures {
        /// The number of signatures.
        found: usize,
    },
    /// A partner signed twice.
    #[snafu(display("signatures: partner {partner} signed more than once"))]
    RepeatedPartner {
        /// The partner.
        partner: PartnerId,
    },
    /// The settings do not name the partner.
    #[snafu(display("signatures: partner {partner} is not a trusted partner"))]
    UntrustedPartner {
        /// The partner.
        partner: PartnerId,
    },
    /// A signature does not belong to the content and the partner's key.
    #[snafu(display(
        "signatures: the signature of partner {partner} does not match the content; it was altered or signed with \
         another key"
    ))]
    WrongSignature {
        /// The partner.
        partner: PartnerId,
    },
    /// The list of trusted partners cannot be used.
    #[snafu(display("partners: {reason}"))]
    Partners {
        /// Why.
        reason: String,
    },
    /// A key file cannot be read or written.
    #[snafu(display("key file {path}: {reason}"))]
    KeyFile {
        /// The path.
        path: String,
        /// Why.
        reason: String,
    },
}

fn list(problems: &[FieldError]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("; ")
}
