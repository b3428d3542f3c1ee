//! The choice of cells for all tasks of a gang at once.

use std::str::FromStr;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use super::mask::{aligned_blocks, find_block};
use super::pool::{Pool, Worker};
use crate::prelude::*;
use crate::scheduler::TaskCell;

/// How cells are chosen and the queue is ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Best fit under guarantees, with reclaim, reservations and backfill.
    #[default]
    Product,
    /// Baseline: strict order of arrival; the first cells that fit.
    FirstComeFirstFit,
    /// Baseline: order of arrival with overtaking; random cells that fit.
    RandomFit,
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "product" => Ok(Self::Product),
            "first_come_first_fit" => Ok(Self::FirstComeFirstFit),
            "random_fit" => Ok(Self::RandomFit),
            _ => Err(format!(
                "unknown policy {text:?}, expected product, first_come_first_fit or random_fit"
            )),
        }
    }
}

/// What a gang needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// The number of tasks.
    pub tasks: u32,
    /// What each task needs.
    pub task: TaskSpec,
    /// How close to each other the tasks are.
    pub adjacency: Adjacency,
}

/// What a gang may use on one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidate {
    /// The accelerators.
    pub mask: u64,
    /// The cores.
    pub cores: u32,
    /// The memory in mebibytes.
    pub memory_mb: u64,
    /// What using the worker costs; a lower cost is taken first.
    pub cost: u32,
}

/// The cells of a gang on each of its workers, by the position of the worker.
pub type Plan = Vec<(u32, Vec<TaskCell>)>;

/// The tasks that one worker can take.
#[derive(Clone, Copy, Debug)]
struct Room {
    worker: u32,
    slots: u32,
    candidate: Candidate,
}

impl Demand {
    /// Returns the demand of a job as declared.
    pub fn of(job: &JobSpec) -> Self {
        Self { tasks: job.tasks, task: job.task, adjacency: job.adjacency }
    }

    /// Returns the accelerators of the whole gang.
    pub fn accelerators(&self) -> u32 {
        self.tasks * self.task.accelerators
    }

    /// Returns whether whatever has no room for `other` has no room for this demand either.
    pub fn needs_at_least(&self, other: &Self) -> bool {
        self.tasks >= other.tasks
            && self.adjacency <= other.adjacency
            && self.task.accelerators >= other.task.accelerators
            && self.task.cores >= other.task.cores
            && self.task.memory_mb >= other.task.memory_mb
    }

    /// Returns how many tasks fit into what a worker offers.
    pub fn slots(&self, candidate: &Candidate) -> u32 {
        let mut slots = self.tasks;
        if self.task.accelerators > 0 {
            slots = slots.min(aligned_blocks(candidate.mask, self.task.accelerators));
        }
        if slots > 0 && self.task.cores > 0 {
            slots = slots.min(candidate.cores / self.task.cores);
        }
        if slots > 0 && self.task.memory_mb > 0 {
            slots = slots
                .min((candidate.memory_mb / self.task.memory_mb).min(u64::from(u32::MAX)) as u32);
        }
        slots
    }
}

/// The workers of a group that have room for tasks of a gang, rack by rack.
struct Rooms {
    all: Vec<Room>,
    /// Where the rooms of each rack end in `all`.
    ends: Vec<usize>,
}

/// Chooses cells for all tasks of a gang, or returns `None` if not all of them fit.
///
/// `offer` says what the gang may use on each worker; only the given racks are searched, or all.
pub fn choose<F, R>(
    pool: &Pool,
    demand: &Demand,
    policy: Policy,
    racks: Option<&[u32]>,
    random: &mut R,
    offer: F,
) -> Option<Plan>
where
    F: Fn(u32, &Worker) -> Option<Candidate>,
    R: Rng,
{
    let rooms = Rooms::find(pool, demand, racks, &offer);
    if rooms.all.is_empty() {
        return None;
    }
    let mut racks: Vec<&[Room]> = rooms.racks().collect();
    let mut shuffled = Vec::new();
    if policy == Policy::RandomFit {
        shuffled.extend(racks.iter().map(|rack| rack.to_vec()));
        shuffle(&mut shuffled, random);
        racks = shuffled.iter().map(Vec::as_slice).collect();
    }
    let chosen = match demand.adjacency {
        Adjacency::Worker => one_worker(pool, demand, policy, &racks)?,
        Adjacency::Rack => one_rack(pool, demand, policy, &racks)?,
        Adjacency::DataCentre => one_rack(pool, demand, policy, &racks)
            .or_else(|| many_racks(pool, demand, policy, &racks))?,
    };
    Some(fill(pool, demand, &chosen))
}

impl Rooms {
    fn find<F>(pool: &Pool, demand: &Demand, racks: Option<&[u32]>, offer: &F) -> Self
    where
        F: Fn(u32, &Worker) -> Option<Candidate>,
    {
        let mut rooms = Self { all: Vec::new(), ends: Vec::new() };
        match racks {
            Some(racks) => {
                racks.iter().for_each(|rack| rooms.add_rack(pool, demand, *rack as usize, offer))
            }
            None => {
                (0..pool.rack_count()).for_each(|rack| rooms.add_rack(pool, demand, rack, offer))
            }
        }
        rooms
    }

    fn add_rack<F>(&mut self, pool: &Pool, demand: &Demand, rack: usize, offer: &F)
    where
        F: Fn(u32, &Worker) -> Option<Candidate>,
    {
        for position in pool.rack(rack) {
            let Some(candidate) = offer(*position, pool.worker(*position)) else { continue };
            let slots = demand.slots(&candidate);
            if slots > 0 {
                self.all.push(Room { worker: *position, slots, candidate });
            }
        }
        self.ends.push(self.all.len());
    }

    fn racks(&self) -> impl Iterator<Item = &[Room]> {
        let starts = std::iter::once(0).chain(self.ends.iter().copied());
        starts
            .zip(&self.ends)
            .map(|(start, end)| &self.all[start..*end])
            .filter(|rack| !rack.is_empty())
    }
}

fn shuffle<R>(racks: &mut [Vec<Room>], random: &mut R)
where
    R: Rng,
{
    shuffle_slice(racks, random);
    for rack in racks {
        shuffle_slice(rack, random);
    }
}

fn shuffle_slice<T, R>(items: &mut [T], random: &mut R)
where
    R: Rng,
{
    for last in (1..items.len()).rev() {
        items.swap(last, random.random_range(0..=last));
    }
}

/// Orders workers by cost, then by how little is free on them, so that whole workers stay whole.
fn tightness(pool: &Pool, room: &Room) -> (u32, u32, u64) {
    let worker = pool.worker(room.worker);
    (room.candidate.cost, worker.free.count_ones(), worker.free_memory_mb)
}

fn one_worker(
    pool: &Pool,
    demand: &Demand,
    policy: Policy,
    racks: &[&[Room]],
) -> Option<Vec<Room>> {
    let mut fitting = racks.iter().copied().flatten().filter(|room| room.slots >= demand.tasks);
    let room = match policy {
        Policy::Product => fitting.min_by_key(|room| tightness(pool, room)),
        _ => fitting.next(),
    };
    room.map(|room| vec![*room])
}

fn one_rack(pool: &Pool, demand: &Demand, policy: Policy, racks: &[&[Room]]) -> Option<Vec<Room>> {
    let slots = |rack: &[Room]| rack.iter().map(|room| room.slots).sum::<u32>();
    let mut fitting = racks.iter().filter(|rack| slots(rack) >= demand.tasks).copied();
    let rack = match policy {
        Policy::Product => fitting.min_by_key(|rack| (cheapest(demand, rack), slots(rack))),
        _ => fitting.next(),
    }?;
    Some(pick(pool, demand.tasks, policy, rack.to_vec()))
}

/// Returns the least cost at which a rack takes all tasks.
fn cheapest(demand: &Demand, rack: &[Room]) -> u32 {
    if rack.iter().all(|room| room.candidate.cost == 0) {
        return 0;
    }
    let mut rooms: Vec<&Room> = rack.iter().collect();
    rooms.sort_by_key(|room| room.candidate.cost);
    let mut left = demand.tasks;
    let mut cost = 0;
    for room in rooms {
        if left == 0 {
            break;
        }
        left = left.saturating_sub(room.slots);
        cost += room.candidate.cost;
    }
    cost
}

fn many_racks(
    pool: &Pool,
    demand: &Demand,
    policy: Policy,
    racks: &[&[Room]],
) -> Option<Vec<Room>> {
    let mut order: Vec<&[Room]> = racks.to_vec();
    if policy == Policy::Product {
        order
            .sort_by_key(|rack| std::cmp::Reverse(rack.iter().map(|room| room.slots).sum::<u32>()));
    }
    let mut left = demand.tasks;
    let mut chosen = Vec::new();
    for rack in order {
        if left == 0 {
            break;
        }
        let part = pick(pool, left, policy, rack.to_vec());
        left -= part.iter().map(|room| room.slots).sum::<u32>();
        chosen.extend(part);
    }
    (left == 0).then_some(chosen)
}

/// Takes workers of one rack until all tasks have room, and trims the last to what is left.
fn pick(pool: &Pool, tasks: u32, policy: Policy, mut rooms: Vec<Room>) -> Vec<Room> {
    if policy == Policy::Product {
        rooms.sort_by_key(|room| tightness(pool, room));
    }
    let mut left = tasks;
    let mut chosen = Vec::new();
    for mut room in rooms {
        if left == 0 {
            break;
        }
        room.slots = room.slots.min(left);
        left -= room.slots;
        chosen.push(room);
    }
    chosen
}

/// Gives each task its accelerators.
fn fill(pool: &Pool, demand: &Demand, rooms: &[Room]) -> Plan {
    let mut task = 0;
    let mut plan = Vec::with_capacity(rooms.len());
    for room in rooms {
        let mut mask = room.candidate.mask;
        let mut free = pool.worker(room.worker).available_mask();
        let mut cells = Vec::new();
        for _ in 0..room.slots.min(demand.tasks - task) {
            let accelerator_mask = match demand.task.accelerators {
                0 => 0,
                size => find_block(mask & free, free, size)
                    .or_else(|| find_block(mask, free, size))
                    .unwrap_or(0),
            };
            mask &= !accelerator_mask;
            free &= !accelerator_mask;
            cells.push(TaskCell { task, accelerator_mask });
            task += 1;
        }
        plan.push((room.worker, cells));
    }
    plan
}
