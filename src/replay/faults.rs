//! Seeded faults of generated sessions. Every fault is followed by its recovery, so that every job can reach an end.

use rand::{Rng, RngExt};

use super::generate::{Disturbance, GeneratorConfig};
use super::session::{Behaviour, Event, TableMode, TimedEvent};
use crate::bundle::Bundle;
use crate::prelude::*;

/// Mean time between two faults, in milliseconds. Most faults last longer, so that several overlap.
const FAULT_INTERVAL_MS: u64 = 30_000;
/// Time that a data centre is out of service in a generated session, in milliseconds.
const OUT_DURATION_MS: u64 = 180_000;

/// Adds the data centre change and the faults that a configuration requests.
pub(super) fn add<R>(inputs: &mut Vec<TimedEvent>, config: &GeneratorConfig, random: &mut R)
where
    R: Rng,
{
    if config.disturbance == Disturbance::None {
        return;
    }
    let bundle = config.user.bundle();
    add_data_centre_change(inputs, config, &bundle, random);
    if config.disturbance == Disturbance::Faults {
        for _ in 0..config.length_ms / FAULT_INTERVAL_MS {
            let at_ms = random.random_range(1_000..config.length_ms);
            let fault = random_fault(&bundle, at_ms, random);
            inputs.extend(fault.into_iter().map(|(at_ms, event)| TimedEvent { at_ms, event }));
        }
    }
}

/// Adds the removal of a random data centre from service in the second quarter of the session, and its return.
fn add_data_centre_change<R>(
    inputs: &mut Vec<TimedEvent>,
    config: &GeneratorConfig,
    bundle: &Bundle,
    random: &mut R,
) where
    R: Rng,
{
    let index = random.random_range(0..bundle.data_centres.len());
    let data_centre = bundle.data_centres[index].id.clone();
    let at_ms = random.random_range(config.length_ms / 4..config.length_ms / 2);
    let out = Event::DataCentreOut { data_centre: data_centre.clone() };
    inputs.push(TimedEvent { at_ms, event: out });
    let at_ms = at_ms + OUT_DURATION_MS;
    inputs.push(TimedEvent { at_ms, event: Event::DataCentreIn { data_centre } });
}

/// Draws a random fault and returns its start and end events.
fn random_fault<R>(bundle: &Bundle, at_ms: u64, random: &mut R) -> Vec<(u64, Event)>
where
    R: Rng,
{
    let worker = random_worker(bundle, random);
    let groups = bundle.groups();
    let group = groups[random.random_range(0..groups.len())].id.clone();
    let for_ms = random.random_range(1_000..40_000);
    let end_ms = at_ms + for_ms;
    match random.random_range(0..8) {
        0 => vec![
            (at_ms, Event::WorkerFails { worker: worker.clone() }),
            (end_ms, Event::WorkerReturns { worker }),
        ],
        1 => vec![(at_ms, Event::WorkerSilent { worker, for_ms })],
        2 => {
            let faulty = Behaviour { fails_everything: true, ..Behaviour::default() };
            behaviour_change(at_ms, end_ms + 60_000, worker, faulty)
        }
        3 => {
            let faulty = Behaviour { ignores_stop: true, ..Behaviour::default() };
            behaviour_change(at_ms, end_ms + 60_000, worker, faulty)
        }
        4 => vec![(at_ms, Event::LeaderCrash { group })],
        5 => vec![(at_ms, Event::LeaderPause { group, for_ms: for_ms / 3 })],
        6 => table_change(at_ms, end_ms, TableMode::Down),
        _ => {
            let mode = if random.random() { TableMode::Slow } else { TableMode::LosesAnswers };
            table_change(at_ms, end_ms, mode)
        }
    }
}

fn behaviour_change(
    at_ms: u64,
    end_ms: u64,
    worker: WorkerId,
    faulty: Behaviour,
) -> Vec<(u64, Event)> {
    vec![
        (at_ms, Event::Behaviour { worker: worker.clone(), behaviour: faulty }),
        (end_ms, Event::Behaviour { worker, behaviour: Behaviour::default() }),
    ]
}

fn table_change(at_ms: u64, end_ms: u64, mode: TableMode) -> Vec<(u64, Event)> {
    vec![(at_ms, Event::Table { mode }), (end_ms, Event::Table { mode: TableMode::Up })]
}

fn random_worker<R>(bundle: &Bundle, random: &mut R) -> WorkerId
where
    R: Rng,
{
    let racks = bundle.data_centres.iter().flat_map(|data_centre| &data_centre.racks);
    let workers: Vec<WorkerId> = racks
        .flat_map(|rack| (1..=rack.workers).map(|n| format!("{}-w{n}", rack.id).into()))
        .collect();
    workers[random.random_range(0..workers.len())].clone()
}
