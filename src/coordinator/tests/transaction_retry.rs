//! Tests of transactions that are repeated before their answers are known to be lost.

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

async fn write(answers: &[Answer]) -> (TransactionOutcome, Duration) {
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

/// Guards against a write whose lost answer is waited for until its time is over.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_costs_a_fraction_of_a_second() {
    let (outcome, took) = write(&[Answer::None, Answer::After(Duration::from_millis(4))]).await;

    assert_eq!(outcome, TransactionOutcome::Applied(7));
    assert!(took < Duration::from_millis(250));
}

/// Guards against a slow answer that is thrown away for a newer attempt, which is slow as well.
#[tokio::test(start_paused = true)]
async fn the_first_of_several_slow_answers_is_taken() {
    let slow = Answer::After(Duration::from_millis(280));
    let (outcome, took) = write(&[slow, slow]).await;

    assert_eq!(outcome, TransactionOutcome::Applied(7));
    assert!(took < Duration::from_millis(300));
}

/// Guards against a refusal while an earlier attempt may still be applied.
#[tokio::test(start_paused = true)]
async fn an_open_attempt_forbids_a_refusal() {
    let (silent, took) = write(&[Answer::None, Answer::Busy, Answer::Busy, Answer::Busy]).await;
    let (reset, _) = write(&[Answer::Unknown, Answer::Busy, Answer::Busy, Answer::Busy]).await;

    assert!(matches!(silent, TransactionOutcome::Unknown(_)));
    assert!(took <= LIMIT + Duration::from_millis(10));
    assert!(matches!(reset, TransactionOutcome::Unknown(_)));
}

/// Guards against a client that waits although the store has refused its write.
#[tokio::test(start_paused = true)]
async fn a_refusal_is_passed_on_at_once() {
    let (outcome, took) = write(&[Answer::Busy]).await;

    assert!(matches!(outcome, TransactionOutcome::NotApplied(RowError::Unavailable { .. })));
    assert!(took < Duration::from_millis(10));
}
