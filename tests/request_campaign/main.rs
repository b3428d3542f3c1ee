//! Seeded fault campaign of the path of a request: routers, agents, endpoints and a table against each other, through a
//! network that loses, duplicates, reorders and alters messages, with crashes, drains and outages.
//!
//! `REQUEST_CAMPAIGN_SEED=n cargo test --test request_campaign` repeats one run.

mod checks;
mod world;

use world::{Totals, World};

const RUNS: u64 = 10_000;

/// Guards against lost, repeated, crossed and untruthful outcomes under any mix of faults.
#[test]
fn no_run_breaks_a_promise() {
    let seeds = match std::env::var("REQUEST_CAMPAIGN_SEED") {
        Ok(seed) => vec![seed.parse().unwrap()],
        Err(_) => (0..RUNS).collect::<Vec<u64>>(),
    };
    let mut totals = Totals::default();

    for &seed in &seeds {
        let mut world = World::new(seed);
        world.run();
        if let Err(fault) = checks::check(&world) {
            panic!("seed {seed}: {fault}");
        }
        totals.add(&world.totals);
    }

    println!("{} runs: {totals:?}", seeds.len());
    if seeds.len() > 1 {
        totals.assert_all_seen();
    }
}
