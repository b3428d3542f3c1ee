//! Seeded fault campaign of the path of a request. Routers, agents, endpoints and a table run in a simulation with a
//! network that loses, duplicates, reorders and alters messages, and with crashes, drains and outages.
//!
//! `REQUEST_CAMPAIGN_SEED=n cargo test --test request_campaign` repeats the simulation of one seed.

mod checks;
mod world;

use world::{Totals, World};

const SEEDS: u64 = 10_000;

/// Guards against requests that end without an outcome, with two outcomes, with the answer to another request, or with
/// an outcome that contradicts what ran, under random combinations of faults.
#[test]
fn outcomes_match_executions_under_random_faults() {
    let seeds = match std::env::var("REQUEST_CAMPAIGN_SEED") {
        Ok(seed) => vec![seed.parse().unwrap()],
        Err(_) => (0..SEEDS).collect::<Vec<u64>>(),
    };
    let mut totals = Totals::default();

    for &seed in &seeds {
        let mut world = World::new(seed);
        world.run();
        if let Err(violation) = checks::check(&world) {
            panic!("seed {seed}: {violation}");
        }
        totals.add(&world.totals);
    }

    println!("{} seeds: {totals:?}", seeds.len());
    if seeds.len() > 1 {
        totals.assert_all_seen();
    }
}
