//! Compares the product's placement policy with both baselines over seeded sessions, as Markdown tables.

use std::fmt::Write as _;

use super::error::Result;
use super::generate::{Disturbance, GeneratorConfig, generate, urgent_alone};
use super::measure::Measures;
use super::users::User;
use super::{Report, run};
use crate::prelude::*;
use crate::scheduler::Policy;

/// Parameters of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Comparison {
    /// Number of seeds; the first is 1.
    pub seeds: u64,
    /// Time over which jobs arrive, in milliseconds.
    pub length_ms: u64,
    /// Work that arrives, as a share of the capacity of all accelerators, in thousandths.
    pub load_per_mille: u32,
}

/// A measured value that is compared, and its name in the table.
struct Quantity {
    name: &'static str,
    value: fn(&Measures) -> Option<f64>,
}

const QUANTITIES: [Quantity; 10] = [
    Quantity { name: "urgent p50, s", value: |m| seconds(completion(m, Class::Urgent).p50_ms) },
    Quantity { name: "urgent p99, s", value: |m| seconds(completion(m, Class::Urgent).p99_ms) },
    Quantity { name: "normal p50, s", value: |m| seconds(completion(m, Class::Normal).p50_ms) },
    Quantity { name: "normal p99, s", value: |m| seconds(completion(m, Class::Normal).p99_ms) },
    Quantity { name: "batch p99, s", value: |m| seconds(completion(m, Class::Batch).p99_ms) },
    Quantity { name: "large gangs' wait p99, s", value: |m| seconds(m.large_wait_p99_ms) },
    Quantity { name: "large gangs' first start p99, s", value: |m| seconds(m.large_start_p99_ms) },
    Quantity { name: "fragmentation", value: |m| Some(m.fragmentation) },
    Quantity { name: "work done in a data centre change", value: |m| m.work_done },
    Quantity {
        name: "jobs that succeeded",
        value: |m| Some(m.ended.get("succeeded").copied().unwrap_or_default() as f64),
    },
];

/// Reports of one user and disturbance, in the order of seeds.
struct Case {
    product: Vec<Report>,
    first_come: Vec<Report>,
    random: Vec<Report>,
    alone: Vec<Report>,
}

/// Compares the policies for both users without and with disturbances and returns the Markdown text.
///
/// # Errors
///
/// [`super::Error`] if a generated session cannot be replayed, which is a bug of the generator.
pub fn compare(comparison: Comparison) -> Result<String> {
    let mut text = String::new();
    for user in [User::Consortium, User::Fraser] {
        let disturbances = [Disturbance::None, Disturbance::DataCentreChange, Disturbance::Faults];
        let cases = std::thread::scope(|scope| {
            let threads = disturbances.map(|d| scope.spawn(move || run_case(comparison, user, d)));
            threads.map(|thread| thread.join().expect("a replay does not panic"))
        });
        for (disturbance, case) in disturbances.into_iter().zip(cases) {
            case?.write(&mut text, user, disturbance);
        }
    }
    Ok(text)
}

fn run_case(comparison: Comparison, user: User, disturbance: Disturbance) -> Result<Case> {
    let Comparison { seeds, length_ms, load_per_mille } = comparison;
    let config = GeneratorConfig { user, disturbance, length_ms, load_per_mille };
    let mut case =
        Case { product: Vec::new(), first_come: Vec::new(), random: Vec::new(), alone: Vec::new() };
    for seed in 1..=seeds {
        let session = generate(config, seed);
        case.product.push(run(&session, Policy::Product, seed)?);
        case.first_come.push(run(&session, Policy::FirstComeFirstFit, seed)?);
        case.random.push(run(&session, Policy::RandomFit, seed)?);
        case.alone.push(run(&urgent_alone(&session, user), Policy::Product, seed)?);
    }
    Ok(case)
}

impl Case {
    fn write(&self, text: &mut String, user: User, disturbance: Disturbance) {
        let seeds = self.product.len();
        let _ = writeln!(text, "\n{user}, disturbance {disturbance:?}, {seeds} seeds:\n");
        let _ = writeln!(
            text,
            "| measure | product | first-come first-fit | random fit | product / first-come | product / random |"
        );
        let _ = writeln!(text, "|---|---|---|---|---|---|");
        for quantity in &QUANTITIES {
            self.write_quantity(text, quantity);
        }
        self.write_targets(text);
    }

    fn write_quantity(&self, text: &mut String, quantity: &Quantity) {
        let [product, first_come, random] = [&self.product, &self.first_come, &self.random]
            .map(|reports| values(reports, quantity.value));
        if product.is_empty() {
            return;
        }
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} |",
            quantity.name,
            spread(&product),
            spread(&first_come),
            spread(&random),
            spread(&ratios(&product, &first_come)),
            spread(&ratios(&product, &random)),
        );
    }

    fn write_targets(&self, text: &mut String) {
        let urgent = |m: &Measures| seconds(completion(m, Class::Urgent).p99_ms);
        let wait = |m: &Measures| seconds(m.large_wait_p99_ms);
        let alone = ratios(&values(&self.product, urgent), &values(&self.alone, urgent));
        let waits = ratios(&values(&self.product, wait), &values(&self.first_come, wait));
        let work = values(&self.product, |m| m.work_done);
        let _ = writeln!(text);
        write_target(
            text,
            "urgent p99 / the same on an empty deployment, at most 1.1",
            &alone,
            |r| r <= 1.1,
        );
        write_target(
            text,
            "large gangs' wait p99 / first-come first-fit, at most 0.5",
            &waits,
            |r| r <= 0.5,
        );
        write_target(text, "work done in a data centre change, at least 0.95", &work, |r| {
            r >= 0.95
        });
        let broken: Vec<u64> =
            self.product.iter().filter(|r| !r.broken.is_empty()).map(|r| r.seed).collect();
        let verdict = if broken.is_empty() { "none".to_owned() } else { format!("{broken:?}") };
        let _ = writeln!(text, "- seeds with a broken promise under the product: {verdict}");
        let _ = writeln!(
            text,
            "- seeds with a broken promise under the baselines, which ignore guarantees: {} first-come, {} random",
            count_broken(&self.first_come),
            count_broken(&self.random)
        );
    }
}

/// Writes how many seeds reach a target. The target counts as reached if all of them do.
fn write_target<F>(text: &mut String, name: &str, values: &[f64], reached: F)
where
    F: Fn(f64) -> bool,
{
    if values.is_empty() {
        return;
    }
    let count = values.iter().filter(|value| reached(**value)).count();
    let verdict = if count == values.len() { "reached" } else { "missed" };
    let _ = writeln!(
        text,
        "- {name}: {verdict}; {} ({count} of {} seeds)",
        spread(values),
        values.len()
    );
}

fn count_broken(reports: &[Report]) -> usize {
    reports.iter().filter(|report| !report.broken.is_empty()).count()
}

fn completion(measures: &Measures, class: Class) -> super::Completion {
    measures.completion.get(&class).copied().unwrap_or_default()
}

fn seconds(time_ms: u64) -> Option<f64> {
    Some(time_ms as f64 / 1_000.0)
}

fn values<F>(reports: &[Report], value: F) -> Vec<f64>
where
    F: Fn(&Measures) -> Option<f64>,
{
    reports.iter().filter_map(|report| value(&report.measures)).collect()
}

fn ratios(values: &[f64], others: &[f64]) -> Vec<f64> {
    let pairs = values.iter().zip(others).filter(|(_, other)| **other > 0.0);
    pairs.map(|(value, other)| value / other).collect()
}

/// Formats the median, the lowest and the highest value.
fn spread(values: &[f64]) -> String {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    match (sorted.first(), sorted.last()) {
        (Some(low), Some(high)) => {
            format!("{:.2} ({low:.2}..{high:.2})", sorted[sorted.len() / 2])
        }
        _ => "-".to_owned(),
    }
}
