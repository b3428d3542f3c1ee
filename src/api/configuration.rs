//! Bodies of the routes for bundles, data centres and organisations.

use serde::{Deserialize, Serialize};

use super::{ApiError, ErrorCode};
use crate::bundle::{self, BundleRow, Digest, Organisation, Signature, SignedBundle};
use crate::permit;
use crate::prelude::*;

/// The body of `POST /v1/bundles/approve` and `POST /v1/bundles/rollout`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleActionRequest {
    /// The version.
    pub version: BundleVersion,
    /// The digest.
    pub digest: Digest,
    /// The signature of the partner that asks for the action, made for this purpose.
    pub signature: Signature,
}

impl From<BundleActionRequest> for bundle::SignedBundleAction {
    fn from(request: BundleActionRequest) -> Self {
        Self { version: request.version, digest: request.digest, signature: request.signature }
    }
}

/// The answer to a change of the bundle that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleChanged {
    /// The version.
    pub version: BundleVersion,
    /// The digest.
    pub digest: Digest,
    /// The entries that confirmed a rollout.
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

/// The answer to `GET /v1/bundles/current` and `GET /v1/bundles/proposed`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleStatus {
    /// The version.
    pub version: BundleVersion,
    /// The digest.
    pub digest: Digest,
    /// The content and the signatures so far.
    pub signed: SignedBundle,
}

/// The body of `POST /v1/datacentres/{id}/out` and `POST /v1/datacentres/{id}/in`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreStateRequest {
    /// The name of the operator, for the record and for those who lose a race.
    pub operator: String,
}

/// An organisation of the bundle in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationStatus {
    /// What the bundle says.
    pub organisation: Organisation,
    /// The accelerators of all its guaranteed blocks.
    pub guaranteed_accelerators: u64,
    /// The version of the bundle.
    pub bundle: BundleVersion,
}

impl OrganisationStatus {
    /// Describes an organisation of a bundle.
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
    /// Describes the proposal of a row, if there is one, with the body that was stored for it.
    pub fn of_proposal(row: &BundleRow, body: bundle::Bundle) -> Option<Self> {
        let proposal = row.proposed.as_ref()?;
        let signed = SignedBundle { bundle: body, signatures: proposal.signatures.clone() };
        Some(Self { version: proposal.version, digest: proposal.digest, signed })
    }
}
