//! Prints the comparison of docs/measurements.md, heading Placement: `cargo run --release --example compare [SEEDS]`.

use std::process::ExitCode;

use teaselhall::replay::{Comparison, compare};

/// The default number of seeds.
const SEEDS: u64 = 12;
/// The time over which jobs arrive in each session, in milliseconds.
const LENGTH_MS: u64 = 1_200_000;
/// The load, in thousandths of all capacity.
const LOAD_PER_MILLE: u32 = 750;

fn main() -> ExitCode {
    let Ok(seeds) = std::env::args().nth(1).map_or(Ok(SEEDS), |text| text.parse()) else {
        eprintln!("the number of seeds must be a number");
        return ExitCode::from(2);
    };
    let comparison = Comparison { seeds, length_ms: LENGTH_MS, load_per_mille: LOAD_PER_MILLE };
    match compare(comparison) {
        Ok(table) => {
            print!("{table}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
