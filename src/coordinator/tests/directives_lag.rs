//! Tests of the distribution of directives among coordinators.

use super::*;
use crate::coordinator::directives_lag::DirectivesLag;

/// Guards against directives that each coordinator sends to each other one: their cost grows with the square of the
/// number of coordinators.
#[tokio::test]
async fn coordinators_that_watch_the_store_send_each_other_no_directives() {
    const CHANGES: u64 = 10;
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(5, &store);
    wait_until_ready(&members).await;
    let sent = || -> u64 {
        let sent_by = |member: &Member| {
            let totals = member.handle.traffic.totals();
            totals.get("peer_directives").map_or(0, |sent| sent.count)
        };
        members.iter().map(sent_by).sum()
    };
    let sent_before = sent();

    for version in 2..2 + CHANGES {
        publish_rules(&store, &rules(version)).await;
        for member in &members {
            eventually("the rules are applied", || {
                member.service().rules().is_some_and(|rules| rules.version == version)
            })
            .await;
        }
    }

    // A coordinator whose own watch answers late may request a change once.
    assert!(sent() - sent_before <= CHANGES, "{}", sent() - sent_before);
}

/// Guards against requests before the own watch of the store had time to deliver the change, and against one request for
/// each gossip message.
#[test]
fn directives_are_requested_after_a_lag_and_at_intervals() {
    let mut lag = DirectivesLag::default();

    assert!(!lag.should_request(1_000, 5, 5));
    assert!(!lag.should_request(1_000, 5, 6), "the lag has just begun");
    assert!(lag.should_request(1_300, 5, 6));
    assert!(!lag.should_request(1_310, 5, 7), "a request was just sent");
    assert!(lag.should_request(1_600, 5, 7));
    assert!(!lag.should_request(1_900, 6, 7), "the lag of the new version has just begun");
}
