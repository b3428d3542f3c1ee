//! Tests of the election of a leader, the liveness of members and the outbox.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::de::DeserializeOwned;
use test_case::test_case;

use super::*;
use crate::bundle::WorkerShape;
use crate::prelude::*;
use crate::scheduler::{RunningShare, TaskCell, TaskEnd, WorkerSpec};
use crate::store::{MemoryStore, RowVersion};
use crate::wire::{LeaderMessage, MemberMessage};

const LEASE_MS: u64 = 10_000;
const HEARTBEAT_MS: u64 = 1_000;
const STEP_MS: u64 = 50;

/// Answers of the fake table.
#[derive(Clone, Copy, PartialEq)]
enum Answers {
    Delivered,
    /// Commits take effect, but their answers are lost.
    Lost,
    Down,
}

/// Agent of the group `g` that may lead it.
struct Candidate {
    lease: LeaderLease,
    random: ChaCha8Rng,
    outputs: Vec<LeaseOutput>,
}

impl Candidate {
    fn new(name: &str) -> Self {
        let lease = LeaderLease::new(LeaseConfig {
            group: "g".into(),
            holder: name.into(),
            incarnation: Incarnation(1),
            address: "127.0.0.1:1".parse().unwrap(),
            lease_ms: LEASE_MS,
            group_workers: 3,
        });
        Self { lease, random: ChaCha8Rng::seed_from_u64(3), outputs: Vec::new() }
    }

    fn input(&mut self, now_ms: u64, input: LeaseInput, store: &MemoryStore, answers: Answers) {
        let mut waiting = vec![input];
        while let Some(input) = waiting.pop() {
            for output in self.lease.handle(now_ms, &input, &mut self.random) {
                waiting.extend(answer(&output, store, answers));
                self.outputs.push(output);
            }
        }
    }

    fn run(&mut self, from_ms: u64, to_ms: u64, store: &MemoryStore, answers: Answers) {
        for now_ms in (from_ms..to_ms).step_by(STEP_MS as usize) {
            self.input(now_ms, LeaseInput::Tick, store, answers);
        }
    }

    /// Runs until this candidate leads, and returns the time in ms at which it does.
    fn run_until_leading(&mut self, from_ms: u64, store: &MemoryStore) -> u64 {
        let times = (from_ms..from_ms + 60_000).step_by(STEP_MS as usize);
        times
            .into_iter()
            .find(|now_ms| {
                self.input(*now_ms, LeaseInput::Tick, store, Answers::Delivered);
                self.lease.epoch_if_leading(*now_ms).is_some()
            })
            .expect("the candidate leads within a minute")
    }

    fn elections_won(&self) -> usize {
        self.outputs.iter().filter(|o| matches!(o, LeaseOutput::Lead { .. })).count()
    }

    fn resigned(&self) -> bool {
        self.outputs.contains(&LeaseOutput::Resign)
    }
}

fn answer(output: &LeaseOutput, store: &MemoryStore, answers: Answers) -> Option<LeaseInput> {
    match output {
        LeaseOutput::Read if answers == Answers::Down => Some(LeaseInput::ReadFailed),
        LeaseOutput::Read => Some(LeaseInput::Read {
            lease: read(store, &lease_key(&"g".into())),
            epoch: read(store, &epoch_key(&"g".into())),
        }),
        LeaseOutput::Commit { .. } if answers == Answers::Down => Some(LeaseInput::NotDurable),
        LeaseOutput::Commit { commit } => match (store.apply(commit), answers) {
            (Ok(_), Answers::Delivered) => Some(LeaseInput::Durable),
            _ => Some(LeaseInput::NotDurable),
        },
        _ => None,
    }
}

fn read<T>(store: &MemoryStore, key: &str) -> VersionedRow<T>
where
    T: DeserializeOwned,
{
    match store.read_row(key) {
        None => VersionedRow { version: RowVersion::ABSENT, row: None },
        Some(row) => {
            VersionedRow { version: row.version, row: serde_json::from_value(row.value).unwrap() }
        }
    }
}

/// Guards against two leaders when two candidates claim the lease at the same time.
#[test]
fn simultaneous_claims_elect_one_leader() {
    let store = MemoryStore::default();
    let mut candidates = [Candidate::new("a"), Candidate::new("b")];
    let mut claims = Vec::new();
    for candidate in &mut candidates {
        candidate.input(0, LeaseInput::Tick, &store, Answers::Delivered);
        // Both claim on the basis of what they read at time 0, before either commit reaches the table.
        let outputs = candidate.lease.handle(1_000, &LeaseInput::Tick, &mut candidate.random);
        claims.push(outputs);
    }
    for (candidate, outputs) in candidates.iter_mut().zip(&claims) {
        let answer = answer(&outputs[0], &store, Answers::Delivered).unwrap();
        candidate.input(1_000, answer, &store, Answers::Delivered);
    }
    let leaders = candidates.iter().filter(|c| c.lease.epoch_if_leading(1_001).is_some()).count();
    assert_eq!(leaders, 1);
}

/// Guards against two leaders at the same time when a holder is paused: its lease must expire for the holder before a
/// successor may claim it.
#[test]
fn paused_holder_stops_leading_before_the_takeover_and_resigns_when_it_resumes() {
    let store = MemoryStore::default();
    let (mut a, mut b) = (Candidate::new("a"), Candidate::new("b"));
    let paused_ms = a.run_until_leading(0, &store);
    let taken_ms = b.run_until_leading(paused_ms, &store);

    assert!(taken_ms >= paused_ms + LEASE_MS + LEASE_MS / 100);
    assert_eq!(a.lease.epoch_if_leading(paused_ms + LEASE_MS - LEASE_MS / 100), None);
    assert_eq!(b.lease.epoch_if_leading(taken_ms), Some(Epoch(2)));
    a.run(taken_ms, taken_ms + 1_000, &store, Answers::Delivered);
    assert!(a.resigned());
}

/// Guards against an unnecessary change of leader: a holder that resumes after a pause without a successor keeps its
/// epoch.
#[test]
fn resumed_holder_without_successor_keeps_leading() {
    let store = MemoryStore::default();
    let mut a = Candidate::new("a");
    let paused_ms = a.run_until_leading(0, &store);
    let resumed_ms = paused_ms + 3 * LEASE_MS;
    assert_eq!(a.lease.epoch_if_leading(resumed_ms), None);
    a.input(resumed_ms, LeaseInput::Tick, &store, Answers::Delivered);
    assert_eq!(a.lease.epoch_if_leading(resumed_ms + 1), Some(Epoch(1)));
    assert!(!a.resigned());
}

/// Guards against a group without leader when the answer to a claim was lost: the claimant reads the rows and leads in
/// the epoch that the table holds, with a lease that counts from when it sent the claim.
#[test]
fn claim_whose_answer_was_lost_is_confirmed_by_a_read() {
    let store = MemoryStore::default();
    let mut a = Candidate::new("a");
    a.input(0, LeaseInput::Tick, &store, Answers::Delivered);
    a.run(STEP_MS, 200, &store, Answers::Lost);
    assert_eq!(a.lease.epoch_if_leading(200), None);
    a.run(200, 1_000, &store, Answers::Delivered);
    assert_eq!(a.lease.epoch_if_leading(1_000), Some(Epoch(1)));
    assert_eq!(a.elections_won(), 1);
    assert_eq!(read::<EpochRow>(&store, &epoch_key(&"g".into())).version, RowVersion(1));
}

/// Guards against a takeover after each outage of the table, during which the holder cannot renew its lease.
#[test]
fn holder_keeps_leading_after_an_outage_of_the_table() {
    let store = MemoryStore::default();
    let (mut a, mut b) = (Candidate::new("a"), Candidate::new("b"));
    let start_ms = a.run_until_leading(0, &store);
    b.run(start_ms, start_ms + 1_000, &store, Answers::Delivered);
    let outage_end_ms = start_ms + 3_600_000;
    a.run(start_ms + 1_000, outage_end_ms, &store, Answers::Down);
    b.run(start_ms + 1_000, outage_end_ms, &store, Answers::Down);
    assert_eq!(a.lease.epoch_if_leading(outage_end_ms), None);

    b.run(outage_end_ms, outage_end_ms + 1_000, &store, Answers::Delivered);
    a.run(outage_end_ms + 1_000, outage_end_ms + 2_000, &store, Answers::Delivered);

    assert_eq!(a.lease.epoch_if_leading(outage_end_ms + 2_000), Some(Epoch(1)));
    assert_eq!(b.elections_won(), 0);
}

/// Guards against a group without leader for the duration of a lease after a planned restart.
#[test]
fn shutdown_releases_the_lease_for_an_immediate_takeover() {
    let store = MemoryStore::default();
    let (mut a, mut b) = (Candidate::new("a"), Candidate::new("b"));
    let start_ms = a.run_until_leading(0, &store);
    b.run(start_ms, start_ms + 2_000, &store, Answers::Delivered);
    a.input(start_ms + 2_000, LeaseInput::Shutdown, &store, Answers::Delivered);
    assert!(a.resigned() && a.outputs.last() == Some(&LeaseOutput::Done));
    assert_eq!(a.lease.epoch_if_leading(start_ms + 2_000), None);
    let taken_ms = b.run_until_leading(start_ms + 2_000, &store);
    assert!(taken_ms <= start_ms + 2_000 + LEASE_MS / 3);
}

/// Leader of a group of four in epoch 2, and its outputs.
struct Leader {
    members: Members,
    outputs: Vec<MembersOutput>,
}

impl Leader {
    fn recovering() -> Self {
        let config =
            MembersConfig { group_workers: 4, heartbeat_ms: HEARTBEAT_MS, gang_lease_ms: LEASE_MS };
        Self { members: Members::new(config, Epoch(2), 0, false), outputs: Vec::new() }
    }

    /// Returns a leader that `w0` to `w3` have joined at time 0, and whose start permit lasts an hour.
    fn joined() -> Self {
        let mut leader = Self::recovering();
        (0..4).for_each(|n| leader.join(0, n, 1, vec![]));
        leader.input(0, MembersInput::Permit { remaining_ms: 3_600_000 });
        leader.outputs.clear();
        leader
    }

    fn input(&mut self, now_ms: u64, input: MembersInput) {
        self.outputs.extend(self.members.handle(now_ms, &input));
    }

    fn join(&mut self, now_ms: u64, n: u32, incarnation: u64, running: Vec<RunningShare>) {
        let incarnation = Incarnation(incarnation);
        let (part, parts, epoch) = (0, 1, Epoch(2));
        let worker = worker(n);
        let join = MembersInput::Join { part, parts, worker, incarnation, epoch, running };
        self.input(now_ms, join);
    }

    fn send_heartbeat(&mut self, now_ms: u64, n: u32) {
        let (worker, incarnation, epoch) = (id(n), Incarnation(1), Epoch(2));
        let sequence = now_ms / HEARTBEAT_MS + 1;
        self.input(now_ms, MembersInput::Heartbeat { worker, incarnation, epoch, sequence });
    }

    /// Ticks the leader from `from_ms` to `to_ms`, while the members in `beating` send heartbeats.
    fn run(&mut self, from_ms: u64, to_ms: u64, beating: &[u32]) {
        for now_ms in (from_ms..to_ms).step_by(HEARTBEAT_MS as usize) {
            beating.iter().for_each(|n| self.send_heartbeat(now_ms, *n));
            self.input(now_ms, MembersInput::Tick);
        }
    }

    fn lost(&self) -> Vec<WorkerId> {
        let lost = self.outputs.iter().filter_map(|output| match output {
            MembersOutput::Lost { worker } => Some(worker.clone()),
            _ => None,
        });
        lost.collect()
    }

    /// Returns the permit and the withheld gangs of the last acknowledgement of a heartbeat, and clears all outputs.
    fn last_ack(&mut self) -> Option<(u32, Vec<GangId>)> {
        let mut acks =
            std::mem::take(&mut self.outputs).into_iter().filter_map(|output| match output {
                MembersOutput::Send {
                    message: LeaderMessage::HeartbeatAck { permit_ms, withheld, .. },
                    ..
                } => Some((permit_ms, withheld)),
                _ => None,
            });
        acks.next_back()
    }
}

fn id(n: u32) -> WorkerId {
    format!("w{n}").into()
}

fn worker(n: u32) -> WorkerSpec {
    let shape = WorkerShape { cores: 32, memory_mb: 1_000, accelerators: 8 };
    WorkerSpec { id: id(n), rack: "r".into(), shape }
}

fn gang() -> GangId {
    GangId { job: "j".into(), number: 1 }
}

fn share(task: u32) -> RunningShare {
    let job = JobSpec {
        id: "j".into(),
        organisation: "o".into(),
        kind: "k".into(),
        tasks: 2,
        task: TaskSpec { cores: 1, memory_mb: 1, accelerators: 1 },
        adjacency: Adjacency::Rack,
        declared_run_ms: 1,
        repeat: Repeat::Allowed,
        can_checkpoint: false,
    };
    RunningShare { gang: gang(), job, tasks: vec![TaskCell { task, accelerator_mask: 1 }] }
}

/// Guards against a member that is declared lost before its leases have lapsed, or never.
#[test_case(&[0, 1, 2], 11_000, &[]; "not before the lease and its margin have passed")]
#[test_case(&[0, 1, 2], 12_000, &["w3"]; "one of four after a lease")]
#[test_case(&[0], 12_000, &[]; "most of the group not after one lease")]
#[test_case(&[0], 22_000, &["w1", "w2", "w3"]; "most of the group after two leases")]
fn silent_members_are_lost_after_their_leases(beating: &[u32], until_ms: u64, lost: &[&str]) {
    let mut leader = Leader::joined();
    leader.run(0, HEARTBEAT_MS, &[0, 1, 2, 3]);
    leader.run(HEARTBEAT_MS, until_ms, beating);
    let lost: Vec<WorkerId> = lost.iter().map(|id| (*id).into()).collect();
    assert_eq!(leader.lost(), lost);
}

/// Guards against a gang that runs partially while the leader waits a second lease because most of its group is silent:
/// the other parts of gangs must end after the first lease.
#[test]
fn silence_of_most_members_ends_the_other_parts_of_gangs_after_one_lease() {
    let mut leader = Leader::joined();
    for n in [0, 1] {
        leader.input(0, MembersInput::GangAssigned { gang: gang(), worker: id(n) });
    }
    leader.run(0, HEARTBEAT_MS, &[0, 1, 2, 3]);
    leader.run(HEARTBEAT_MS, 13_000, &[0]);
    assert!(leader.outputs.contains(&MembersOutput::EndGang { gang: gang(), worker: id(0) }));
    assert_eq!(leader.lost(), []);
    assert_eq!(leader.last_ack().unwrap().1, [gang()]);
}

/// Guards against members that are declared lost because the leader itself was paused for less than a lease.
#[test]
fn leader_paused_for_less_than_a_lease_declares_no_member_lost() {
    let mut leader = Leader::joined();
    leader.run(0, 5_000, &[0, 1, 2, 3]);
    leader.run(13_000, 14_000, &[]);
    leader.run(14_000, 30_000, &[0, 1, 2, 3]);
    assert_eq!(leader.lost(), []);
}

/// Guards against a leader that was paused for longer than a lease and keeps gangs whose leases lapsed during the
/// pause.
#[test]
fn leader_paused_for_longer_than_a_lease_ends_gangs_at_the_next_tick() {
    let mut leader = Leader::joined();
    for n in [0, 1] {
        leader.input(0, MembersInput::GangAssigned { gang: gang(), worker: id(n) });
    }
    leader.run(0, 5_000, &[0, 1, 2, 3]);
    leader.input(65_000, MembersInput::Tick);
    assert!(leader.outputs.contains(&MembersOutput::EndGang { gang: gang(), worker: id(1) }));
    assert_eq!(leader.lost(), [id(0), id(1), id(2), id(3)]);
}

/// Guards against a partial gang when the leader is later cut off from its other members too: one part on a suspected
/// member is enough to withhold the renewal of the other parts.
#[test]
fn gang_with_a_part_on_a_suspected_member_is_not_renewed() {
    let mut leader = Leader::joined();
    for n in [0, 1] {
        leader.input(0, MembersInput::GangAssigned { gang: gang(), worker: id(n) });
    }
    leader.run(0, HEARTBEAT_MS, &[0, 1, 2, 3]);
    leader.run(HEARTBEAT_MS, 4_000, &[0, 2, 3]);
    assert_eq!(
        leader.last_ack().unwrap().1,
        [],
        "acknowledgement to member 3, which holds no part"
    );
    leader.send_heartbeat(4_000, 0);
    assert_eq!(leader.last_ack().unwrap().1, [gang()]);
    leader.send_heartbeat(4_100, 1);
    leader.send_heartbeat(5_000, 0);
    assert_eq!(leader.last_ack().unwrap().1, []);
}

/// Guards against a new leader that renews or adopts a gang with a missing part.
#[test]
fn recovery_renews_only_whole_gangs_and_lasts_until_the_leases_of_missing_members_lapse() {
    let mut leader = Leader::recovering();
    leader.join(0, 0, 1, vec![share(0)]);
    leader.send_heartbeat(0, 0);
    assert_eq!(leader.last_ack(), Some((0, vec![gang()])));
    leader.join(100, 1, 1, vec![share(1)]);
    leader.send_heartbeat(1_000, 0);
    assert_eq!(leader.last_ack(), Some((0, vec![])));
    leader.run(1_000, 10_000, &[0, 1]);
    assert!(leader.members.is_recovering());
    leader.run(10_000, 12_000, &[0, 1]);
    let recovered =
        leader.outputs.iter().any(|output| matches!(output, MembersOutput::Recovered { .. }));
    assert!(recovered);
}

/// Guards against the adoption of a member's tasks from an earlier epoch after the leader has given up their gang.
#[test]
fn member_that_joins_with_tasks_after_the_recovery_is_fenced() {
    let mut leader = Leader::joined();
    leader.run(0, 12_000, &[0, 1, 2]);
    leader.outputs.clear();
    leader.join(12_000, 3, 2, vec![share(1)]);
    let (worker, incarnation, message) = (id(3), Incarnation(2), LeaderMessage::Fence);
    assert_eq!(leader.outputs, [MembersOutput::Send { worker, incarnation, message }]);
}

/// Guards against cells of a restarted member that still count as held by the tasks of its earlier incarnation.
#[test]
fn restarted_member_is_reported_lost_before_up() {
    let mut leader = Leader::joined();
    leader.join(500, 2, 9, vec![]);
    assert_eq!(leader.lost(), [id(2)]);
    let up = MembersOutput::Up { member: JoinedMember { worker: worker(2), running: vec![] } };
    assert_eq!(leader.outputs.last(), Some(&up));
    leader.join(600, 2, 1, vec![]);
    assert_eq!(leader.members.incarnation(&id(2)), Some(Incarnation(9)));
}

/// Guards against start permits that outlast the one granted by an entry, and against starts after the leader's own
/// lease lapsed.
#[test]
fn start_permits_end_with_the_permit_of_the_entry_and_with_the_leader_lease() {
    let mut leader = Leader::joined();
    leader.input(1_000, MembersInput::Permit { remaining_ms: 2_000 });
    leader.send_heartbeat(2_000, 0);
    assert_eq!(leader.last_ack(), Some((979, vec![])));
    let mut start = LeaderMessage::Start { gang: gang(), saved_ms: 0, sequence: 0, permit_ms: 0 };
    leader.members.fill_start_permit(2_500, &id(0), &mut start);
    let permitted =
        LeaderMessage::Start { gang: gang(), saved_ms: 0, sequence: 3, permit_ms: 479 + 494 };
    assert_eq!(start, permitted);
    leader.input(2_600, MembersInput::Trusted { trusted: false });
    leader.members.fill_start_permit(2_600, &id(0), &mut start);
    assert!(matches!(start, LeaderMessage::Start { permit_ms: 0, .. }));
}

/// Guards against a deposed leader that renews the leases of tasks whose end its successor assumes.
#[test_case(&[0, 1, 2], true; "most members follow")]
#[test_case(&[0, 1], false; "half of the members do not suffice")]
fn leader_whose_lease_lapsed_renews_only_while_most_of_the_group_follows(
    beating: &[u32],
    renews: bool,
) {
    let mut leader = Leader::joined();
    leader.run(0, HEARTBEAT_MS, &[0, 1, 2, 3]);
    leader.input(HEARTBEAT_MS, MembersInput::Trusted { trusted: false });
    leader.run(HEARTBEAT_MS, 6_000, beating);
    leader.outputs.clear();
    leader.send_heartbeat(6_000, 0);
    assert_eq!(leader.last_ack().is_some(), renews);
}

/// Guards against a lost message that is not repeated, and against a start that is repeated after its stop.
#[test]
fn outbox_repeats_messages_until_answered_and_replaces_a_start_by_its_stop() {
    let mut outbox = Outbox::default();
    let start = LeaderMessage::Start { gang: gang(), saved_ms: 0, sequence: 0, permit_ms: 0 };
    outbox.add(0, &id(0), start.clone(), vec![]);
    assert_eq!(outbox.due(0), [(id(0), start.clone())]);
    assert_eq!(outbox.due(100), []);
    assert_eq!(outbox.due(250), [(id(0), start)]);
    outbox.add(300, &id(0), LeaderMessage::Stop { gang: gang() }, vec![0, 1]);
    assert_eq!(outbox.due(300), [(id(0), LeaderMessage::Stop { gang: gang() })]);
    for task in [0, 1] {
        assert_eq!(outbox.len(), 1);
        let (worker, end) = (id(0), TaskEnd::Stopped);
        let ended = MemberMessage::TaskEnded { worker, gang: gang(), task, end };
        outbox.remove_answered(&id(0), &ended);
    }
    assert!(outbox.is_empty());
}
