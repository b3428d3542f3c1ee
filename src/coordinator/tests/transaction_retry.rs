//! Tests of transactions that are sent again while an earlier attempt has no answer yet.

use std::cell::Cell;
use std::future::pending;

use tokio::time::{Duration, Instant};

use crate::coordinator::transaction_retry::{TransactionOutcome, transact_with_retries};
use crate::store::{RowError, RowResult};

const LIMIT: Duration = Duration::from_millis(1_500);

/// An answer of the store to one attempt.
#[derive(Clone, Copy)]
enum Answer {
    None,
    After(Duration),
    Busy,
    Unknown,
}

async fn transact(answers: &[Answer]) -> (TransactionOutcome, Duration) {
    let began = Instant::now();
    let attempts = Cell::new(0);
    let attempt = || {
        let answer = answers.get(attempts.replace(attempts.get() + 1)).copied();
        async move {
            match answer.unwrap_or(Answer::None) {
                Answer::None => pending::<RowResult<u64>>().await,
                Answer::After(time) => {
                    tokio::time::sleep(time).await;
                    Ok(7)
                }
                Answer::Busy => Err(RowError::Unavailable { reason: "busy".to_owned() }),
                Answer::Unknown => Err(RowError::Unknown { reason: "reset".to_owned() }),
            }
        }
    };
    let outcome = transact_with_retries(attempt, LIMIT).await;
    (outcome, began.elapsed())
}

/// Guards against a write that waits for a lost answer until its time limit.
#[tokio::test(start_paused = true)]
async fn lost_answer_is_followed_by_a_second_attempt_within_250_ms() {
    let (outcome, took) = transact(&[Answer::None, Answer::After(Duration::from_millis(4))]).await;

    assert_eq!(outcome, TransactionOutcome::Applied(7));
    assert!(took < Duration::from_millis(250));
}

/// Guards against a slow answer that is discarded in favour of a newer attempt, which is slow as well.
#[tokio::test(start_paused = true)]
async fn first_answer_counts_when_all_attempts_are_slow() {
    let slow = Answer::After(Duration::from_millis(280));
    let (outcome, took) = transact(&[slow, slow]).await;

    assert_eq!(outcome, TransactionOutcome::Applied(7));
    assert!(took < Duration::from_millis(300));
}

/// Guards against an outcome of "not applied" while an earlier attempt may still be applied.
#[tokio::test(start_paused = true)]
async fn outcome_is_unknown_if_an_earlier_attempt_has_no_definite_result() {
    let (unanswered, took) =
        transact(&[Answer::None, Answer::Busy, Answer::Busy, Answer::Busy]).await;
    let (reset, _) = transact(&[Answer::Unknown, Answer::Busy, Answer::Busy, Answer::Busy]).await;

    assert!(matches!(unanswered, TransactionOutcome::Unknown(_)));
    assert!(took <= LIMIT + Duration::from_millis(10));
    assert!(matches!(reset, TransactionOutcome::Unknown(_)));
}

/// Guards against a client that waits although the store has rejected its only attempt.
#[tokio::test(start_paused = true)]
async fn rejected_transaction_returns_not_applied_at_once() {
    let (outcome, took) = transact(&[Answer::Busy]).await;

    assert!(matches!(outcome, TransactionOutcome::NotApplied(RowError::Unavailable { .. })));
    assert!(took < Duration::from_millis(10));
}
