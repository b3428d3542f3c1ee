//! Claims and records of idempotency keys in the table.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::prelude::*;
use crate::request::{ClaimResult, KeyClaim, KeyPlan, key_of, plan_claim, plan_finish};
use crate::store::{CommitOutcome, OperationId, Table, Writer};

/// The time in which a claim must get an answer; the caller is refused after it.
const CLAIM_LIMIT: Duration = Duration::from_secs(1);
/// The time for which the record of an outcome is tried.
const FINISH_LIMIT: Duration = Duration::from_secs(10);
/// How often the record of an outcome is planned anew after a conflict with a claim of the same request.
const FINISH_PLANS: u32 = 3;

/// Claims a key for a request of an entry.
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
    tokio::time::timeout(CLAIM_LIMIT, attempt).await.unwrap_or(ClaimResult::Unavailable)
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
    let Ok(row) = writer.table().read(&key_of(claim)).await else {
        return ClaimResult::Unavailable;
    };
    let mut random = ChaCha8Rng::from_rng(&mut rand::rng());
    let operation = OperationId::random(&mut random);
    let commit = match plan_claim(claim, entry, request, row.as_ref(), operation.clone()) {
        KeyPlan::Settled(result) => return result,
        KeyPlan::Write(commit) => commit,
    };
    match writer.commit(&commit, CLAIM_LIMIT, &mut random).await {
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

/// Records the outcome of a request, unless its key belongs to another one. Returns whether the row is settled.
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
    for _ in 0..FINISH_PLANS {
        let Ok(row) = writer.table().read(&key_of(claim)).await else { return false };
        let operation = OperationId::random(&mut random);
        let plan = plan_finish(claim, entry, request, outcome, row.as_ref(), operation);
        let Some(commit) = plan else { return true };
        match writer.commit(&commit, FINISH_LIMIT, &mut random).await {
            CommitOutcome::Durable(_) => return true,
            CommitOutcome::Conflict(_) => {}
            CommitOutcome::NotApplied(_) | CommitOutcome::Unknown(_) => return false,
        }
    }
    false
}
