//! Bundles of rules: content, digest, signatures, validation and rollout. See docs/design.md, section 3.

mod active_bundle;
mod digest;
mod document;
mod error;
mod key;
mod rollout;
mod row;
mod signature;
#[cfg(test)]
pub(crate) mod tests;
mod validation;

pub use active_bundle::{ActiveBundle, OfferResult};
pub use digest::{Digest, canonical_json};
pub use document::{
    Bundle, DataCentre, Group, GuaranteedBlock, KindRule, Organisation, PolicyRules, Rack, Weights,
    WorkerShape,
};
pub use error::Error;
pub use key::{PartnerSigner, TrustedPartners};
pub use rollout::{
    Action, BundleChange, BundleChangeApplied, BundleChangeError, BundleChangeResult,
    CONFIRM_TIMEOUT_MS, Input, Output, SignedBundleAction, WriteOutcome,
};
pub use row::{
    AuditAction, AuditRecord, BUNDLE_ROW_KEY, BundleRow, Proposal, RolledOut, audit_key, body_key,
};
pub use signature::{
    Purpose, REQUIRED_PARTNERS, Signature, SignedBundle, VerifiedBundle, check_signatures, verify,
};
pub use validation::{FieldError, validate};
