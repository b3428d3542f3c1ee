//! Tests of the membership slice.

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

/// How the fake table answers.
#[derive(Clone, Copy, PartialEq)]
enum Answers {
    Given,
    /// Commits take effect, and their answers are lost.
    Lost,
    Down,
}

/// One agent of the group `g` that may lead it.
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

    /// Runs until this candidate leads, and returns that time.
    fn run_until_leading(&mut self, from_ms: u64, store: &MemoryStore) -> u64 {
        let times = (from_ms..from_ms + 60_000).step_by(STEP_MS as usize);
        times
            .into_iter()
            .find(|now_ms| {
                self.input(*now_ms, LeaseInput::Tick, store, Answers::Given);
                self.lease.epoch_if_leading(*now_ms).is_some()
            })
            .expect("the candidate leads within a minute")
    }

    fn leads_given(&self) -> usize {
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
            (Ok(_), Answers::Given) => Some(LeaseInput::Durable),
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

/// Guards against two leaders when candidates claim at the same moment.
#[test]
fn two_candidates_at_once_make_one_leader() {
    let store = MemoryStore::default();
    let mut candidates = [Candidate::new("a"), Candidate::new("b")];
    let mut claims = Vec::new();
    for candidate in &mut candidates {
        candidate.input(0, LeaseInput::Tick, &store, Answers::Given);
        // Both decide on what they read at time 0, before either commit reaches the table.
        let outputs = candidate.lease.handle(1_000, &LeaseInput::Tick, &mut candidate.random);
        claims.push(outputs);
    }
    for (candidate, outputs) in candidates.iter_mut().zip(&claims) {
        let answer = answer(&outputs[0], &store, Answers::Given).unwrap();
        candidate.input(1_000, answer, &store, Answers::Given);
    }
    let leaders = candidates.iter().filter(|c| c.lease.epoch_if_leading(1_001).is_some()).count();
    assert_eq!(leaders, 1);
}

/// Guards against two leaders at once when a holder was paused: it stops before its successor may begin.
#[test]
fn paused_holder_stops_itself_and_resigns_when_it_resumes() {
    let store = MemoryStore::default();
    let (mut a, mut b) = (Candidate::new("a"), Candidate::new("b"));
    let paused_ms = a.run_until_leading(0, &store);
    let taken_ms = b.run_until_leading(paused_ms, &store);

    assert!(taken_ms >= paused_ms + LEASE_MS + LEASE_MS / 100);
    assert_eq!(a.lease.epoch_if_leading(paused_ms + LEASE_MS - LEASE_MS / 100), None);
    assert_eq!(b.lease.epoch_if_leading(taken_ms), Some(Epoch(2)));
    a.run(taken_ms, taken_ms + 1_000, &store, Answers::Given);
    assert!(a.resigned());
}

/// Guards against a takeover that is not needed: a holder that was paused and has no successor goes on.
#[test]
fn resumed_holder_without_successor_goes_on() {
    let store = MemoryStore::default();
    let mut a = Candidate::new("a");
    let paused_ms = a.run_until_leading(0, &store);
    let resumed_ms = paused_ms + 3 * LEASE_MS;
    assert_eq!(a.lease.epoch_if_leading(resumed_ms), None);
    a.input(resumed_ms, LeaseInput::Tick, &store, Answers::Given);
    assert_eq!(a.lease.epoch_if_leading(resumed_ms + 1), Some(Epoch(1)));
    assert!(!a.resigned());
}

/// Guards against a takeover whose answer was lost: the process leads in the epoch that the table holds, and trusts the
/// lease from when it sent the claim.
#[test]
fn lost_answer_at_takeover_is_resolved_by_reading() {
    let store = MemoryStore::default();
    let mut a = Candidate::new("a");
    a.input(0, LeaseInput::Tick, &store, Answers::Given);
    a.run(STEP_MS, 200, &store, Answers::Lost);
    assert_eq!(a.lease.epoch_if_leading(200), None);
    a.run(200, 1_000, &store, Answers::Given);
    assert_eq!(a.lease.epoch_if_leading(1_000), Some(Epoch(1)));
    assert_eq!(a.leads_given(), 1);
    assert_eq!(read::<EpochRow>(&store, &epoch_key(&"g".into())).version, RowVersion(1));
}

/// Guards against takeovers after each outage of the table, during which no holder can renew.
#[test]
fn table_outage_gives_the_holder_a_whole_lease_to_renew() {
    let store = MemoryStore::default();
    let (mut a, mut b) = (Candidate::new("a"), Candidate::new("b"));
    let start_ms = a.run_until_leading(0, &store);
    b.run(start_ms, start_ms + 1_000, &store, Answers::Given);
    let outage_end_ms = start_ms + 3_600_000;
    a.run(start_ms + 1_000, outage_end_ms, &store, Answers::Down);
    b.run(start_ms + 1_000, outage_end_ms, &store, Answers::Down);
    assert_eq!(a.lease.epoch_if_leading(outage_end_ms), None);

    b.run(outage_end_ms, outage_end_ms + 1_000, &store, Answers::Given);
    a.run(outage_end_ms + 1_000, outage_end_ms + 2_000, &store, Answers::Given);

    assert_eq!(a.lease.epoch_if_leading(outage_end_ms + 2_000), Some(Epoch(1)));
    assert_eq!(b.leads_given(), 0);
}

/// Guards against a group without leader for a lease after a planned restart.
#[test]
fn shutdown_hands_the_lease_over_at_once() {
    let store = MemoryStore::default();
    let (mut a, mut b) = (Candidate::new("a"), Candidate::new("b"));
    let start_ms = a.run_until_leading(0, &store);
    b.run(start_ms, start_ms + 2_000, &store, Answers::Given);
    a.input(start_ms + 2_000, LeaseInput::Shutdown, &store, Answers::Given);
    assert!(a.resigned() && a.outputs.last() == Some(&LeaseOutput::Done));
    assert_eq!(a.lease.epoch_if_leading(start_ms + 2_000), None);
    let taken_ms = b.run_until_leading(start_ms + 2_000, &store);
    assert!(taken_ms <= start_ms + 2_000 + LEASE_MS / 3);
}

/// The leader of a group of four in epoch 2, and what it put out.
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

    /// Returns a leader that all of `w0` to `w3` have joined at time 0, and that may permit starts for an hour.
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

    fn beat(&mut self, now_ms: u64, n: u32) {
        let (worker, incarnation, epoch) = (id(n), Incarnation(1), Epoch(2));
        let sequence = now_ms / HEARTBEAT_MS + 1;
        self.input(now_ms, MembersInput::Heartbeat { worker, incarnation, epoch, sequence });
    }

    /// Lets some members send heartbeats up to a time.
    fn run(&mut self, from_ms: u64, to_ms: u64, beating: &[u32]) {
        for now_ms in (from_ms..to_ms).step_by(HEARTBEAT_MS as usize) {
            beating.iter().for_each(|n| self.beat(now_ms, *n));
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

    /// Returns permit and withheld gangs of the last answer to a heartbeat, and forgets all outputs.
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

/// Guards against a member that counts as lost before its leases have lapsed, or never.
#[test_case(&[0, 1, 2], 11_000, &[]; "not before lease and margin")]
#[test_case(&[0, 1, 2], 12_000, &["w3"]; "one of four after a lease")]
#[test_case(&[0], 12_000, &[]; "most of the group not after one lease")]
#[test_case(&[0], 22_000, &["w1", "w2", "w3"]; "most of the group after two leases")]
fn silent_members_are_lost(beating: &[u32], until_ms: u64, lost: &[&str]) {
    let mut leader = Leader::joined();
    leader.run(0, HEARTBEAT_MS, &[0, 1, 2, 3]);
    leader.run(HEARTBEAT_MS, until_ms, beating);
    let lost: Vec<WorkerId> = lost.iter().map(|id| (*id).into()).collect();
    assert_eq!(leader.lost(), lost);
}

/// Guards against a partial gang while a leader waits a second lease: its other parts end after the first.
#[test]
fn switch_blink_ends_the_other_parts_after_one_lease() {
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

/// Guards against members that count as lost because the leader itself was paused for less than a lease.
#[test]
fn short_pause_of_the_leader_loses_nobody() {
    let mut leader = Leader::joined();
    leader.run(0, 5_000, &[0, 1, 2, 3]);
    leader.run(13_000, 14_000, &[]);
    leader.run(14_000, 30_000, &[0, 1, 2, 3]);
    assert_eq!(leader.lost(), []);
}

/// Guards against a leader that was paused for longer than a lease and keeps gangs whose leases lapsed meanwhile.
#[test]
fn long_pause_of_the_leader_ends_gangs_at_once() {
    let mut leader = Leader::joined();
    for n in [0, 1] {
        leader.input(0, MembersInput::GangAssigned { gang: gang(), worker: id(n) });
    }
    leader.run(0, 5_000, &[0, 1, 2, 3]);
    leader.input(65_000, MembersInput::Tick);
    assert!(leader.outputs.contains(&MembersOutput::EndGang { gang: gang(), worker: id(1) }));
    assert_eq!(leader.lost(), [id(0), id(1), id(2), id(3)]);
}

/// Guards against a partial gang when its leader is cut off from the rest of it later: a part in doubt is enough.
#[test]
fn gang_with_a_suspected_part_is_not_renewed() {
    let mut leader = Leader::joined();
    for n in [0, 1] {
        leader.input(0, MembersInput::GangAssigned { gang: gang(), worker: id(n) });
    }
    leader.run(0, HEARTBEAT_MS, &[0, 1, 2, 3]);
    leader.run(HEARTBEAT_MS, 4_000, &[0, 2, 3]);
    assert_eq!(leader.last_ack().unwrap().1, [], "of member 3, which holds no part");
    leader.beat(4_000, 0);
    assert_eq!(leader.last_ack().unwrap().1, [gang()]);
    leader.beat(4_100, 1);
    leader.beat(5_000, 0);
    assert_eq!(leader.last_ack().unwrap().1, []);
}

/// Guards against a new leader that renews or adopts a gang of which a part is missing.
#[test]
fn recovery_renews_only_whole_gangs_and_waits_for_the_leases_of_the_missing() {
    let mut leader = Leader::recovering();
    leader.join(0, 0, 1, vec![share(0)]);
    leader.beat(0, 0);
    assert_eq!(leader.last_ack(), Some((0, vec![gang()])));
    leader.join(100, 1, 1, vec![share(1)]);
    leader.beat(1_000, 0);
    assert_eq!(leader.last_ack(), Some((0, vec![])));
    leader.run(1_000, 10_000, &[0, 1]);
    assert!(leader.members.is_recovering());
    leader.run(10_000, 12_000, &[0, 1]);
    let recovered =
        leader.outputs.iter().any(|output| matches!(output, MembersOutput::Recovered { .. }));
    assert!(recovered);
}

/// Guards against the adoption of what a member ran under an earlier leader after that was given up.
#[test]
fn member_that_answers_too_late_is_fenced() {
    let mut leader = Leader::joined();
    leader.run(0, 12_000, &[0, 1, 2]);
    leader.outputs.clear();
    leader.join(12_000, 3, 2, vec![share(1)]);
    let (worker, incarnation, message) = (id(3), Incarnation(2), LeaderMessage::Fence);
    assert_eq!(leader.outputs, [MembersOutput::Send { worker, incarnation, message }]);
}

/// Guards against cells of a restarted member that still count as used by what ran before.
#[test]
fn restarted_member_is_lost_before_it_is_up() {
    let mut leader = Leader::joined();
    leader.join(500, 2, 9, vec![]);
    assert_eq!(leader.lost(), [id(2)]);
    let up = MembersOutput::Up { member: JoinedMember { worker: worker(2), running: vec![] } };
    assert_eq!(leader.outputs.last(), Some(&up));
    leader.join(600, 2, 1, vec![]);
    assert_eq!(leader.members.incarnation(&id(2)), Some(Incarnation(9)));
}

/// Guards against permits beyond what an entry granted, and against starts while the leader's own lease lapsed.
#[test]
fn permits_end_with_the_entry_s_view_and_with_the_lease() {
    let mut leader = Leader::joined();
    leader.input(1_000, MembersInput::Permit { remaining_ms: 2_000 });
    leader.beat(2_000, 0);
    assert_eq!(leader.last_ack(), Some((979, vec![])));
    let mut start = LeaderMessage::Start { gang: gang(), saved_ms: 0, sequence: 0, permit_ms: 0 };
    leader.members.fill_start_permit(2_500, &id(0), &mut start);
    let stamped =
        LeaderMessage::Start { gang: gang(), saved_ms: 0, sequence: 3, permit_ms: 479 + 494 };
    assert_eq!(start, stamped);
    leader.input(2_600, MembersInput::Trusted { trusted: false });
    leader.members.fill_start_permit(2_600, &id(0), &mut start);
    assert!(matches!(start, LeaderMessage::Start { permit_ms: 0, .. }));
}

/// Guards against an old leader that keeps work alive which its successor counts as ended.
#[test_case(&[0, 1, 2], true; "most members follow")]
#[test_case(&[0, 1], false; "half of the members do not suffice")]
fn lapsed_leader_renews_only_with_most_of_the_group(beating: &[u32], renews: bool) {
    let mut leader = Leader::joined();
    leader.run(0, HEARTBEAT_MS, &[0, 1, 2, 3]);
    leader.input(HEARTBEAT_MS, MembersInput::Trusted { trusted: false });
    leader.run(HEARTBEAT_MS, 6_000, beating);
    leader.outputs.clear();
    leader.beat(6_000, 0);
    assert_eq!(leader.last_ack().is_some(), renews);
}

/// Guards against messages that are lost, and against a start that is repeated after its stop.
#[test]
fn outbox_repeats_until_answered_and_stops_replace_starts() {
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
