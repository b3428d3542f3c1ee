//! Tests of coordinators on machines of different classes, and of leaders that are too slow.

use test_case::test_case;

use super::*;

/// Returns a follower of `a`, silent since 1,000 ms, that last heard the other coordinators at 1,700 ms.
fn follower_on(class: MachineClass, name: &str, others: &[&str]) -> LeaderElection {
    let mut election = follower(name);
    election.settings.machine_wait_ms = class.takeover_wait_ms();
    election.settings.has_uneven_machines = true;
    for other in others.iter().filter(|other| **other != name) {
        election.on_gossip(1_700, &gossip(other, None));
    }
    election
}

/// Returns the time from the last sign of life of the leader to the first attempt to take over.
fn takeover_ms(election: &mut LeaderElection) -> Option<u64> {
    (1_000..6_000).find(|now_ms| election.decide(*now_ms) == ElectionStep::TakeOver)
}

/// Returns a leader that restored its state at 1,000 ms, hands over if it is too slow, and hears gossip of `b` until
/// `until_ms`.
fn leader_with_late_ticks(interval_ms: usize, until_ms: u64) -> LeaderElection {
    let mut election = leader("a");
    election.settings.has_uneven_machines = true;
    election.on_restored(1_000);
    for now_ms in (1_000..=until_ms).step_by(interval_ms) {
        election.on_tick(now_ms, now_ms);
        election.store_answered(now_ms);
        election.on_gossip(now_ms, &gossip("b", Some(leadership(1, "a"))));
    }
    election
}

fn peer_b(election: &mut LeaderElection) -> &mut Peer {
    election.peers.get_mut(&process("b")).expect("it has sent gossip")
}

fn hands_over(election: &mut LeaderElection, now_ms: u64) -> bool {
    matches!(election.decide(now_ms), ElectionStep::HandOver(_))
}

/// Guards against leaders on machines that cannot plan for all workers, and against a class that depends on a limit which
/// is not stated.
#[test_case(Some(300), Some(90), Some(3_420), MachineClass::Strong)]
#[test_case(Some(299), Some(512), Some(200_000), MachineClass::Medium; "little CPU time")]
#[test_case(Some(500), Some(59), Some(200_000), MachineClass::Weak; "little memory")]
#[test_case(Some(500), Some(512), Some(2_000), MachineClass::Weak; "slow link")]
#[test_case(Some(90), None, None, MachineClass::Weak; "only the CPU time is stated")]
#[test_case(None, None, None, MachineClass::Strong; "nothing is stated")]
fn class_is_that_of_the_scarcest_resource(
    cpu_milli: Option<u64>,
    memory_mb: Option<u64>,
    link_kbps: Option<u64>,
    expected: MachineClass,
) {
    assert_eq!(MachineLimits { cpu_milli, memory_mb, link_kbps }.class(), expected);
}

/// Guards against a weak coordinator that leads because its process id sorts first, and against two classes that both
/// take over: the weaker ones follow the first one's leadership.
#[test]
fn strong_coordinator_takes_over_before_weaker_ones_that_sort_first() {
    let names = ["b", "c", "d"];
    let mut weak = follower_on(MachineClass::Weak, "b", &names);
    let mut medium = follower_on(MachineClass::Medium, "c", &names);
    let mut strong = follower_on(MachineClass::Strong, "d", &names);
    let [mut other_medium, mut other_weak] = [medium.clone(), weak.clone()];

    let first_ms = takeover_ms(&mut strong).expect("it takes over");
    assert!(takeover_ms(&mut other_medium).is_some_and(|at_ms| at_ms > first_ms));
    assert!(takeover_ms(&mut other_weak).is_some_and(|at_ms| at_ms > first_ms));
    strong.on_elected(first_ms, leadership(2, "d"));
    let elected = Gossip { leads: true, ..gossip("d", Some(leadership(2, "d"))) };
    for other in [&mut medium, &mut weak] {
        other.on_gossip(first_ms + 100, &elected);
        assert_eq!(other.decide(first_ms + 900), ElectionStep::Stay);
    }
}

/// Guards against work that waits for more than a second longer because only weak coordinators are left, at the start of
/// the system too.
#[test]
fn weak_coordinators_take_over_a_second_later_at_most() {
    let before = takeover_ms(&mut follower_on(MachineClass::Strong, "b", &["b", "c"]));
    let after = takeover_ms(&mut follower_on(MachineClass::Weak, "b", &["b", "c"]));
    assert_eq!(before.map(|at_ms| at_ms + 1_000), after);

    let mut first = LeaderElection::new(process("b"), SETTINGS, 0);
    first.settings.machine_wait_ms = MachineClass::Weak.takeover_wait_ms();
    first.store_answered(10);
    assert_eq!(first.decide(999), ElectionStep::Stay);
    assert_eq!(first.decide(1_000), ElectionStep::TakeOver);
}

/// Guards against a system without a leader after one stepped down and goes on to say so: its gossip comes more often than
/// the waits of the others end.
#[test_case(MachineClass::Weak, &["b", "c"], 1_500; "only weak coordinators are left")]
#[test_case(MachineClass::Strong, &["b", "c", "d"], 600; "strong coordinator sorts last")]
fn gossip_of_a_former_leader_does_not_prolong_waits(
    class: MachineClass,
    names: &[&str],
    expected_ms: u64,
) {
    let own = names.last().expect("there are names");
    let mut election = follower_on(class, own, names);
    let stepped_down = Gossip { leads: false, ..gossip("a", Some(leadership(1, "a"))) };
    let report = Gossip { leader_contact_age_ms: 50, ..gossip("b", Some(leadership(1, "a"))) };

    let took_over_ms = (1_800..6_000).step_by(300).find(|now_ms| {
        election.on_gossip(*now_ms, &stepped_down);
        election.on_gossip(*now_ms, &report);
        election.decide(*now_ms) == ElectionStep::TakeOver
    });

    assert_eq!(took_over_ms, Some(1_800 + expected_ms));
}

/// Guards against a leader that gives up the leadership for normal delays or a single pause.
#[test]
fn leader_whose_timer_is_seldom_late_stays() {
    let mut healthy = leader_with_late_ticks(250, 9_000);
    healthy.on_tick(14_000, 14_000);
    healthy.on_gossip(14_000, &gossip("b", None));

    assert_eq!(healthy.decide(14_000), ElectionStep::Stay);
}

/// Guards against a leader whose timer is sent in time and whose events wait in a long queue.
#[test]
fn ticks_that_wait_in_the_queue_count_as_late() {
    let mut lag = TimerLag::default();
    for sent_ms in (1_000..4_000).step_by(150) {
        lag.record(sent_ms + 600, sent_ms);
    }

    assert_eq!((lag.late_ticks(), lag.max_ms()), (10, 600));
}

/// Guards against a hand-over that leaves the system without a leader that can write, and against a change of leaders
/// every few seconds under a load that is too high for each of them.
#[test_case(|slow| peer_b(slow).store_age_ms = 2_500; "store does not answer the others")]
#[test_case(|slow| peer_b(slow).store_age_ms = u64::MAX; "store never answered the others")]
#[test_case(|slow| peer_b(slow).store_is_failing = true; "store refuses the calls of the others")]
#[test_case(|slow| peer_b(slow).is_ending = true; "the others are ending")]
#[test_case(|slow| peer_b(slow).last_contact_ms = 38_100; "the others are silent")]
#[test_case(|slow| slow.plans_since_ms = Some(34_001); "state was just restored")]
#[test_case(|slow| slow.stepped_down_ms = Some(9_001); "a leader stepped down less than 30 s ago")]
#[test_case(|slow| slow.settings.has_uneven_machines = false; "switched off")]
fn slow_leader_stays(change: fn(&mut LeaderElection)) {
    let mut slow = leader_with_late_ticks(300, 39_000);
    assert!(hands_over(&mut slow, 39_000));

    change(&mut slow);

    assert_eq!(slow.decide(39_000), ElectionStep::Stay);
}

/// Guards against a slow leader that takes over again at once, and against a system without a leader if no other
/// coordinator takes over.
#[test]
fn leader_that_handed_over_waits_for_the_others() {
    let mut slow = leader_with_late_ticks(300, 9_000);
    let mut weak = follower_on(MachineClass::Weak, "b", &[]);
    weak.store_answered(9_000);

    slow.mark_slow(9_000);
    slow.step_down(9_000);
    weak.on_gossip(9_000, &Gossip { leads: false, ..gossip("a", Some(leadership(1, "a"))) });

    assert_eq!(weak.decide(10_000), ElectionStep::TakeOver);
    assert_eq!(slow.decide(10_900), ElectionStep::Stay);
    assert_eq!(slow.decide(11_000), ElectionStep::TakeOver);
}

/// Guards against two leaders if a leader freezes before the others learn that it hands over: they replace it for its
/// silence, and its late message does not end the leadership of its successor.
#[test]
fn leader_freezes_while_it_hands_over() {
    let mut slow = leader_with_late_ticks(300, 9_000);
    let mut successor = follower("b");
    successor.on_gossip(8_900, &gossip("a", Some(leadership(1, "a"))));
    successor.store_answered(9_800);
    assert!(hands_over(&mut slow, 9_000));

    assert_eq!(successor.decide(9_800), ElectionStep::TakeOver);
    successor.on_elected(9_850, leadership(2, "b"));
    successor.on_gossip(12_000, &Gossip { leads: false, ..gossip("a", Some(leadership(1, "a"))) });
    slow.on_gossip(12_000, &Gossip { leads: true, ..gossip("b", Some(leadership(2, "b"))) });

    assert_eq!(successor.decide(12_000), ElectionStep::Stay);
    assert_eq!(slow.role(), ElectionRole::Follower);
    assert_eq!(slow.decide(12_000), ElectionStep::Stay);
}
