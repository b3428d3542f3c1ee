//! Bundles of rules: content, digest, signatures, validation and rollout. See docs/design.md, section 3.

mod digest;
mod document;
mod error;
mod key;
mod signature;
#[cfg(test)]
mod tests;
mod validation;

pub use digest::{Digest, canonical_json};
pub use document::{
    Bundle, DataCentre, Group, GuaranteedBlock, KindRule, Organisation, PolicyRules, Rack, Weights,
    WorkerShape,
};
pub use error::Error;
pub use key::{PartnerSigner, TrustedPartners};
pub use signature::{
    Purpose, REQUIRED_PARTNERS, Signature, SignedBundle, VerifiedBundle, check_signatures, verify,
};
pub use validation::{FieldError, validate};
