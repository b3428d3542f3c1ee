//! The row `config/bundle`, and the names of the objects that belong to it.

use serde::{Deserialize, Serialize};

use super::{Digest, Signature};
use crate::prelude::*;
use crate::store::RowVersion;

/// The key of the row that decides which bundle is in force.
pub const BUNDLE_ROW_KEY: &str = "config/bundle";

/// The content of the row `config/bundle`. Bodies of bundles are in the object store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleRow {
    /// The bundle in force.
    pub current: Option<RolledOut>,
    /// The bundle that waits for approval and rollout.
    pub proposed: Option<Proposal>,
    /// What the last write of the row did, so that its audit record can be written again if it was lost.
    pub last: Option<AuditRecord>,
}

/// A proposed bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// The version.
    pub version: BundleVersion,
    /// The digest of the content.
    pub digest: Digest,
    /// The partner that proposed it.
    pub proposer: PartnerId,
    /// The signatures so far.
    pub signatures: Vec<Signature>,
}

/// A bundle that was rolled out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolledOut {
    /// The version.
    pub version: BundleVersion,
    /// The digest of the content.
    pub digest: Digest,
    /// The signatures.
    pub signatures: Vec<Signature>,
    /// The partner that ordered the rollout.
    pub rolled_out_by: PartnerId,
}

/// What a partner did to the row.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditAction {
    /// Proposed a bundle.
    #[display("proposed")]
    Proposed,
    /// Approved a proposal.
    #[display("approved")]
    Approved,
    /// Rolled a bundle out.
    #[display("rolled_out")]
    RolledOut,
}

/// Who did what to the row; written as an object that is never changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditRecord {
    /// What was done.
    pub action: AuditAction,
    /// The version of the bundle.
    pub version: BundleVersion,
    /// The digest of the bundle.
    pub digest: Digest,
    /// The partner that did it, as proved by its signature.
    pub partner: PartnerId,
    /// The signature that proves it.
    pub signature: Signature,
    /// The entry that wrote the row, which also writes the audit object.
    pub entry: ProcessId,
}

impl BundleRow {
    /// Returns the version of the bundle in force, or zero.
    pub fn current_version(&self) -> BundleVersion {
        self.current.as_ref().map_or(BundleVersion(0), |current| current.version)
    }

    /// Returns the version that the last write concerned, which is the winner of a race.
    pub fn winning_version(&self) -> BundleVersion {
        self.last.as_ref().map_or(self.current_version(), |last| last.version)
    }
}

/// Returns the key of the object that holds the body of a bundle.
///
/// The digest is a part of the key, so that of two racing proposals of one version neither overwrites the other's body.
pub fn body_key(version: BundleVersion, digest: &Digest) -> String {
    format!("bundle/{version}/{digest}")
}

/// Returns the key of an audit object. The version of the row numbers the records without a gap.
pub fn audit_key(version: BundleVersion, row: RowVersion) -> String {
    format!("audit/{version}/{row}")
}
