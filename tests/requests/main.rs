//! Requests over real sockets. Each test covers one property that callers rely on (P3 to P8), or one failure.

mod deployment;

use std::sync::atomic::Ordering;

use deployment::{
    Agent, BODY_LIMIT_BYTES, Call, Entry, FaultyTable, client, eventually, large_answer, rules,
};
use serde_json::json;
use teaselhall::wire::DataCentreState;
use test_case::test_case;

async fn entry_and_agent(slots: u32) -> (FaultyTable, Entry, Agent) {
    let table = FaultyTable::default();
    let entry = Entry::start(&table, rules(), None).await;
    let agent = Agent::start("one", slots, &[&entry]).await;
    eventually("endpoint connects", || async { entry.endpoints().await == 1 }).await;
    (table, entry, agent)
}

/// Guards P4 without faults: a caller receives the complete answer with its outcome.
#[test_case(b"fit check 7", b"fit check 7"; "small")]
#[test_case(b"large one", &large_answer(b"large one"); "streamed")]
#[test_case(b"", b""; "empty")]
#[tokio::test]
async fn answer_arrives_complete_with_outcome_done(body: &[u8], expected: &[u8]) {
    let (_, entry, agent) = entry_and_agent(4).await;

    let (status, outcome, answer) = Call::new(&entry, body).answer().await;

    assert_eq!((status, outcome.as_str()), (200, "done"));
    assert!(answer == expected, "answer of {} bytes differs", answer.len());
    assert_eq!(agent.record.count(), 1);
}

/// Guards against answers that reach the wrong caller while many requests are in flight.
#[tokio::test]
async fn concurrent_answers_are_not_crossed() {
    let (_, entry, _agent) = entry_and_agent(8).await;

    let calls = (0..100).map(|number| {
        let body = format!("request {number}").into_bytes();
        let call = Call::new(&entry, &body);
        async move { (call.answer().await, body) }
    });

    for ((status, _, answer), body) in futures::future::join_all(calls).await {
        assert_eq!((status, answer), (200, body));
    }
}

/// Guards P4: if an answer ends early, the connection of a caller that already received a part of it is broken.
#[tokio::test]
async fn streamed_answer_that_ends_early_breaks_the_connection() {
    let (_, entry, agent) = entry_and_agent(4).await;

    let response = Call::new(&entry, b"break it").with("repeat", "never").send().await.unwrap();
    let status = response.status().as_u16();
    agent.record.release.notify_one();
    let body = response.bytes().await;

    assert_eq!(status, 200, "the answer was not streamed");
    assert!(body.is_err(), "the body of an incomplete answer ended without an error");
    assert_eq!(agent.record.count(), 1, "a request with repeat never ran again");
}

/// Guards against bad input that is accepted, or refused with an error that does not name the field.
#[test_case("organisation", "other", 400, "organisation"; "organisation that is not in the bundle")]
#[test_case("kind", "other", 400, "kind"; "kind that is not in the bundle")]
#[test_case("deadline_ms", "soon", 400, "deadline_ms"; "deadline that is not a number")]
#[test_case("deadline_ms", "0", 400, "deadline_ms"; "deadline of zero")]
#[test_case("repeat", "sometimes", 400, "repeat"; "unknown value of repeat")]
#[test_case("priority", "1", 400, "priority"; "unknown field")]
#[tokio::test]
async fn bad_input_is_refused_with_the_name_of_the_field(
    field: &str,
    value: &str,
    expected: u16,
    named_field: &str,
) {
    let (_, entry, agent) = entry_and_agent(4).await;

    let (status, outcome, body) = Call::new(&entry, b"x").with(field, value).answer().await;

    let body = String::from_utf8(body).unwrap();
    assert_eq!((status, outcome.as_str()), (expected, "not_run"), "{body}");
    assert!(body.contains(named_field), "{body}");
    assert_eq!(agent.record.count(), 0);
}

/// Guards against a large body that fills the memory of the entry.
#[tokio::test]
async fn body_over_the_limit_is_refused_as_not_run() {
    let (_, entry, agent) = entry_and_agent(4).await;
    let body = vec![0; BODY_LIMIT_BYTES as usize + 1];

    let (status, outcome, _) = Call::new(&entry, &body).answer().await;

    assert_eq!((status, outcome.as_str()), (413, "not_run"));
    assert_eq!(agent.record.count(), 0);
}

/// Guards against a queue without a limit, and against a refusal whose outcome is not `not_run`.
#[tokio::test]
async fn full_queue_refuses_as_not_run() {
    let table = FaultyTable::default();
    let mut rules = rules();
    rules.queue_limits.values_mut().for_each(|limit| *limit = 0);
    let entry = Entry::start(&table, rules, None).await;

    let (status, outcome, _) = Call::new(&entry, b"x").answer().await;

    assert_eq!((status, outcome.as_str()), (429, "not_run"));
}

/// Guards P5: without an endpoint, a request ends as not run at its deadline.
#[tokio::test]
async fn request_without_endpoint_ends_as_not_run_at_its_deadline() {
    let entry = Entry::start(&FaultyTable::default(), rules(), None).await;

    let (status, outcome, _) = Call::new(&entry, b"x").with("deadline_ms", "50").answer().await;

    assert_eq!((status, outcome.as_str()), (503, "not_run"));
}

/// Guards against a caller that waits forever for a request that an endpoint started and never answers.
#[tokio::test]
async fn started_request_without_answer_ends_as_unknown_at_its_deadline() {
    let (_, entry, agent) = entry_and_agent(4).await;

    let call = Call::new(&entry, b"hold").with("repeat", "never").with("deadline_ms", "200");
    let (status, outcome, _) = call.answer().await;

    assert_eq!((status, outcome.as_str()), (504, "unknown"));
    assert_eq!(agent.record.count(), 1);
}

/// Guards P7 and P8: during a drain the request in flight finishes, no request starts at the drained endpoint, and
/// further requests go to another endpoint.
#[tokio::test]
async fn drained_endpoint_finishes_request_in_flight_and_starts_none() {
    let (_, entry, agent) = entry_and_agent(4).await;
    let held = Call::new(&entry, b"hold").answer();
    let drain = async {
        eventually("request starts", || async { agent.record.count() == 1 }).await;
        let other = Agent::start("two", 4, &[&entry]).await;
        eventually("second endpoint", || async { entry.endpoints().await == 2 }).await;
        let url = format!("http://{}/v1/drain", agent.http);
        let drained = client().post(url).send();
        let later = async {
            for _ in 0..20 {
                assert_eq!(Call::new(&entry, b"later").answer().await.0, 200);
            }
            agent.record.release.notify_one();
        };
        let (drained, ()) = tokio::join!(drained, later);
        (drained.unwrap().status().as_u16(), other.record.count())
    };

    let ((status, outcome, body), (drained, elsewhere)) = tokio::join!(held, drain);

    assert_eq!((status, outcome.as_str(), body.as_slice()), (200, "done", &b"hold"[..]));
    assert_eq!(drained, 200);
    // The entry may send one request before it receives the drain; the agent refuses that request without starting it.
    assert_eq!((agent.record.count(), elsewhere), (1, 20));
}

/// Guards P3 for requests: after one entry sent the agent the state `Out`, the older state of another entry starts no
/// request.
#[tokio::test]
async fn data_centre_out_is_not_overridden_by_entry_with_older_state() {
    let table = FaultyTable::default();
    let informed = Entry::start(&table, rules(), None).await;
    let stale = Entry::start(&table, rules(), None).await;
    let agent = Agent::start("one", 4, &[&informed, &stale]).await;
    for entry in [&informed, &stale] {
        eventually("endpoint connects", || async { entry.endpoints().await == 1 }).await;
    }
    assert_eq!(Call::new(&stale, b"before").answer().await.0, 200);

    informed.send_data_centre_state(DataCentreState::Out, 2);
    eventually("agent receives the state", || async {
        agent.address.send(teaselhall::agent::endpoint::Dump).await.unwrap().data_centre_out
    })
    .await;
    stale.send_data_centre_state(DataCentreState::In, 1);
    let (status, outcome, _) = Call::new(&stale, b"x").with("deadline_ms", "300").answer().await;

    assert_eq!((status, outcome.as_str()), (503, "not_run"));
    assert_eq!(agent.record.count(), 1);
}

/// Guards against a restarted agent that answers or repeats attempts of its previous incarnation.
#[test_case("never", 504, 1; "repeat never runs once")]
#[test_case("allowed", 200, 2; "repeat allowed runs again")]
#[tokio::test]
async fn agent_restart_during_request_repeats_it_only_if_allowed(
    repeat: &str,
    expected: u16,
    runs: usize,
) {
    let (_, entry, agent) = entry_and_agent(4).await;
    let record = agent.record.clone();
    let call = Call::new(&entry, b"hold").with("repeat", repeat).answer();
    let restart = async {
        eventually("request starts", || async { record.count() == 1 }).await;
        let agent = agent.restart("one", &[&entry]).await;
        eventually("request ends or runs again", || async { record.count() == runs }).await;
        agent.record.release.notify_waiters();
        agent
    };

    let ((status, _, _), _agent) = tokio::join!(call, restart);

    assert_eq!(status, expected);
    assert_eq!(record.count(), runs);
}

/// Guards against a late answer to a request of a crashed entry that reaches a new caller of the restarted entry, which
/// has the same address.
#[tokio::test]
async fn answer_after_entry_restart_does_not_reach_new_caller() {
    let (table, mut entry, agent) = entry_and_agent(4).await;
    let broken = Call::new(&entry, b"hold").with("repeat", "never").send();
    let broken = tokio::spawn(broken);
    eventually("request starts", || async { agent.record.count() == 1 }).await;

    entry.crash();
    let call = broken.await.unwrap();
    let restarted = Entry::start(&table, rules(), Some(&entry)).await;
    eventually("endpoint connects to the restarted entry", || async {
        restarted.endpoints().await == 1
    })
    .await;
    agent.record.release.notify_waiters();
    let (status, _, answer) = Call::new(&restarted, b"new").answer().await;

    assert!(call.is_err(), "the caller of the crashed entry got an answer");
    assert_eq!((status, answer.as_slice()), (200, &b"new"[..]));
    assert_eq!(agent.record.count(), 2);
}

/// Guards against slots that stay in use, or a queue that stays full, after many callers disconnect at once.
#[tokio::test]
async fn disconnect_of_many_callers_frees_slots_and_queue() {
    let (_, entry, agent) = entry_and_agent(2).await;
    let callers: Vec<_> =
        (0..60).map(|_| tokio::spawn(Call::new(&entry, b"hold").send())).collect();
    eventually("slots are full", || async { agent.record.count() == 2 }).await;

    callers.iter().for_each(|caller| caller.abort());
    eventually("queue is empty", || async {
        let summary = entry.requests.send(teaselhall::entry::requests::Dump).await.unwrap();
        summary.waiting.values().all(|waiting| *waiting == 0)
    })
    .await;
    agent.record.release.notify_waiters();
    let (status, ..) = Call::new(&entry, b"next").answer().await;

    assert_eq!(status, 200);
    assert_eq!(agent.record.count(), 3, "a cancelled request started");
}

/// Guards against two requests with one idempotency key that both run because they arrive at different entries.
#[tokio::test]
async fn keyed_calls_through_two_entries_run_once() {
    let table = FaultyTable::default();
    let first = Entry::start(&table, rules(), None).await;
    let second = Entry::start(&table, rules(), None).await;
    let agent = Agent::start("one", 4, &[&first, &second]).await;
    for entry in [&first, &second] {
        eventually("endpoint connects", || async { entry.endpoints().await == 1 }).await;
    }

    let (status, ..) = Call::new(&first, b"x").key("k").answer().await;
    eventually("outcome is recorded", || async {
        let row = table.store.read_row("key/firm/k");
        row.is_some_and(|row| row.value["outcome"] == "done")
    })
    .await;
    let repeated = Call::new(&second, b"x").key("k").answer().await;
    let mismatched = Call::new(&second, b"y").key("k").answer().await;

    assert_eq!(status, 200);
    assert_eq!((repeated.0, repeated.1.as_str()), (409, "done"));
    assert_eq!((mismatched.0, mismatched.1.as_str()), (409, "not_run"));
    assert_eq!(agent.record.count(), 1);
}

/// Guards against keyed requests that run without a claim while the table is down, and against unkeyed ones that wait
/// for the table.
#[tokio::test]
async fn table_outage_refuses_keyed_requests_only() {
    let (table, entry, agent) = entry_and_agent(4).await;
    table.down.store(true, Ordering::SeqCst);

    let keyed = Call::new(&entry, b"x").key("k").answer().await;
    let unkeyed = Call::new(&entry, b"y").answer().await;

    assert_eq!((keyed.0, keyed.1.as_str()), (503, "not_run"));
    assert_eq!(unkeyed.0, 200);
    assert_eq!(*agent.record.bodies.lock().unwrap(), [b"y".to_vec()]);
}

/// Guards against a claim that counts as failed, or as the claim of another request, because the table's answer was
/// lost.
#[tokio::test]
async fn keyed_request_runs_when_the_answer_to_its_claim_is_lost() {
    let (table, entry, agent) = entry_and_agent(4).await;
    table.loses_answers.store(true, Ordering::SeqCst);

    let (status, ..) = Call::new(&entry, b"x").key("k").answer().await;

    assert_eq!(status, 200);
    assert_eq!(agent.record.count(), 1);
}

/// Guards against an announcement by which requests would be sent to another endpoint or machine.
#[test_case(json!({"endpoint": "two"}); "another endpoint")]
#[test_case(json!({"endpoint": "one", "url": "http://10.0.0.1/run"}); "another machine")]
#[test_case(json!({"endpoint": "one", "slots": 0}); "no slots")]
#[test_case(json!({"endpoint": "one", "slot": 4}); "unknown field")]
#[tokio::test]
async fn invalid_announcement_is_refused_and_the_earlier_one_stays(fields: serde_json::Value) {
    let (_, entry, agent) = entry_and_agent(4).await;

    assert_eq!(agent.announce(fields).await, 400);

    assert_eq!(Call::new(&entry, b"still").answer().await.0, 200);
}
