//! Validation of the content of a bundle. Each violation names its field.

use std::collections::BTreeSet;
use std::fmt::Display;

use derive_more::Display as DeriveDisplay;
use serde::{Deserialize, Serialize};

use super::{Bundle, DataCentre, Error, GuaranteedBlock, Organisation, PolicyRules, WorkerShape};
use crate::guarantee;
use crate::prelude::*;

/// Maximum length of any list in a bundle: more than four times the 140 teams and 9 data centres of the design size.
const MAX_LIST: usize = 1_024;
/// Maximum number of racks in a data centre; the design size has about 800.
const MAX_RACKS: usize = 4_096;
/// Maximum number of workers in a rack.
const MAX_RACK_WORKERS: u32 = 256;
/// Maximum number of cores of a worker.
const MAX_CORES: u32 = 4_096;
/// Maximum memory of a worker in mebibytes: 64 TiB.
const MAX_MEMORY_MB: u64 = 64 << 20;
/// Maximum number of accelerators of a worker: each cell is one bit of a 64-bit mask.
const MAX_ACCELERATORS: u32 = 64;
/// Maximum number of workers in a capacity group. Heartbeats of 128 members fill the budget of 7 KB/s; a longer
/// interval allows more members.
const MAX_GROUP_WORKERS: u32 = 1_024;
/// Maximum duration in a policy, in milliseconds: one day.
const MAX_DURATION_MS: u64 = 24 * 60 * 60 * 1_000;
/// Maximum queue limit of a class, in jobs or requests.
const MAX_QUEUE: u32 = 1_000_000;
/// Maximum retry budget: one retry for each request that succeeds. More retries would only add load.
const MAX_RETRY_PER_MILLE: u32 = 1_000;
/// Sum of the weights, each of which is a share of one decision.
const WEIGHTS_SUM_PER_MILLE: u64 = 1_000;
/// Maximum length of an identifier in characters; identifiers become parts of row keys and addresses.
const MAX_ID_CHARS: usize = 64;

/// A field of a bundle that violates a rule.
#[derive(Clone, Debug, DeriveDisplay, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[display("{field}: {reason}")]
pub struct FieldError {
    /// Path of the field, such as `organisations[0].guarantee[1].count`.
    pub field: String,
    /// The rule that the field violates.
    pub reason: String,
}

/// Checks the content of a bundle, without its signatures.
///
/// # Errors
///
/// [`Error::Invalid`] with each invalid field, or [`Error::NotAdmitted`] if the guarantees do not all fit at once.
pub fn validate(bundle: &Bundle) -> Result<(), Error> {
    let mut check = Check::default();
    check.version(bundle);
    check.data_centres(bundle);
    check.organisations(bundle);
    check.kinds(bundle);
    check.policy(&bundle.policy);
    if !check.problems.is_empty() {
        return Err(Error::Invalid { problems: check.problems });
    }
    match guarantee::admit(bundle) {
        Ok(_) => Ok(()),
        Err(error) => Err(Error::NotAdmitted { reason: error.to_string() }),
    }
}

/// Checks the fields of a bundle and collects the invalid ones.
#[derive(Default)]
struct Check {
    problems: Vec<FieldError>,
}

impl Check {
    fn fail<F, R>(&mut self, field: F, reason: R)
    where
        F: Display,
        R: Display,
    {
        self.problems.push(FieldError { field: field.to_string(), reason: reason.to_string() });
    }

    fn range<F, N>(&mut self, field: F, value: N, low: N, high: N)
    where
        F: Display,
        N: PartialOrd + Display + Copy,
    {
        if value < low || value > high {
            self.fail(field, format!("{value} is out of range; it must be from {low} to {high}"));
        }
    }

    fn length(&mut self, field: &str, length: usize, max_length: usize) {
        self.range(field, length, 1, max_length);
    }

    fn id<F>(&mut self, field: F, id: &str)
    where
        F: Display,
    {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if id.is_empty() || id.len() > MAX_ID_CHARS || !id.chars().all(allowed) {
            let rule = format!("from 1 to {MAX_ID_CHARS} letters, digits or \"-\", \"_\", \".\"");
            self.fail(field, format!("{id:?} is not {rule}"));
        }
    }

    fn unique<'a, T, I>(&mut self, list: &str, ids: I)
    where
        T: Ord + Display + 'a,
        I: IntoIterator<Item = &'a T>,
    {
        let mut seen = BTreeSet::new();
        for (index, id) in ids.into_iter().enumerate() {
            if !seen.insert(id) {
                self.fail(
                    format!("{list}[{index}].id"),
                    format!("identifier {id} occurs more than once in the list"),
                );
            }
        }
    }

    fn version(&mut self, bundle: &Bundle) {
        if bundle.version.0 == 0 {
            self.fail("version", "0 means that there is no bundle; versions begin at 1");
        }
    }

    fn data_centres(&mut self, bundle: &Bundle) {
        self.length("data_centres", bundle.data_centres.len(), MAX_LIST);
        self.unique("data_centres", bundle.data_centres.iter().map(|d| &d.id));
        for (index, data_centre) in bundle.data_centres.iter().enumerate() {
            self.data_centre(&format!("data_centres[{index}]"), data_centre, &bundle.policy);
        }
    }

    fn data_centre(&mut self, path: &str, data_centre: &DataCentre, policy: &PolicyRules) {
        self.id(format!("{path}.id"), data_centre.id.as_str());
        self.id(format!("{path}.region"), data_centre.region.as_str());
        self.worker(&format!("{path}.worker"), &data_centre.worker);
        let racks = format!("{path}.racks");
        self.length(&racks, data_centre.racks.len(), MAX_RACKS);
        self.unique(&racks, data_centre.racks.iter().map(|rack| &rack.id));
        for (index, rack) in data_centre.racks.iter().enumerate() {
            self.id(format!("{racks}[{index}].id"), rack.id.as_str());
            self.range(format!("{racks}[{index}].workers"), rack.workers, 1, MAX_RACK_WORKERS);
            if rack.workers > policy.group_workers {
                let limit = policy.group_workers;
                let reason =
                    format!("{} exceeds policy.group_workers, which is {limit}", rack.workers);
                self.fail(format!("{racks}[{index}].workers"), reason);
            }
        }
    }

    fn worker(&mut self, path: &str, worker: &WorkerShape) {
        self.range(format!("{path}.cores"), worker.cores, 1, MAX_CORES);
        self.range(format!("{path}.memory_mb"), worker.memory_mb, 1, MAX_MEMORY_MB);
        let field = format!("{path}.accelerators");
        self.range(&field, worker.accelerators, 1, MAX_ACCELERATORS);
        if !worker.accelerators.is_power_of_two() {
            self.fail(field, format!("{} is not a power of two", worker.accelerators));
        }
    }

    fn organisations(&mut self, bundle: &Bundle) {
        self.length("organisations", bundle.organisations.len(), MAX_LIST);
        self.unique("organisations", bundle.organisations.iter().map(|o| &o.id));
        for (index, organisation) in bundle.organisations.iter().enumerate() {
            self.organisation(&format!("organisations[{index}]"), organisation, bundle);
        }
    }

    fn organisation(&mut self, path: &str, organisation: &Organisation, bundle: &Bundle) {
        self.id(format!("{path}.id"), organisation.id.as_str());
        if organisation.guarantee.len() > MAX_LIST {
            let reason =
                format!("{} entries exceed the limit of {MAX_LIST}", organisation.guarantee.len());
            self.fail(format!("{path}.guarantee"), reason);
        }
        for (index, block) in organisation.guarantee.iter().enumerate() {
            self.block(&format!("{path}.guarantee[{index}]"), block, bundle);
        }
        self.quota(path, organisation);
    }

    fn quota(&mut self, path: &str, organisation: &Organisation) {
        let Some(quota) = organisation.quota_accelerators else { return };
        let blocks = organisation.guarantee.iter();
        let guaranteed: u64 =
            blocks.map(|b| u64::from(b.accelerators).saturating_mul(u64::from(b.count))).sum();
        if quota == 0 || u64::from(quota) < guaranteed {
            let reason = format!(
                "{quota} is too low; it must be at least 1 and at least the {guaranteed} guaranteed accelerators"
            );
            self.fail(format!("{path}.quota_accelerators"), reason);
        }
    }

    fn block(&mut self, path: &str, block: &GuaranteedBlock, bundle: &Bundle) {
        if block.accelerators == 0 {
            self.fail(
                format!("{path}.accelerators"),
                "a block must have at least 1 accelerator, not 0",
            );
        }
        if block.count == 0 {
            self.fail(format!("{path}.count"), "a guarantee must have at least 1 block, not 0");
        }
        let is_listed = |id: &DataCentreId| bundle.data_centres.iter().any(|d| &d.id == id);
        if let Some(id) = block.data_centre.as_ref().filter(|id| !is_listed(id)) {
            self.fail(
                format!("{path}.data_centre"),
                format!("data centre {id} is not listed in data_centres"),
            );
            return;
        }
        let mut candidates = bundle
            .data_centres
            .iter()
            .filter(|d| block.data_centre.as_ref().is_none_or(|id| id == &d.id));
        if !candidates.any(|d| fits(block, d, bundle.policy.group_workers)) {
            self.fail(format!("{path}.accelerators"), misfit_reason(block));
        }
    }

    fn kinds(&mut self, bundle: &Bundle) {
        self.length("kinds", bundle.kinds.len(), MAX_LIST);
        self.unique("kinds", bundle.kinds.iter().map(|kind| &kind.id));
        for (index, kind) in bundle.kinds.iter().enumerate() {
            self.id(format!("kinds[{index}].id"), kind.id.as_str());
            if kind.may_borrow && !kind.preemptible {
                let reason =
                    "work that may borrow cells must be preemptible, so that it can return them";
                self.fail(format!("kinds[{index}].may_borrow"), reason);
            }
        }
    }

    fn policy(&mut self, policy: &PolicyRules) {
        self.range("policy.group_workers", policy.group_workers, 1, MAX_GROUP_WORKERS);
        let durations = [
            ("policy.reclaim_checkpoint_ms", policy.reclaim_checkpoint_ms),
            ("policy.reclaim_stop_ms", policy.reclaim_stop_ms),
            ("policy.reservation_age_ms", policy.reservation_age_ms),
            ("policy.return_ramp_ms", policy.return_ramp_ms),
        ];
        for (field, duration_ms) in durations {
            self.range(field, duration_ms, 1, MAX_DURATION_MS);
        }
        let retries = policy.retry_budget_per_mille;
        self.range("policy.retry_budget_per_mille", retries, 0, MAX_RETRY_PER_MILLE);
        self.range("policy.queue_limit_urgent", policy.queue_limit_urgent, 1, MAX_QUEUE);
        self.range("policy.queue_limit_normal", policy.queue_limit_normal, 1, MAX_QUEUE);
        self.range("policy.queue_limit_batch", policy.queue_limit_batch, 1, MAX_QUEUE);
        self.weights(policy);
    }

    fn weights(&mut self, policy: &PolicyRules) {
        let weights = &policy.weights;
        let sum = [
            weights.completion_per_mille,
            weights.fragmentation_per_mille,
            weights.work_done_per_mille,
        ]
        .into_iter()
        .map(u64::from)
        .sum::<u64>();
        if sum != WEIGHTS_SUM_PER_MILLE {
            self.fail(
                "policy.weights",
                format!("the weights add up to {sum}; they must add up to {WEIGHTS_SUM_PER_MILLE}"),
            );
        }
    }
}

/// Returns whether one block fits an empty data centre, without regard to other guarantees.
fn fits(block: &GuaranteedBlock, data_centre: &DataCentre, group_workers: u32) -> bool {
    let per_worker = data_centre.worker.accelerators;
    if per_worker == 0 || !has_aligned_size(block, per_worker) {
        return false;
    }
    let workers = match block.adjacency {
        Adjacency::Worker => 1,
        Adjacency::Rack => data_centre.racks.iter().map(|rack| rack.workers).max().unwrap_or(0),
        // A block never spans several capacity groups.
        Adjacency::DataCentre => largest_group(data_centre, group_workers),
    };
    u64::from(block.accelerators) <= u64::from(workers) * u64::from(per_worker)
}

fn largest_group(data_centre: &DataCentre, group_workers: u32) -> u32 {
    data_centre.groups(group_workers).iter().map(|group| group.workers).max().unwrap_or(0)
}

/// Returns whether a block consists of whole workers and at most one aligned block of accelerators of a further worker,
/// whose size is a power of two.
fn has_aligned_size(block: &GuaranteedBlock, per_worker: u32) -> bool {
    let remainder = block.accelerators % per_worker;
    remainder == 0 || remainder.is_power_of_two()
}

fn misfit_reason(block: &GuaranteedBlock) -> String {
    let subject = match &block.data_centre {
        Some(id) => format!("data centre {id} does not have"),
        None => "no data centre has".to_owned(),
    };
    format!(
        "{subject} room for a block of {} accelerators on one {}; a block consists of whole workers and a power of two of \
         accelerators of a further worker",
        block.accelerators, block.adjacency
    )
}
