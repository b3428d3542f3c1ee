//! Rows of idempotency keys. A row is written conditionally twice: before the first attempt, and when the request ends.

use serde::{Deserialize, Serialize};

use super::message::{ClaimResult, KeyClaim};
use crate::prelude::*;
use crate::store::{Commit, Condition, OperationId, Row, RowVersion, Write};

/// The row of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRow {
    /// The entry that claimed the key.
    pub entry: Incarnation,
    /// The number of the request in that entry.
    pub request: u64,
    /// The hash of the request, see [`super::RequestSpec::digest`].
    pub digest: String,
    /// The outcome of the request, or `None` until it is recorded.
    pub outcome: Option<Outcome>,
}

/// The next action for the row of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyPlan {
    /// Apply this commit. If it conflicts, another call wrote the row first.
    Write(Commit),
    /// The existing row determines the result of the claim; nothing is written.
    Settled(ClaimResult),
}

/// Returns the key of the row for an idempotency key.
pub fn key_row_key(claim: &KeyClaim) -> String {
    format!("key/{}/{}", claim.organisation, claim.key)
}

/// Plans the claim of a key for a request of an entry, given the key's current row.
pub fn plan_claim(
    claim: &KeyClaim,
    entry: Incarnation,
    request: u64,
    row: Option<&Row>,
    operation: OperationId,
) -> KeyPlan {
    let Some(row) = row else {
        let content = KeyRow { entry, request, digest: claim.digest.clone(), outcome: None };
        return KeyPlan::Write(commit(claim, &content, RowVersion::ABSENT, operation));
    };
    let Some(found) = read_row(row) else { return KeyPlan::Settled(ClaimResult::Running) };
    KeyPlan::Settled(if found.digest != claim.digest {
        ClaimResult::Mismatch
    } else if let Some(outcome) = found.outcome {
        ClaimResult::Recorded(outcome)
    } else if (found.entry, found.request) == (entry, request) {
        ClaimResult::Claimed
    } else {
        ClaimResult::Running
    })
}

/// Plans the commit that records an outcome, or returns `None` if the row belongs to another request or already has an
/// outcome.
///
/// An absent row is written too, so that a claim of the same request that is still in flight to the table fails.
pub fn plan_finish(
    claim: &KeyClaim,
    entry: Incarnation,
    request: u64,
    outcome: Outcome,
    row: Option<&Row>,
    operation: OperationId,
) -> Option<Commit> {
    let version = match row {
        None => RowVersion::ABSENT,
        Some(row) => {
            let found = read_row(row)?;
            let is_open =
                (found.entry, found.request) == (entry, request) && found.outcome.is_none();
            is_open.then_some(row.version)?
        }
    };
    let digest = claim.digest.clone();
    let content = KeyRow { entry, request, digest, outcome: Some(outcome) };
    Some(commit(claim, &content, version, operation))
}

fn read_row(row: &Row) -> Option<KeyRow> {
    serde_json::from_value(row.value.clone()).ok()
}

fn commit(
    claim: &KeyClaim,
    content: &KeyRow,
    version: RowVersion,
    operation: OperationId,
) -> Commit {
    let key = key_row_key(claim);
    let value = serde_json::to_value(content).unwrap_or_default();
    Commit {
        operation,
        conditions: vec![Condition { key: key.clone(), version }],
        writes: vec![Write { key, value }],
    }
}
