//! Tests of the planner against simulated workers that behave like those of the platform.

mod blame;
mod bursts;
mod campaign;
mod cost;
mod gangs;
mod incarnation;
mod overload;
mod records;
mod reservation;
mod rules;
mod schedules;
mod speed;
mod straggler;
mod takeover;
mod world;

use std::sync::Arc;

use super::*;
use crate::rules::{Organisation, Rules};
use crate::workflow::{MAX_PART_BYTES, Resources, StepSpec, WorkflowSpec};

/// Planner settings of all tests.
const SETTINGS: PlannerSettings = PlannerSettings {
    lease_expiry_ms: 9_500,
    takeover_lease_expiry_ms: 13_500,
    record_limit_bytes: MAX_PART_BYTES,
    speed_spread_percent: None,
    cost: None,
};
/// Wall-clock time at which tests begin, in milliseconds since 1970.
const BEGIN_WALL_MS: u64 = 1_700_000_000_000;
const SERVICE: &str = "moulding";

fn resources(cores_milli: u32, memory_mb: u32, accelerators: u32) -> Resources {
    Resources { cores_milli, memory_mb, accelerators }
}

/// Returns the total resources of a worker: 32 cores, 128 GB, 8 accelerators.
fn worker_resources() -> Resources {
    resources(32_000, 131_072, 8)
}

fn step(tasks: u32, accelerators: u32) -> StepSpec {
    StepSpec {
        tasks,
        need: resources(2_000, 8_000, accelerators),
        estimate_ms: 1_000,
        ..StepSpec::default()
    }
}

fn gang(tasks: u32, accelerators: u32) -> StepSpec {
    StepSpec { gang: true, ..step(tasks, accelerators) }
}

fn job(priority: u8, steps: Vec<StepSpec>) -> JobRecord {
    JobRecord {
        queue: format!("queue-{priority}"),
        organisation: OrganisationId::from("org-a"),
        service: SERVICE.to_owned(),
        priority,
        attempts: 3,
        accepted_ms: BEGIN_WALL_MS,
        spec: WorkflowSpec { payload: "payload".to_owned(), steps, schedule: None },
    }
}

fn guarantees(guaranteed: &[(&str, u32)]) -> Directives {
    let organisation = |(name, accelerators): &(&str, u32)| Organisation {
        name: OrganisationId::from(*name),
        keys: Vec::new(),
        guaranteed_accelerators: *accelerators,
    };
    let rules = Rules {
        version: 1,
        organisations: guaranteed.iter().map(organisation).collect(),
        ..Rules::default()
    };
    Directives { as_of: 1, rules: Some(Arc::new(rules)), ..Directives::default() }
}
