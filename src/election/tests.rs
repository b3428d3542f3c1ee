//! Tests of the election.

use super::*;

const SETTINGS: ElectionSettings = ElectionSettings {
    silence_ms: 900,
    stagger_ms: 250,
    store_silence_ms: 1_700,
    store_failing_ms: 600,
    retry_ms: 500,
};

fn process(name: &str) -> ProcessId {
    ProcessId::from(name)
}

fn leadership(epoch: u64, leader: &str) -> Leadership {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 7_000));
    Leadership { epoch: Epoch(epoch), leader: process(leader), address }
}

fn gossip(from: &str, known: Option<Leadership>) -> Gossip {
    Gossip {
        process: process(from),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 7_000)),
        leadership: known,
        leader_heard_age_ms: 0,
        leader_store_age_ms: 0,
        store_age_ms: 0,
        store_is_failing: false,
        directives_as_of: 0,
        is_ending: false,
        leads: from == "a",
    }
}

/// A coordinator that follows leader `a` of epoch 1, heard at 1,000 ms.
fn follower(name: &str) -> LeaderElection {
    let mut election = LeaderElection::new(process(name), SETTINGS, 0);
    election.store_answered(1_000);
    election.on_gossip(1_000, &gossip("a", Some(leadership(1, "a"))));
    election
}

fn leader(name: &str) -> LeaderElection {
    let mut election = LeaderElection::new(process(name), SETTINGS, 0);
    election.store_answered(1_000);
    assert_eq!(election.decide(1_000), ElectionStep::TakeOver);
    election.on_elected(1_000, leadership(1, name));
    election
}

/// Guards against a restarted coordinator that replaces a live leader before it has read who leads.
#[test]
fn nobody_takes_over_before_the_store_has_answered() {
    let mut election = LeaderElection::new(process("b"), SETTINGS, 0);

    assert_eq!(election.decide(10_000), ElectionStep::Stay);
    election.store_answered(10_000);
    assert_eq!(election.decide(10_000), ElectionStep::TakeOver);
}

/// Guards against a coordinator that replaces a leader whom it has just learned of.
#[test]
fn a_leader_that_the_store_names_has_time_to_be_heard() {
    let mut election = LeaderElection::new(process("b"), SETTINGS, 0);
    election.store_answered(5_000);
    election.observe_leadership(5_000, &leadership(1, "a"));

    assert_eq!(election.decide(5_800), ElectionStep::Stay);
    assert_eq!(election.decide(5_900), ElectionStep::TakeOver);
}

/// Guards against a takeover that takes longer than the second that clients' rules leave.
#[test]
fn a_silent_leader_is_replaced_within_a_second() {
    let mut election = follower("b");

    assert_eq!(election.decide(1_800), ElectionStep::Stay);
    assert_eq!(election.decide(1_900), ElectionStep::TakeOver);
}

/// Guards against two candidates that compete at the same moment.
#[test]
fn a_later_candidate_waits_longer() {
    let mut election = follower("c");
    election.on_gossip(1_800, &gossip("b", None));
    assert_eq!(election.decide(1_950), ElectionStep::Stay);

    assert_eq!(election.decide(2_100), ElectionStep::Stay);
    assert_eq!(election.decide(2_150), ElectionStep::TakeOver);
}

/// Guards against a coordinator that is cut off from the leader and replaces it though others hear it.
#[test]
fn a_leader_that_another_coordinator_hears_is_not_replaced() {
    let mut election = follower("b");
    for now_ms in [1_800, 2_400, 3_000] {
        election.on_gossip(now_ms, &gossip("c", Some(leadership(1, "a"))));
    }

    assert_eq!(election.decide(3_500), ElectionStep::Stay);
}

/// Guards against a leader that lives and cannot write: its jobs would wait as long as the store turns it away.
#[test]
fn a_leader_that_the_store_turns_away_is_replaced() {
    let mut election = follower("b");
    for now_ms in (1_300..=2_800).step_by(300) {
        let age_ms = now_ms - 1_000;
        let cut_off =
            Gossip { leader_store_age_ms: age_ms, ..gossip("a", Some(leadership(1, "a"))) };
        election.on_gossip(now_ms, &cut_off);
        election.store_answered(now_ms);
    }

    assert_eq!(election.decide(2_650), ElectionStep::Stay);
    assert_eq!(election.decide(2_800), ElectionStep::Stay);
    assert_eq!(election.decide(3_200), ElectionStep::TakeOver);
}

/// Guards against a change of leaders while the store answers nobody: it would help nothing.
#[test]
fn a_leader_is_kept_while_the_store_answers_nobody() {
    let mut election = follower("b");
    let mut own = leader("a");
    for now_ms in (1_300..=9_000).step_by(300) {
        let age_ms = now_ms - 1_000;
        let silent = Gossip {
            leader_store_age_ms: age_ms,
            store_age_ms: age_ms,
            ..gossip("a", Some(leadership(1, "a")))
        };
        election.on_gossip(now_ms, &silent);
        own.on_gossip(now_ms, &Gossip { store_age_ms: age_ms, ..gossip("b", None) });
    }

    assert_eq!(election.decide(9_000), ElectionStep::Stay);
    assert_eq!(own.decide(9_000), ElectionStep::Stay);
}

/// Guards against a leader that holds on though the store answers only others.
#[test]
fn a_leader_gives_up_if_the_store_answers_another() {
    let mut own = leader("a");
    own.on_gossip(2_700, &gossip("b", Some(leadership(1, "a"))));

    assert_eq!(own.decide(2_750), ElectionStep::Stay);
    assert!(matches!(own.decide(3_150), ElectionStep::StepDown(_)));
}

/// Guards against jobs that wait 3 s for a new leader although the store refuses the calls of the old one at once.
#[test]
fn a_leader_whose_calls_are_refused_gives_up_sooner_and_says_so() {
    let mut own = leader("a");
    let mut other = follower("b");
    own.set_store_failing(true);
    own.on_gossip(1_800, &gossip("b", Some(leadership(1, "a"))));

    assert_eq!(own.decide(1_800), ElectionStep::Stay);
    assert!(matches!(own.decide(2_200), ElectionStep::StepDown(_)));
    other.store_answered(1_700);
    other.on_gossip(1_800, &Gossip { leads: false, ..gossip("a", Some(leadership(1, "a"))) });
    assert_eq!(other.decide(1_800), ElectionStep::TakeOver);
}

/// Guards against an earlier leader that goes on after it heard of its successor.
#[test]
fn a_leader_that_hears_of_a_higher_epoch_follows() {
    let mut own = leader("a");

    assert!(own.on_gossip(1_500, &gossip("b", Some(leadership(2, "b")))));

    assert_eq!(own.role(), ElectionRole::Follower);
    assert!(!own.observe_leadership(1_600, &leadership(1, "a")));
}

/// Guards against a coordinator that ends and takes over once more, and against others that wait for its silence.
#[test]
fn a_coordinator_that_ends_hands_over() {
    let mut ending = leader("a");
    let mut other = follower("b");

    ending.stop_candidacy();
    assert!(matches!(ending.decide(1_100), ElectionStep::StepDown(_)));
    ending.step_down(1_100);
    assert_eq!(ending.decide(9_000), ElectionStep::Stay);

    other.on_peer_disconnected(1_200, &process("a"));
    assert_eq!(other.decide(1_600), ElectionStep::TakeOver);
}

/// Guards against a failed attempt that is repeated without a pause.
#[test]
fn a_failed_attempt_is_repeated_after_a_pause() {
    let mut election = follower("b");
    assert_eq!(election.decide(1_900), ElectionStep::TakeOver);

    election.on_takeover_failed(1_950, None);

    assert_eq!(election.decide(2_400), ElectionStep::Stay);
    assert_eq!(election.decide(2_450), ElectionStep::TakeOver);
}

/// Guards against a change of leaders after an outage for all, because one coordinator reached the store a moment
/// sooner.
#[test]
fn a_leader_that_reaches_the_store_a_moment_later_is_kept() {
    let mut own = leader("a");
    let mut other = follower("b");
    own.set_store_failing(true);
    own.on_gossip(6_000, &gossip("b", Some(leadership(1, "a"))));
    let behind = Gossip { leader_store_age_ms: 5_000, ..gossip("a", Some(leadership(1, "a"))) };
    other.store_answered(6_000);
    other.on_gossip(6_000, &behind);
    assert_eq!(own.decide(6_050), ElectionStep::Stay);
    assert_eq!(other.decide(6_050), ElectionStep::Stay);

    own.set_store_failing(false);
    own.store_answered(6_200);
    other.on_gossip(6_300, &gossip("a", Some(leadership(1, "a"))));

    assert_eq!(own.decide(6_500), ElectionStep::Stay);
    assert_eq!(other.decide(6_500), ElectionStep::Stay);
}
