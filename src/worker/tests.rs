//! Tests of a worker's agent.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

use super::*;
use crate::bundle::WorkerShape;
use crate::prelude::*;
use crate::scheduler::{ReserveResult, ShareRequest, TaskCell, TaskEnd, WorkerSpec};
use crate::wire::{LeaderMessage, MemberMessage};

const HEARTBEAT_MS: u64 = 1_000;
const LEASE_MS: u32 = 10_000;
const PERMIT_MS: u32 = 2_000;
const HOLD_MS: u32 = 5_000;

/// An agent whose leader and worker are simulated by the test.
struct Fixture {
    agent: WorkerAgent,
    random: ChaCha8Rng,
    epoch: Epoch,
    incarnation: Incarnation,
}

impl Fixture {
    fn new() -> Self {
        let shape = WorkerShape { cores: 32, memory_mb: 1_000, accelerators: 8 };
        let worker = WorkerSpec { id: "w1".into(), rack: "r1".into(), shape };
        let incarnation = Incarnation(7);
        let config = WorkerConfig { worker, incarnation, heartbeat_ms: HEARTBEAT_MS };
        let random = ChaCha8Rng::seed_from_u64(1);
        Self { agent: WorkerAgent::new(config), random, epoch: Epoch(1), incarnation }
    }

    /// Returns an agent that has joined epoch 1 at time 0 and holds a lease and a permit.
    fn joined() -> Self {
        let mut fixture = Self::new();
        fixture.input(0, Input::EpochReported { epoch: Epoch(1) });
        fixture.list(0, 1, &[]);
        fixture.join_and_renew(0);
        fixture
    }

    /// Returns an agent that runs gang `a#1`.
    fn running() -> Self {
        let mut fixture = Self::joined();
        fixture.leader(10, reserve("a", 0b11));
        fixture.leader(20, start("a"));
        fixture.answer(30, WorkerAnswer::Started { gang: gang("a") });
        fixture
    }

    fn input(&mut self, now_ms: u64, input: Input) -> Vec<Output> {
        self.agent.handle(now_ms, &input, &mut self.random)
    }

    fn leader(&mut self, now_ms: u64, message: LeaderMessage) -> Vec<Output> {
        let (epoch, incarnation) = (self.epoch, self.incarnation);
        self.input(now_ms, Input::Leader { epoch, incarnation, message })
    }

    fn answer(&mut self, now_ms: u64, answer: WorkerAnswer) -> Vec<Output> {
        self.input(now_ms, Input::Worker { answer })
    }

    fn list(&mut self, now_ms: u64, number: u64, tasks: &[(&str, TaskState)]) -> Vec<Output> {
        let listed = |(name, state): &(&str, TaskState)| ListedTask {
            name: (*name).to_owned(),
            state: *state,
        };
        let tasks = tasks.iter().map(listed).collect();
        self.answer(now_ms, WorkerAnswer::Listed { number, tasks })
    }

    fn join_and_renew(&mut self, now_ms: u64) -> Vec<Output> {
        self.leader(now_ms, LeaderMessage::Joined);
        self.renew(now_ms, PERMIT_MS, &[])
    }

    /// Triggers a heartbeat of the agent and answers it.
    fn renew(&mut self, now_ms: u64, permit_ms: u32, withheld: &[GangId]) -> Vec<Output> {
        let outputs = self.input(now_ms, Input::Tick);
        let sequence = outputs.iter().find_map(heartbeat_of).expect("a heartbeat is due");
        let withheld = withheld.to_vec();
        let ack = LeaderMessage::HeartbeatAck { sequence, lease_ms: LEASE_MS, permit_ms, withheld };
        self.leader(now_ms, ack)
    }
}

fn gang(job: &str) -> GangId {
    GangId { job: job.into(), number: 1 }
}

fn job(id: &str, cores: u32, memory_mb: u64, accelerators: u32) -> JobSpec {
    JobSpec {
        id: id.into(),
        organisation: "o".into(),
        kind: "k".into(),
        tasks: 2,
        task: TaskSpec { cores, memory_mb, accelerators },
        adjacency: Adjacency::Rack,
        declared_run_ms: 1_000,
        repeat: Repeat::Allowed,
        can_checkpoint: true,
    }
}

fn reserve_job(job: JobSpec, accelerator_mask: u64) -> LeaderMessage {
    let tasks = vec![TaskCell { task: 0, accelerator_mask }];
    let gang = gang(job.id.as_str());
    let share = ShareRequest { worker: "w1".into(), tasks };
    LeaderMessage::Reserve { gang, job: Box::new(job), share, hold_ms: HOLD_MS }
}

fn reserve(id: &str, mask: u64) -> LeaderMessage {
    reserve_job(job(id, 4, 100, mask.count_ones()), mask)
}

fn start(id: &str) -> LeaderMessage {
    LeaderMessage::Start { gang: gang(id), saved_ms: 0, sequence: 0, permit_ms: 0 }
}

fn heartbeat_of(output: &Output) -> Option<u64> {
    match output {
        Output::Send { message: MemberMessage::Heartbeat { sequence, .. } } => Some(*sequence),
        _ => None,
    }
}

fn starts(outputs: &[Output]) -> usize {
    let is_start = |o: &&Output| matches!(o, Output::Call { call: WorkerCall::Start { .. } });
    outputs.iter().filter(is_start).count()
}

fn stopped(outputs: &[Output]) -> Vec<String> {
    let names = outputs.iter().filter_map(|output| match output {
        Output::Call { call: WorkerCall::Stop { tasks } } => Some(tasks.clone()),
        _ => None,
    });
    names.flatten().collect()
}

fn not_started(outputs: &[Output]) -> Option<bool> {
    outputs.iter().find_map(|output| match output {
        Output::Send { message: MemberMessage::NotStarted { never_ran, .. } } => Some(*never_ran),
        _ => None,
    })
}

fn is_held(outputs: &[Output]) -> bool {
    outputs.iter().any(|output| {
        matches!(
            output,
            Output::Send { message: MemberMessage::Reserved { result: ReserveResult::Held, .. } }
        )
    })
}

fn joined_gangs(outputs: &[Output]) -> Option<usize> {
    outputs.iter().find_map(|output| match output {
        Output::Send { message: MemberMessage::Join { running, .. } } => Some(running.len()),
        _ => None,
    })
}

fn ends(outputs: &[Output]) -> Vec<TaskEnd> {
    let end_of = |output: &Output| match output {
        Output::Send { message: MemberMessage::TaskEnded { end, .. } } => Some(*end),
        _ => None,
    };
    outputs.iter().filter_map(end_of).collect()
}

/// Guards against tasks that are started twice because the start message was repeated.
#[test]
fn repeated_start_message_starts_tasks_once_even_after_their_end() {
    let mut fixture = Fixture::joined();
    assert!(is_held(&fixture.leader(10, reserve("a", 0b11))));
    let mut started = starts(&fixture.leader(20, start("a")));
    started += starts(&fixture.leader(21, start("a")));
    fixture.answer(30, WorkerAnswer::Started { gang: gang("a") });
    started += starts(&fixture.leader(40, start("a")));
    fixture.list(50, 9, &[("a#1/0", TaskState::Succeeded)]);
    let reserved_late = is_held(&fixture.leader(60, reserve("a", 0b11)));
    let last = fixture.leader(70, start("a"));
    started += starts(&last);

    assert_eq!(started, 1);
    assert!(!reserved_late);
    assert_eq!(ends(&last), [TaskEnd::Succeeded]);
}

/// Guards against a start whose permit or reservation has expired.
#[test_case(10, 1_990, Some(true); "permit expired")]
#[test_case(10, 6_000, Some(true); "hold expired")]
#[test_case(10, 500, None; "all valid")]
fn start_needs_a_valid_reservation_and_permit(held_ms: u64, start_ms: u64, refused: Option<bool>) {
    let mut fixture = Fixture::joined();
    fixture.leader(held_ms, reserve("a", 0b11));
    let outputs = fixture.leader(start_ms, start("a"));
    assert_eq!(not_started(&outputs), refused);
    assert_eq!(starts(&outputs), usize::from(refused.is_none()));
}

/// Guards against an agent that lost its state in a restart and falsely reports that a gang never ran.
#[test]
fn start_of_an_unknown_gang_is_refused_but_not_reported_as_never_ran() {
    let mut fixture = Fixture::joined();
    let outputs = fixture.leader(10, start("a"));
    assert_eq!(not_started(&outputs), Some(false));
    assert!(!is_held(&fixture.leader(20, reserve("a", 0b11))));
}

/// Guards against a replaced leader that still starts tasks after an entry has reported its successor's epoch.
#[test]
fn message_of_a_lower_epoch_is_ignored_after_a_higher_epoch_was_reported() {
    let mut fixture = Fixture::joined();
    fixture.leader(10, reserve("a", 0b11));
    fixture.input(20, Input::EpochReported { epoch: Epoch(2) });
    let outputs = fixture.leader(30, start("a"));
    assert_eq!(outputs, []);
}

/// Guards against a reservation that stays in place because its release overtook it on the network.
#[test]
fn reserve_that_arrives_after_its_release_is_refused() {
    let mut fixture = Fixture::joined();
    fixture.leader(10, LeaderMessage::Release { gang: gang("a") });
    assert!(!is_held(&fixture.leader(20, reserve("a", 0b11))));
    fixture.epoch = Epoch(2);
    fixture.join_and_renew(1_500);
    assert!(is_held(&fixture.leader(1_600, reserve("a", 0b11))));
}

/// Guards against reservations that exceed the worker's resources: workers start every task without a check.
#[test_case(job("b", 4, 100, 2), 0b0110, false; "overlap with another gang")]
#[test_case(job("b", 4, 100, 2), 0b1_1000_0000, false; "accelerator beyond the worker")]
#[test_case(job("b", 29, 100, 2), 0b1100, false; "too many cores in all")]
#[test_case(job("b", 4, 901, 2), 0b1100, false; "too much memory in all")]
#[test_case(job("b", 4, 100, 3), 0b1100, false; "mask of another size")]
#[test_case(job("b", 28, 900, 2), 0b1100, true; "exact fit")]
#[test_case(job("b", 28, 900, 0), 0, true; "no accelerators")]
fn reserve_succeeds_only_if_the_share_fits_on_the_worker(job: JobSpec, mask: u64, fits: bool) {
    let mut fixture = Fixture::joined();
    fixture.leader(10, reserve("a", 0b11));
    assert_eq!(is_held(&fixture.leader(20, reserve_job(job, mask))), fits);
}

/// Guards against tasks that outlive their gang's lease because a late answer after a pause of the process renews it.
#[test]
fn lease_that_lapsed_during_a_pause_stops_tasks_before_the_next_input_is_applied() {
    let mut fixture = Fixture::running();
    let late_ack = LeaderMessage::HeartbeatAck {
        sequence: 1,
        lease_ms: LEASE_MS,
        permit_ms: PERMIT_MS,
        withheld: vec![],
    };
    let outputs = fixture.leader(60_000, late_ack);
    assert_eq!(stopped(&outputs), ["a#1/0"]);
    let outputs = fixture.list(60_100, 9, &[("a#1/0", TaskState::Lapsed)]);
    assert_eq!(ends(&outputs), [TaskEnd::Lost]);
}

/// Guards against a partial gang whose lease is renewed together with the worker's lease, although its leader withholds
/// the gang from renewal.
#[test]
fn withheld_gang_lapses_while_the_worker_lease_is_renewed() {
    let mut fixture = Fixture::running();
    for now_ms in (1_000..9_000).step_by(1_000) {
        assert_eq!(fixture.renew(now_ms, PERMIT_MS, &[gang("a")]).len(), 0);
    }
    assert_eq!(stopped(&fixture.input(9_900, Input::Tick)), ["a#1/0"]);
}

/// Guards against a lease that is counted from the arrival of the answer instead of the sending of the heartbeat.
#[test]
fn renewed_lease_expires_relative_to_the_sending_of_the_heartbeat() {
    let mut fixture = Fixture::running();
    let sequence = fixture.input(1_000, Input::Tick).iter().find_map(heartbeat_of).unwrap();
    let ack = LeaderMessage::HeartbeatAck {
        sequence,
        lease_ms: LEASE_MS,
        permit_ms: PERMIT_MS,
        withheld: vec![],
    };
    fixture.leader(6_000, ack);
    assert_eq!(stopped(&fixture.input(10_898, Input::Tick)), [""; 0]);
    assert_eq!(stopped(&fixture.input(10_899, Input::Tick)), ["a#1/0"]);
}

/// Guards against a withdrawn permit that is restored by a start message which answers an earlier heartbeat.
#[test]
fn late_start_message_does_not_restore_a_withdrawn_permit() {
    let mut fixture = Fixture::joined();
    fixture.leader(10, reserve("a", 0b11));
    fixture.renew(1_000, 0, &[]);
    let late =
        LeaderMessage::Start { gang: gang("a"), saved_ms: 0, sequence: 1, permit_ms: PERMIT_MS };
    assert_eq!(not_started(&fixture.leader(1_100, late)), Some(true));
}

/// Guards against tasks of an earlier agent that keep running without being reported to any leader.
#[test]
fn restarted_agent_stops_unknown_tasks_before_it_joins() {
    let mut fixture = Fixture::new();
    fixture.input(0, Input::EpochReported { epoch: Epoch(1) });
    let outputs = fixture.list(10, 1, &[("z#1/0", TaskState::Running)]);
    assert_eq!(stopped(&outputs), ["z#1/0"]);
    let is_join = |o: &Output| matches!(o, Output::Send { message: MemberMessage::Join { .. } });
    assert!(!fixture.input(20, Input::Tick).iter().any(is_join));
    fixture.list(30, 2, &[("z#1/0", TaskState::Stopped)]);
    assert!(fixture.input(40, Input::Tick).iter().any(is_join));
}

/// Guards against messages to the earlier incarnation that reserve cells after a fence.
#[test]
fn fenced_agent_stops_all_tasks_and_joins_with_a_new_incarnation() {
    let mut fixture = Fixture::running();
    assert_eq!(stopped(&fixture.leader(40, LeaderMessage::Fence)), ["a#1/0"]);
    assert_eq!(fixture.agent.incarnation(), Incarnation(8));
    assert_eq!(fixture.leader(50, reserve("b", 0b1100)), []);
    fixture.list(60, 9, &[]);
    let outputs = fixture.input(70, Input::Tick);
    assert_eq!(joined_gangs(&outputs), Some(0));
}

/// Guards against task ends that are lost with the leader: they are repeated until acknowledged, and until then also
/// reported to a new leader.
#[test_case(false, &[TaskEnd::Failed], 1; "not acknowledged")]
#[test_case(true, &[], 0; "acknowledged")]
fn ends_are_repeated_and_reported_to_a_new_leader_until_acknowledged(
    acknowledged: bool,
    repeated: &[TaskEnd],
    reported_gangs: usize,
) {
    let mut fixture = Fixture::running();
    fixture.list(100, 9, &[("a#1/0", TaskState::Failed)]);
    assert_eq!(ends(&fixture.input(700, Input::Tick)), [TaskEnd::Failed]);
    if acknowledged {
        fixture.leader(800, LeaderMessage::EndNoted { gang: gang("a"), task: 0 });
    }
    assert_eq!(ends(&fixture.input(3_000, Input::Tick)), repeated);
    fixture.input(3_100, Input::EpochReported { epoch: Epoch(2) });
    assert_eq!(joined_gangs(&fixture.input(3_200, Input::Tick)), Some(reported_gangs));
}

/// Guards against a new leader that adopts a gang and never receives the ends that the earlier leader acknowledged.
#[test]
fn acknowledged_ends_of_an_open_gang_are_repeated_to_a_new_leader() {
    let mut fixture = Fixture::joined();
    let tasks = [(0, 0b01), (1, 0b10)];
    let cell = |(task, accelerator_mask)| TaskCell { task, accelerator_mask };
    let share = ShareRequest { worker: "w1".into(), tasks: tasks.map(cell).to_vec() };
    let job = Box::new(job("a", 4, 100, 1));
    let reserve = LeaderMessage::Reserve { gang: gang("a"), job, share, hold_ms: HOLD_MS };
    fixture.leader(10, reserve);
    fixture.leader(20, start("a"));
    fixture.answer(30, WorkerAnswer::Started { gang: gang("a") });
    fixture.list(100, 9, &[("a#1/0", TaskState::Succeeded), ("a#1/1", TaskState::Succeeded)]);
    fixture.leader(200, LeaderMessage::EndNoted { gang: gang("a"), task: 0 });
    fixture.epoch = Epoch(2);
    fixture.leader(300, LeaderMessage::Joined);
    assert_eq!(ends(&fixture.input(1_000, Input::Tick)), [TaskEnd::Succeeded; 2]);
}

/// Guards against a `Join` that does not fit in a datagram of 1,200 bytes.
#[test]
fn join_with_many_gangs_is_split_into_datagrams() {
    let mut fixture = Fixture::joined();
    let names: Vec<String> = (0..8).map(|n| format!("job-{n}-{}", "x".repeat(150))).collect();
    for (n, name) in names.iter().enumerate() {
        fixture.leader(10, reserve_job(job(name, 4, 100, 1), 1 << n));
        fixture.leader(20, start(name));
    }
    let outputs = fixture.input(30, Input::EpochReported { epoch: Epoch(2) });
    assert_eq!(outputs, []);
    let outputs = fixture.input(40, Input::Tick);
    let mut gangs = 0;
    for output in &outputs {
        let Output::Send { message } = output else { continue };
        assert!(postcard::to_stdvec(message).unwrap().len() < 1_100);
        if let MemberMessage::Join { running, .. } = message {
            gangs += running.len();
        }
    }
    assert_eq!(gangs, 8);
}
