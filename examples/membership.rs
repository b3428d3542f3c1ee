//! Measures bytes, packets and processor time of the membership protocol for groups of several sizes, in virtual time.
//!
//! Run it with `cargo run --release --example membership`. Each datagram is encoded, authenticated and decoded as in
//! the processes. System calls are not measured; the headers of IP and UDP are counted as 28 bytes.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use teaselhall::bundle::WorkerShape;
use teaselhall::leader::{self, Leader, LeaderConfig};
use teaselhall::membership::MembersConfig;
use teaselhall::prelude::*;
use teaselhall::scheduler::{Policy, WorkerSpec};
use teaselhall::wire::{DatagramDecoder, DatagramEncoder, FrameKey, LeaderDatagram, MemberMessage};
use teaselhall::worker::{Input, Output, WorkerAgent, WorkerAnswer, WorkerCall, WorkerConfig};

const HEADER_BYTES: usize = 28;
const SECONDS: u64 = 120;
const TICK_MS: u64 = 100;
/// Number of members and interval of heartbeats in ms of each measured group.
const GROUPS: [(usize, u64); 3] = [(4, 1_000), (32, 1_000), (128, 3_000)];

/// Traffic that one process sent and received, and the time that its work took.
#[derive(Clone, Copy, Default)]
struct Cost {
    bytes: usize,
    packets: usize,
    busy: Duration,
}

impl Cost {
    fn add(&mut self, datagram: &[u8]) {
        self.bytes += datagram.len() + HEADER_BYTES;
        self.packets += 1;
    }
}

struct Member {
    agent: WorkerAgent,
    encoder: DatagramEncoder,
    decoder: DatagramDecoder,
    cost: Cost,
}

struct Group {
    leader: Leader,
    encoder: DatagramEncoder,
    decoder: DatagramDecoder,
    cost: Cost,
    members: Vec<Member>,
    random: ChaCha8Rng,
}

fn key() -> FrameKey {
    FrameKey::new([1; 32])
}

impl Group {
    fn new(size: usize, heartbeat_ms: u64) -> Self {
        let config = LeaderConfig {
            group: "dc1.0".into(),
            members_config: MembersConfig {
                group_workers: size as u32,
                heartbeat_ms,
                gang_lease_ms: 4 * heartbeat_ms,
            },
            policy: Policy::Product,
        };
        // Real incarnations count microseconds since 1970 and need eight bytes.
        let incarnation = |index: usize| Incarnation(1_790_000_000_000_000 + index as u64);
        let member = |index: usize| {
            let shape = WorkerShape { cores: 32, memory_mb: 131_072, accelerators: 8 };
            let rack = format!("dc1-r{:02}", index / 4);
            let worker =
                WorkerSpec { id: format!("{rack}-{index:03}").into(), rack: rack.into(), shape };
            let incarnation = incarnation(index);
            Member {
                agent: WorkerAgent::new(WorkerConfig { worker, incarnation, heartbeat_ms }),
                encoder: DatagramEncoder::new(key(), incarnation),
                decoder: DatagramDecoder::new(key()),
                cost: Cost::default(),
            }
        };
        Self {
            leader: Leader::new(config, Epoch(100), 0, true),
            encoder: DatagramEncoder::new(key(), incarnation(size)),
            decoder: DatagramDecoder::new(key()),
            cost: Cost::default(),
            members: (0..size).map(member).collect(),
            random: ChaCha8Rng::seed_from_u64(1),
        }
    }

    fn run(&mut self, from_ms: u64, to_ms: u64) {
        for now_ms in (from_ms..to_ms).step_by(TICK_MS as usize) {
            self.handle_leader_input(now_ms, &leader::Input::Tick);
            for index in 0..self.members.len() {
                self.handle_member_input(
                    now_ms,
                    index,
                    &Input::EpochReported { epoch: Epoch(100) },
                );
                self.handle_member_input(now_ms, index, &Input::Tick);
            }
        }
    }

    /// Passes an input to the leader, and its messages to the members.
    fn handle_leader_input(&mut self, now_ms: u64, input: &leader::Input) {
        let start = Instant::now();
        let outputs = self.leader.handle(now_ms, input, &mut self.random);
        let mut sent = Vec::new();
        for output in outputs {
            let leader::Output::Send { worker, incarnation, message } = output else { continue };
            let datagram = LeaderDatagram { epoch: Epoch(100), message };
            let datagram = self
                .encoder
                .encode_for(&datagram, incarnation)
                .expect("the message fits a datagram");
            self.cost.add(&datagram);
            sent.push((worker, datagram));
        }
        self.cost.busy += start.elapsed();
        for (worker, datagram) in sent {
            let is_receiver = |m: &Member| m.agent.worker().id == worker;
            let index =
                self.members.iter().position(is_receiver).expect("the receiver is a member");
            let member = &mut self.members[index];
            let start = Instant::now();
            member.cost.add(&datagram);
            let incarnation = member.agent.incarnation();
            let decoded = member.decoder.decode_for::<LeaderDatagram>(&datagram, incarnation);
            member.cost.busy += start.elapsed();
            let (_, LeaderDatagram { epoch, message }) =
                decoded.expect("the datagram is authentic");
            self.handle_member_input(now_ms, index, &Input::Leader { epoch, incarnation, message });
        }
    }

    /// Passes an input to a member, and its messages to the leader.
    fn handle_member_input(&mut self, now_ms: u64, index: usize, input: &Input) {
        let member = &mut self.members[index];
        let start = Instant::now();
        let outputs = member.agent.handle(now_ms, input, &mut self.random);
        let mut sent = Vec::new();
        let mut answers = Vec::new();
        for output in outputs {
            match output {
                Output::Send { message } => {
                    let datagram =
                        member.encoder.encode(&message).expect("the message fits a datagram");
                    member.cost.add(&datagram);
                    sent.push(datagram);
                }
                Output::Call { call: WorkerCall::List { number } } => {
                    answers.push(WorkerAnswer::Listed { number, tasks: Vec::new() });
                }
                _ => {}
            }
        }
        member.cost.busy += start.elapsed();
        for answer in answers {
            self.handle_member_input(now_ms, index, &Input::Worker { answer });
        }
        for datagram in sent {
            let start = Instant::now();
            self.cost.add(&datagram);
            let decoded = self.decoder.decode::<MemberMessage>(&datagram);
            self.cost.busy += start.elapsed();
            let (_, message) = decoded.expect("the datagram is authentic");
            self.handle_leader_input(now_ms, &leader::Input::Member { message });
        }
    }
}

fn print(role: &str, size: usize, heartbeat_ms: u64, cost: Cost) {
    let seconds = SECONDS as f64;
    println!(
        "| {role} | {size} | {heartbeat_ms} | {:.0} | {:.1} | {:.4} |",
        cost.bytes as f64 / seconds,
        cost.packets as f64 / seconds,
        cost.busy.as_secs_f64() / seconds * 100.0
    );
}

/// Returns slope and intercept of the least-squares line through points.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let (x, y) = points.iter().fold((0.0, 0.0), |sum, p| (sum.0 + p.0 / n, sum.1 + p.1 / n));
    let covariance: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    (covariance / variance, y - covariance / variance * x)
}

fn main() {
    println!("| role | members | heartbeat ms | bytes/s | packets/s | % of a core |");
    println!("|---|---|---|---|---|---|");
    let (mut bytes, mut busy) = (Vec::new(), Vec::new());
    for (size, heartbeat_ms) in GROUPS {
        let mut group = Group::new(size, heartbeat_ms);
        group.run(0, 10_000);
        group.cost = Cost::default();
        group.members.iter_mut().for_each(|member| member.cost = Cost::default());
        group.run(10_000, 10_000 + SECONDS * 1_000);
        print("leader", size, heartbeat_ms, group.cost);
        print("member", size, heartbeat_ms, group.members[size / 2].cost);
        let beats = size as f64 * 1_000.0 / heartbeat_ms as f64;
        bytes.push((beats, group.cost.bytes as f64 / SECONDS as f64));
        busy.push((beats, group.cost.busy.as_secs_f64() / SECONDS as f64 * 1e6));
    }
    let ((per_beat, base), (us_per_beat, us_base)) = (fit(&bytes), fit(&busy));
    println!("leader: {per_beat:.1} bytes for each heartbeat, {base:.1} bytes/s intercept");
    println!("leader: {us_per_beat:.2} us for each heartbeat, {us_base:.1} us/s intercept");
}
