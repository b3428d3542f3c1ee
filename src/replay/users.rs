//! The bundles of the two users that docs/design.md describes.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::bundle::{
    Bundle, DataCentre, GuaranteedBlock, KindRule, Organisation, PolicyRules, Rack, Weights,
    WorkerShape,
};
use crate::prelude::*;

/// One of the two users whose sessions are replayed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum User {
    /// Aqaba Wind Tunnel Consortium: 10 workers; work done and fragmentation count most.
    #[display("consortium")]
    Consortium,
    /// Fraser Seal & Gasket Works: 10 workers; completion time of fit checks counts most.
    #[display("fraser")]
    Fraser,
}

/// Names and policy weights that differ between the two users.
struct Names {
    region: &'static str,
    data_centres: [&'static str; 3],
    organisations: [&'static str; 4],
    large: &'static str,
    urgent: &'static str,
    batch: &'static str,
    weights: Weights,
}

impl User {
    /// Returns the user's job kind for large gangs.
    pub fn large_kind(self) -> KindId {
        self.names().large.into()
    }

    /// Returns the user's job kind for urgent checks.
    pub fn urgent_kind(self) -> KindId {
        self.names().urgent.into()
    }

    /// Returns the user's job kind for batch work.
    pub fn batch_kind(self) -> KindId {
        self.names().batch.into()
    }

    /// Returns the user's bundle. Two organisations are large, two are small.
    pub fn bundle(self) -> Bundle {
        let names = self.names();
        let [first, second, third, fourth] = names.organisations;
        let rack = |accelerators| block(accelerators, Adjacency::Rack, 1);
        let worker = |accelerators, count| block(accelerators, Adjacency::Worker, count);
        Bundle {
            version: BundleVersion(1),
            data_centres: names.data_centres.iter().map(|id| data_centre(id, &names)).collect(),
            organisations: vec![
                organisation(first, vec![rack(16)]),
                organisation(second, vec![rack(16)]),
                organisation(third, vec![worker(8, 1)]),
                organisation(fourth, vec![worker(4, 3)]),
            ],
            kinds: vec![
                kind(names.large, Class::Normal, true),
                kind(names.urgent, Class::Urgent, false),
                kind(names.batch, Class::Batch, true),
            ],
            policy: policy(names.weights),
        }
    }

    fn names(self) -> Names {
        match self {
            Self::Consortium => Names {
                region: "jordan",
                data_centres: ["amm1", "amm2", "amm3"],
                organisations: ["falcon", "cedar", "wadi", "bench"],
                large: "pre_run",
                urgent: "calibration",
                batch: "drift_fit",
                weights: weights(200, 400, 400),
            },
            Self::Fraser => Names {
                region: "mainland",
                data_centres: ["yvr1", "yvr2", "yvr3"],
                organisations: ["rings", "valves", "pumps", "fitting"],
                large: "cure",
                urgent: "fit_check",
                batch: "press_log",
                weights: weights(700, 150, 150),
            },
        }
    }
}

/// Returns a data centre with one rack of three workers; the first one has a second rack with one worker.
fn data_centre(id: &str, names: &Names) -> DataCentre {
    let mut racks = vec![Rack { id: format!("{id}-r1").into(), workers: 3 }];
    if id == names.data_centres[0] {
        racks.push(Rack { id: format!("{id}-r2").into(), workers: 1 });
    }
    DataCentre {
        id: id.into(),
        region: names.region.into(),
        worker: WorkerShape { cores: 32, memory_mb: 131_072, accelerators: 8 },
        racks,
    }
}

fn organisation(id: &str, guarantee: Vec<GuaranteedBlock>) -> Organisation {
    Organisation { id: id.into(), guarantee, quota_accelerators: None }
}

fn block(accelerators: u32, adjacency: Adjacency, count: u32) -> GuaranteedBlock {
    GuaranteedBlock { data_centre: None, accelerators, adjacency, count }
}

fn kind(id: &str, class: Class, preemptible: bool) -> KindRule {
    KindRule { id: id.into(), class, may_borrow: true, preemptible }
}

fn weights(completion: u32, fragmentation: u32, work_done: u32) -> Weights {
    Weights {
        completion_per_mille: completion,
        fragmentation_per_mille: fragmentation,
        work_done_per_mille: work_done,
    }
}

/// Returns the policy rules. The limits for checkpoint and stop add up to less than the 2.5 s within which urgent work
/// starts.
fn policy(weights: Weights) -> PolicyRules {
    PolicyRules {
        group_workers: 128,
        reclaim_checkpoint_ms: 1_000,
        reclaim_stop_ms: 1_000,
        reservation_age_ms: 60_000,
        return_ramp_ms: 30_000,
        retry_budget_per_mille: 100,
        queue_limit_urgent: 1_000,
        queue_limit_normal: 1_000,
        queue_limit_batch: 1_000,
        weights,
    }
}
