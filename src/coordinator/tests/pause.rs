//! Tests of coordinators that were paused.

use super::*;
use crate::coordinator::pause::PauseDetector;

/// Guards against requests that are decided by directives from before a pause, and against an answer from before its end
/// that counts as a confirmation.
#[test]
fn directives_from_before_a_pause_do_not_decide() {
    let detector = PauseDetector::default();
    assert!(detector.may_decide(5_000), "the process has just started");
    assert_eq!(detector.tick(10_000), None);
    assert_eq!(detector.tick(10_300), None);
    assert!(detector.may_decide(12_000), "a tick is late, as on a slow machine");

    assert!(
        !detector.may_decide(15_000),
        "requests are handled before the first tick after the pause"
    );
    assert_eq!(detector.tick(15_000), Some(4_700));
    detector.confirm(10_200);
    assert!(!detector.may_decide(15_010));
    detector.confirm(15_020);

    assert!(detector.may_decide(15_030));
}

/// Guards against a withdrawn key that a process accepts after it was paused, and against one that refuses all requests
/// from then on.
#[tokio::test]
async fn paused_coordinator_accepts_requests_once_its_directives_are_confirmed() {
    let store = MemoryRowStore::default();
    publish_rules(&store, &rules(1)).await;
    let members = members(2, &store);
    wait_until_ready(&members).await;
    let paused = &members[1];
    let runtime = paused.runtime.as_ref().expect("it is not killed");

    // Blocks the only thread of the coordinator.
    runtime.spawn(async { std::thread::sleep(Duration::from_millis(3_500)) });
    tokio::time::sleep(Duration::from_millis(2_600)).await;
    let during = paused.service().submit(&JobId::from("during"), &record(), 3_000).await;
    publish_rules(&store, &rules(2)).await;
    eventually("requests are accepted again", || {
        paused.service().shared.pause.may_decide(paused.service().clock.now_ms())
    })
    .await;

    assert_eq!(during, Submission::NotAccepted);
    assert_eq!(paused.service().rules().map(|rules| rules.version), Some(2));
    let after = paused.service().submit(&JobId::from("after"), &record(), 3_000).await;
    assert_eq!(after, Submission::Accepted);
}
