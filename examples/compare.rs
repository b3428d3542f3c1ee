//! Prints the comparison of docs/measurements.md, heading Placement: `cargo run --release --example compare [SEEDS]`.

use std::process::ExitCode;

use teaselhall::replay::{Comparison, compare};

/// Default number of seeds.
const DEFAULT_SEEDS: u64 = 12;
/// Time over which jobs arrive in each session, in milliseconds.
const ARRIVAL_TIME_MS: u64 = 1_200_000;
/// Load of the sessions, in thousandths of the total capacity.
const LOAD_PER_MILLE: u32 = 750;

fn main() -> ExitCode {
    let Ok(seeds) = std::env::args().nth(1).map_or(Ok(DEFAULT_SEEDS), |text| text.parse()) else {
        eprintln!("compare: the number of seeds must be a whole number");
        return ExitCode::from(2);
    };
    let comparison =
        Comparison { seeds, length_ms: ARRIVAL_TIME_MS, load_per_mille: LOAD_PER_MILLE };
    match compare(comparison) {
        Ok(table) => {
            print!("{table}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("compare: {error}");
            ExitCode::FAILURE
        }
    }
}
