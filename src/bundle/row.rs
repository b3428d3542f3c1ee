//! The row `config/bundle`, and the keys of the objects that belong to it.

use serde::{Deserialize, Serialize};

use super::{Digest, Signature};
use crate::prelude::*;
use crate::store::RowVersion;

/// Key of the row that determines which bundle is active.
pub const BUNDLE_ROW_KEY: &str = "config/bundle";

/// Content of the row `config/bundle`. Bodies of bundles are in the object store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleRow {
    /// The active bundle.
    pub current: Option<RolledOut>,
    /// The bundle that waits for approval and rollout.
    pub proposed: Option<Proposal>,
    /// Audit record of the last write of the row, from which a lost audit object can be written again.
    pub last: Option<AuditRecord>,
}

/// A bundle that is proposed and not yet rolled out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// Version of the bundle.
    pub version: BundleVersion,
    /// Digest of the content.
    pub digest: Digest,
    /// Partner that proposed the bundle.
    pub proposer: PartnerId,
    /// Signatures collected so far.
    pub signatures: Vec<Signature>,
}

/// A bundle that was rolled out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolledOut {
    /// Version of the bundle.
    pub version: BundleVersion,
    /// Digest of the content.
    pub digest: Digest,
    /// Signatures of the partners that accepted the content.
    pub signatures: Vec<Signature>,
    /// Partner that requested the rollout.
    pub rolled_out_by: PartnerId,
}

/// Action of a partner on the row.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditAction {
    /// The partner proposed a bundle.
    #[display("proposed")]
    Proposed,
    /// The partner approved the proposal.
    #[display("approved")]
    Approved,
    /// The partner rolled the proposed bundle out.
    #[display("rolled_out")]
    RolledOut,
}

/// Audit record of a write of the row, stored as an object that is never changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditRecord {
    /// Action of the partner.
    pub action: AuditAction,
    /// Version of the bundle.
    pub version: BundleVersion,
    /// Digest of the bundle.
    pub digest: Digest,
    /// Partner that requested the action.
    pub partner: PartnerId,
    /// Signature of the partner, which proves the request.
    pub signature: Signature,
    /// Entry that wrote the row and also writes the audit object.
    pub entry: ProcessId,
}

impl BundleRow {
    /// Returns the version of the active bundle, or 0 if there is none.
    pub fn current_version(&self) -> BundleVersion {
        self.current.as_ref().map_or(BundleVersion(0), |current| current.version)
    }

    /// Returns the version that the last write proposed, approved or rolled out, which is the winner of a race.
    pub fn last_written_version(&self) -> BundleVersion {
        self.last.as_ref().map_or(self.current_version(), |last| last.version)
    }
}

/// Returns the key of the object that holds the body of a bundle.
///
/// The key contains the digest, so that two racing proposals of one version do not overwrite each other's body.
pub fn body_key(version: BundleVersion, digest: &Digest) -> String {
    format!("bundle/{version}/{digest}")
}

/// Returns the key of an audit object. The version of the row numbers the audit records consecutively.
pub fn audit_key(version: BundleVersion, row: RowVersion) -> String {
    format!("audit/{version}/{row}")
}
