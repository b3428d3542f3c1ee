//! Tests of the election.

mod uneven_machines;

use super::*;

const SETTINGS: ElectionSettings = ElectionSettings {
    silence_ms: 900,
    stagger_ms: 250,
    store_silence_ms: 1_700,
    store_failing_ms: 600,
    retry_ms: 500,
    machine_wait_ms: 0,
    has_uneven_machines: false,
};

fn process(name: &str) -> ProcessId {
    ProcessId::from(name)
}

fn leadership(epoch: u64, leader: &str) -> Leadership {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 7_000));
    Leadership { epoch: Epoch(epoch), leader: process(leader), address }
}

fn gossip(from: &str, leadership: Option<Leadership>) -> Gossip {
    Gossip {
        process: process(from),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 7_000)),
        leadership,
        leader_contact_age_ms: 0,
        leader_store_age_ms: 0,
        store_age_ms: 0,
        store_is_failing: false,
        directives_as_of: 0,
        is_ending: false,
        leads: from == "a",
    }
}

/// Returns a coordinator that follows leader `a` of epoch 1, whose last sign of life came at 1,000 ms.
fn follower(name: &str) -> LeaderElection {
    let mut election = LeaderElection::new(process(name), SETTINGS, 0);
    election.store_answered(1_000);
    election.on_gossip(1_000, &gossip("a", Some(leadership(1, "a"))));
    election
}

/// Returns a coordinator that was elected as the leader of epoch 1 at 1,000 ms.
fn leader(name: &str) -> LeaderElection {
    let mut election = LeaderElection::new(process(name), SETTINGS, 0);
    election.store_answered(1_000);
    assert_eq!(election.decide(1_000), ElectionStep::TakeOver);
    election.on_elected(1_000, leadership(1, name));
    election
}

/// Guards against a restarted coordinator that replaces a live leader before it has read the leader's row.
#[test]
fn follower_does_not_take_over_before_the_first_store_answer() {
    let mut election = LeaderElection::new(process("b"), SETTINGS, 0);

    assert_eq!(election.decide(10_000), ElectionStep::Stay);
    election.store_answered(10_000);
    assert_eq!(election.decide(10_000), ElectionStep::TakeOver);
}

/// Guards against a coordinator that replaces a leader right after reading its row, before any gossip can arrive.
#[test]
fn leader_read_from_the_store_gets_the_full_silence_limit() {
    let mut election = LeaderElection::new(process("b"), SETTINGS, 0);
    election.store_answered(5_000);
    election.observe_leadership(5_000, &leadership(1, "a"));

    assert_eq!(election.decide(5_800), ElectionStep::Stay);
    assert_eq!(election.decide(5_900), ElectionStep::TakeOver);
}

/// Guards against a takeover that exceeds the limit of one second that clients rely on.
#[test]
fn silent_leader_is_replaced_within_a_second() {
    let mut election = follower("b");

    assert_eq!(election.decide(1_800), ElectionStep::Stay);
    assert_eq!(election.decide(1_900), ElectionStep::TakeOver);
}

/// Guards against two candidates that try to take over at the same moment.
#[test]
fn lower_ranked_candidate_waits_longer() {
    let mut election = follower("c");
    election.on_gossip(1_800, &gossip("b", None));
    assert_eq!(election.decide(1_950), ElectionStep::Stay);

    assert_eq!(election.decide(2_100), ElectionStep::Stay);
    assert_eq!(election.decide(2_150), ElectionStep::TakeOver);
}

/// Guards against a coordinator that has lost its connection to the leader and replaces it, although other
/// coordinators still receive its gossip.
#[test]
fn leader_reported_alive_by_another_coordinator_is_kept() {
    let mut election = follower("b");
    for now_ms in [1_800, 2_400, 3_000] {
        election.on_gossip(now_ms, &gossip("c", Some(leadership(1, "a"))));
    }

    assert_eq!(election.decide(3_500), ElectionStep::Stay);
}

/// Guards against a live leader that cannot write: its jobs would wait for as long as the store does not answer it.
#[test]
fn leader_without_store_answers_is_replaced_by_a_follower_with_answers() {
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

/// Guards against a useless change of leaders during an outage in which the store answers no coordinator.
#[test]
fn leader_is_kept_while_the_store_answers_no_coordinator() {
    let mut election = follower("b");
    let mut leader_a = leader("a");
    for now_ms in (1_300..=9_000).step_by(300) {
        let age_ms = now_ms - 1_000;
        let silent = Gossip {
            leader_store_age_ms: age_ms,
            store_age_ms: age_ms,
            ..gossip("a", Some(leadership(1, "a")))
        };
        election.on_gossip(now_ms, &silent);
        leader_a.on_gossip(now_ms, &Gossip { store_age_ms: age_ms, ..gossip("b", None) });
    }

    assert_eq!(election.decide(9_000), ElectionStep::Stay);
    assert_eq!(leader_a.decide(9_000), ElectionStep::Stay);
}

/// Guards against a leader that keeps leading although the store answers only other coordinators.
#[test]
fn leader_steps_down_if_the_store_answers_only_another_coordinator() {
    let mut leader_a = leader("a");
    leader_a.on_gossip(2_700, &gossip("b", Some(leadership(1, "a"))));

    assert_eq!(leader_a.decide(2_750), ElectionStep::Stay);
    assert!(matches!(leader_a.decide(3_150), ElectionStep::StepDown(_)));
}

/// Guards against jobs that wait 3 s for a new leader although the store refuses the old leader's calls immediately.
/// A follower takes over as soon as the old leader's gossip reports that it no longer leads.
#[test]
fn leader_with_refused_store_calls_steps_down_sooner_and_its_gossip_triggers_a_takeover() {
    let mut leader_a = leader("a");
    let mut follower_b = follower("b");
    leader_a.set_store_failing(true);
    leader_a.on_gossip(1_800, &gossip("b", Some(leadership(1, "a"))));

    assert_eq!(leader_a.decide(1_800), ElectionStep::Stay);
    assert!(matches!(leader_a.decide(2_200), ElectionStep::StepDown(_)));
    follower_b.store_answered(1_700);
    follower_b.on_gossip(1_800, &Gossip { leads: false, ..gossip("a", Some(leadership(1, "a"))) });
    assert_eq!(follower_b.decide(1_800), ElectionStep::TakeOver);
}

/// Guards against a replaced leader that keeps leading after it received its successor's epoch.
#[test]
fn leader_becomes_a_follower_on_gossip_with_a_higher_epoch() {
    let mut leader_a = leader("a");

    assert!(leader_a.on_gossip(1_500, &gossip("b", Some(leadership(2, "b")))));

    assert_eq!(leader_a.role(), ElectionRole::Follower);
    assert!(!leader_a.observe_leadership(1_600, &leadership(1, "a")));
}

/// Guards against a coordinator that takes over again while its process is ending, and against followers that wait for
/// the full silence limit after its connection was closed.
#[test]
fn ending_leader_steps_down_for_good_and_is_replaced_early() {
    let mut ending = leader("a");
    let mut follower_b = follower("b");

    ending.stop_candidacy();
    assert!(matches!(ending.decide(1_100), ElectionStep::StepDown(_)));
    ending.step_down(1_100);
    assert_eq!(ending.decide(9_000), ElectionStep::Stay);

    follower_b.on_peer_disconnected(1_200, &process("a"));
    assert_eq!(follower_b.decide(1_600), ElectionStep::TakeOver);
}

/// Guards against a failed takeover that is retried without a delay.
#[test]
fn failed_takeover_is_retried_after_a_delay() {
    let mut election = follower("b");
    assert_eq!(election.decide(1_900), ElectionStep::TakeOver);

    election.on_takeover_failed(1_950, None);

    assert_eq!(election.decide(2_400), ElectionStep::Stay);
    assert_eq!(election.decide(2_450), ElectionStep::TakeOver);
}

/// Guards against a change of leaders after a store outage for all coordinators, only because a follower reached the
/// store a moment before the leader.
#[test]
fn leader_that_reaches_the_store_shortly_after_a_follower_is_kept() {
    let mut leader_a = leader("a");
    let mut follower_b = follower("b");
    leader_a.set_store_failing(true);
    leader_a.on_gossip(6_000, &gossip("b", Some(leadership(1, "a"))));
    let behind = Gossip { leader_store_age_ms: 5_000, ..gossip("a", Some(leadership(1, "a"))) };
    follower_b.store_answered(6_000);
    follower_b.on_gossip(6_000, &behind);
    assert_eq!(leader_a.decide(6_050), ElectionStep::Stay);
    assert_eq!(follower_b.decide(6_050), ElectionStep::Stay);

    leader_a.set_store_failing(false);
    leader_a.store_answered(6_200);
    follower_b.on_gossip(6_300, &gossip("a", Some(leadership(1, "a"))));

    assert_eq!(leader_a.decide(6_500), ElectionStep::Stay);
    assert_eq!(follower_b.decide(6_500), ElectionStep::Stay);
}

/// Guards against a leader that renews leases after its machine was suspended, by an answer of the store that had waited in
/// a socket meanwhile: another coordinator may lead by then.
#[test]
fn answer_from_before_a_suspension_does_not_confirm_the_leadership() {
    let mut election = leader("a");
    election.confirm_leadership(1_000);
    assert_eq!(election.confirmation_age_ms(2_000), 1_000);

    election.store_answered(20_000);
    election.confirm_leadership(2_500);
    assert_eq!(election.confirmation_age_ms(20_000), 17_500);

    election.confirm_leadership(20_010);
    assert_eq!(election.confirmation_age_ms(20_020), 10);
    election.step_down(20_020);
    assert_eq!(election.confirmation_age_ms(20_020), u64::MAX);
}
