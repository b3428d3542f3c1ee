//! Fixtures of the simulated group: rules, jobs and names of messages in the log.

use teaselhall::bundle::{KindRule, PolicyRules, Rack, Weights, WorkerShape};
use teaselhall::prelude::*;
use teaselhall::scheduler::{GroupRules, GroupTopology};

use super::world::{GANG_LEASE_MS, HEARTBEAT_MS};

/// The maximum time for which a gang may run partially: one lease, 1 % for clock drift on each side, three heartbeat
/// intervals until a silent member is suspected, and a second for messages and calls in flight.
pub const PARTIAL_GANG_LIMIT_MS: u64 =
    GANG_LEASE_MS + GANG_LEASE_MS / 50 + 3 * HEARTBEAT_MS + 1_000;

pub fn shape() -> WorkerShape {
    WorkerShape { cores: 32, memory_mb: 131_072, accelerators: 8 }
}

pub fn rules() -> GroupRules {
    let kind =
        KindRule { id: "run".into(), class: Class::Normal, may_borrow: false, preemptible: false };
    GroupRules {
        version: BundleVersion(1),
        guarantees: Vec::new(),
        topology: GroupTopology {
            worker: shape(),
            racks: vec![Rack { id: "r".into(), workers: 4 }],
        },
        kinds: vec![kind],
        policy: PolicyRules {
            group_workers: 128,
            reclaim_checkpoint_ms: 800,
            reclaim_stop_ms: 600,
            reservation_age_ms: 60_000,
            return_ramp_ms: 10_000,
            retry_budget_per_mille: 100,
            queue_limit_urgent: 1_000,
            queue_limit_normal: 1_000,
            queue_limit_batch: 1_000,
            weights: Weights {
                completion_per_mille: 400,
                fragmentation_per_mille: 300,
                work_done_per_mille: 300,
            },
        },
    }
}

/// Returns a job without checkpoints whose tasks may be placed on several workers.
pub fn job(number: usize, tasks: u32, accelerators: u32, run_ms: u64, repeat: Repeat) -> JobSpec {
    JobSpec {
        id: format!("j{number:02}").into(),
        organisation: "o".into(),
        kind: "run".into(),
        tasks,
        task: TaskSpec { cores: 2, memory_mb: 1_024, accelerators },
        adjacency: Adjacency::DataCentre,
        declared_run_ms: run_ms,
        repeat,
        can_checkpoint: false,
    }
}

/// Returns a summary of a message's debug text for the log: its name, gang, task and end.
pub fn summarize(message: &str) -> String {
    let name: String = message.chars().take_while(|c| c.is_alphanumeric()).collect();
    let word_after = |marker: &str| {
        let rest = message.split_once(marker)?.1;
        Some(rest.chars().take_while(|c| c.is_alphanumeric()).collect::<String>())
    };
    let job = word_after("JobId(\"").map(|job| format!(" {job}")).unwrap_or_default();
    let number = word_after("number: ").map(|number| format!("#{number}")).unwrap_or_default();
    let task = word_after(" task: ").filter(|task| !task.starts_with("Task"));
    let task = task.map(|task| format!("/{task}")).unwrap_or_default();
    let end = word_after("end: ").map(|end| format!(" {end}")).unwrap_or_default();
    format!("{name}{job}{number}{task}{end}")
}
