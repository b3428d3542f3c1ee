//! Errors of bundles, keys and signatures.

use snafu::Snafu;

use super::FieldError;
use crate::prelude::*;

/// Reason why a bundle, a key or a signature is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The bundle cannot be encoded or decoded as JSON.
    #[snafu(display("the bundle cannot be encoded or decoded as JSON of this version: {reason}"))]
    Encoding {
        /// Error of the JSON library, with its position where it has one.
        reason: String,
    },
    /// A field is not hexadecimal, has the wrong length, or is not a usable key.
    #[snafu(display("{field}: {reason}"))]
    Hex {
        /// Name of the field.
        field: String,
        /// Why the field is refused.
        reason: String,
    },
    /// The content violates validation rules.
    #[snafu(display("the bundle is not valid: {}", join_problems(problems)))]
    Invalid {
        /// Each invalid field and its rule.
        problems: Vec<FieldError>,
    },
    /// The guaranteed shapes of all organisations do not fit into the topology at once.
    #[snafu(display("organisations: {reason}"))]
    NotAdmitted {
        /// Error of the admission.
        reason: String,
    },
    /// The bundle has fewer signatures than needed.
    #[snafu(display("signatures: {found} found, but two different partners must sign"))]
    TooFewSignatures {
        /// Number of signatures of the bundle.
        found: usize,
    },
    /// A partner signed more than once.
    #[snafu(display("signatures: partner {partner} signed more than once"))]
    RepeatedPartner {
        /// The partner with several signatures.
        partner: PartnerId,
    },
    /// The settings do not list the signing partner as trusted.
    #[snafu(display("signatures: partner {partner} is not a trusted partner"))]
    UntrustedPartner {
        /// The partner that is not trusted.
        partner: PartnerId,
    },
    /// A signature does not match the content, its purpose and the partner's key.
    #[snafu(display(
        "signatures: the signature of partner {partner} does not match the content; it was altered or signed with \
         another key"
    ))]
    WrongSignature {
        /// The partner whose signature does not match.
        partner: PartnerId,
    },
    /// The list of trusted partners is not valid.
    #[snafu(display("partners: {reason}"))]
    Partners {
        /// Why the list is refused.
        reason: String,
    },
    /// A key file cannot be read or written, or is not valid.
    #[snafu(display("key file {path}: {reason}"))]
    KeyFile {
        /// Path of the key file.
        path: String,
        /// Why the file cannot be used.
        reason: String,
    },
}

fn join_problems(problems: &[FieldError]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("; ")
}
