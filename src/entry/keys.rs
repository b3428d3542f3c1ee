//! Claims idempotency keys in the table, and records the outcomes of their requests there.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::prelude::*;
use crate::request::{ClaimResult, KeyClaim, KeyPlan, key_row_key, plan_claim, plan_finish};
use crate::store::{CommitOutcome, OperationId, Table, Writer};

/// The time in which the table must answer a claim. After it, the claim counts as unavailable and the call is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// The time for which one write of an outcome is retried.
const FINISH_TIMEOUT: Duration = Duration::from_secs(10);
/// The number of times the write of an outcome is planned. A late claim of the same request can cause a conflict, after
/// which the row is read and the write is planned again.
const MAX_FINISH_PLANS: u32 = 3;

/// Claims an idempotency key for a request of an entry. The result is unavailable if the table does not answer in time.
pub(super) async fn claim<T>(
    writer: &Writer<T>,
    entry: Incarnation,
    request: u64,
    claim: &KeyClaim,
) -> ClaimResult
where
    T: Table,
{
    let attempt = claim_once(writer, entry, request, claim);
    tokio::time::timeout(CLAIM_TIMEOUT, attempt).await.unwrap_or(ClaimResult::Unavailable)
}

async fn claim_once<T>(
    writer: &Writer<T>,
    entry: Incarnation,
    request: u64,
    claim: &KeyClaim,
) -> ClaimResult
where
    T: Table,
{
    let Ok(row) = writer.table().read(&key_row_key(claim)).await else {
        return ClaimResult::Unavailable;
    };
    let mut random = ChaCha8Rng::from_rng(&mut rand::rng());
    let operation = OperationId::random(&mut random);
    let commit = match plan_claim(claim, entry, request, row.as_ref(), operation.clone()) {
        KeyPlan::Settled(result) => return result,
        KeyPlan::Write(commit) => commit,
    };
    match writer.commit(&commit, CLAIM_TIMEOUT, &mut random).await {
        CommitOutcome::Durable(_) => ClaimResult::Claimed,
        CommitOutcome::Conflict(row) => {
            match plan_claim(claim, entry, request, Some(&row), operation) {
                KeyPlan::Settled(result) => result,
                KeyPlan::Write(_) => ClaimResult::Running,
            }
        }
        CommitOutcome::NotApplied(_) | CommitOutcome::Unknown(_) => ClaimResult::Unavailable,
    }
}

/// Records the outcome of a request in the row of its key, unless the key belongs to another request.
///
/// Returns whether the row needs no further write.
pub(super) async fn finish<T>(
    writer: &Writer<T>,
    entry: Incarnation,
    request: u64,
    claim: &KeyClaim,
    outcome: Outcome,
) -> bool
where
    T: Table,
{
    let mut random = ChaCha8Rng::from_rng(&mut rand::rng());
    for _ in 0..MAX_FINISH_PLANS {
        let Ok(row) = writer.table().read(&key_row_key(claim)).await else { return false };
        let operation = OperationId::random(&mut random);
        let plan = plan_finish(claim, entry, request, outcome, row.as_ref(), operation);
        let Some(commit) = plan else { return true };
        match writer.commit(&commit, FINISH_TIMEOUT, &mut random).await {
            CommitOutcome::Durable(_) => return true,
            CommitOutcome::Conflict(_) => {}
            CommitOutcome::NotApplied(_) | CommitOutcome::Unknown(_) => return false,
        }
    }
    false
}
