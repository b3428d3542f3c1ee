//! Request and response bodies of the routes for bundles, data centres and organisations.

use serde::{Deserialize, Serialize};

use super::{ApiError, ErrorCode};
use crate::bundle::{self, BundleRow, Digest, Organisation, Signature, SignedBundle};
use crate::permit;
use crate::prelude::*;

/// Body of `POST /v1/bundles/approve` and `POST /v1/bundles/rollout`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleActionRequest {
    /// Version of the bundle.
    pub version: BundleVersion,
    /// Digest of the bundle.
    pub digest: Digest,
    /// Signature of the partner that requests the action, made for the purpose of the action.
    pub signature: Signature,
}

impl From<BundleActionRequest> for bundle::SignedBundleAction {
    fn from(request: BundleActionRequest) -> Self {
        Self { version: request.version, digest: request.digest, signature: request.signature }
    }
}

/// Response to a change of the bundle that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleChanged {
    /// Version of the bundle.
    pub version: BundleVersion,
    /// Digest of the bundle.
    pub digest: Digest,
    /// Entries that confirmed a rollout; empty for a proposal and an approval.
    pub confirmed_by: Vec<ProcessId>,
}

impl From<bundle::BundleChangeApplied> for BundleChanged {
    fn from(applied: bundle::BundleChangeApplied) -> Self {
        Self {
            version: applied.version,
            digest: applied.digest,
            confirmed_by: applied.confirmed_by,
        }
    }
}

/// Response to `GET /v1/bundles/current` and `GET /v1/bundles/proposed`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleStatus {
    /// Version of the bundle.
    pub version: BundleVersion,
    /// Digest of the bundle.
    pub digest: Digest,
    /// Content of the bundle and the signatures collected so far.
    pub signed: SignedBundle,
}

/// Body of `POST /v1/datacentres/{id}/out` and `POST /v1/datacentres/{id}/in`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreStateRequest {
    /// Name of the operator, which is recorded and reported to operators whose concurrent change is refused.
    pub operator: String,
}

/// Status of an organisation of the active bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationStatus {
    /// Organisation as the bundle defines it.
    pub organisation: Organisation,
    /// Number of accelerators in all guaranteed blocks of the organisation.
    pub guaranteed_accelerators: u64,
    /// Version of the active bundle.
    pub bundle: BundleVersion,
}

impl OrganisationStatus {
    /// Creates the status of an organisation of a bundle.
    pub fn new(organisation: &Organisation, bundle: BundleVersion) -> Self {
        let blocks = organisation.guarantee.iter();
        let guaranteed_accelerators =
            blocks.map(|block| u64::from(block.accelerators) * u64::from(block.count)).sum();
        Self { organisation: organisation.clone(), guaranteed_accelerators, bundle }
    }
}

impl From<bundle::BundleChangeError> for ApiError {
    fn from(error: bundle::BundleChangeError) -> Self {
        let code = match &error {
            bundle::BundleChangeError::Invalid { .. } => ErrorCode::BadInput,
            bundle::BundleChangeError::Conflict { .. } => ErrorCode::Conflict,
            bundle::BundleChangeError::Unavailable { .. } => ErrorCode::Unavailable,
            bundle::BundleChangeError::Unknown { .. } => ErrorCode::Unknown,
        };
        Self::new(code, &error.to_string())
    }
}

impl From<permit::DataCentreChangeError> for ApiError {
    fn from(error: permit::DataCentreChangeError) -> Self {
        let code = match &error {
            permit::DataCentreChangeError::Conflict { .. } => ErrorCode::Conflict,
            permit::DataCentreChangeError::Unavailable { .. } => ErrorCode::Unavailable,
            permit::DataCentreChangeError::Unknown { .. } => ErrorCode::Unknown,
        };
        Self::new(code, &error.to_string())
    }
}

impl BundleStatus {
    /// Creates the status of the proposal in a row from its stored body; `None` if the row has no proposal.
    pub fn of_proposal(row: &BundleRow, body: bundle::Bundle) -> Option<Self> {
        let proposal = row.proposed.as_ref()?;
        let signed = SignedBundle { bundle: body, signatures: proposal.signatures.clone() };
        Some(Self { version: proposal.version, digest: proposal.digest, signed })
    }
}
