//! Chooses cells for all tasks of a gang at once.

use std::str::FromStr;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use super::mask::{aligned_blocks, find_block};
use super::pool::{Pool, Worker};
use crate::prelude::*;
use crate::scheduler::TaskCell;

/// Policy by which cells are chosen and the queue is ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Best fit that respects guarantees, with reclaim, reservations and backfill.
    #[default]
    Product,
    /// Baseline: jobs start strictly in order of arrival, on the first cells that fit.
    FirstComeFirstFit,
    /// Baseline: jobs are tried in order of arrival and may overtake each other, on random cells that fit.
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

/// Resources that a gang needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task needs.
    pub task: TaskSpec,
    /// How close to each other the tasks must be placed.
    pub adjacency: Adjacency,
}

/// Resources that a gang may use on one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidate {
    /// Mask of the accelerators.
    pub mask: u64,
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mb: u64,
    /// Cost of using the worker; workers with a lower cost are chosen first.
    pub cost: u32,
}

/// Cells of a gang on each of its workers, by the position of the worker in the pool.
pub type Plan = Vec<(u32, Vec<TaskCell>)>;

/// Number of tasks of a gang that fit on one worker.
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

    /// Returns the number of accelerators of the whole gang.
    pub fn accelerators(&self) -> u32 {
        self.tasks * self.task.accelerators
    }

    /// Returns whether this demand needs at least as much as `other` in every respect.
    ///
    /// Cells in which `other` does not fit then have no room for this demand either.
    pub fn needs_at_least(&self, other: &Self) -> bool {
        self.tasks >= other.tasks
            && self.adjacency <= other.adjacency
            && self.task.accelerators >= other.task.accelerators
            && self.task.cores >= other.task.cores
            && self.task.memory_mb >= other.task.memory_mb
    }

    /// Returns how many tasks fit into the resources of a candidate, at most the tasks of the gang.
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

/// Workers of a group that have room for tasks of a gang, grouped by rack.
struct Rooms {
    all: Vec<Room>,
    /// End index of each rack in `all`.
    ends: Vec<usize>,
}

/// Chooses cells for all tasks of a gang, or returns `None` if not all of them fit.
///
/// `offer` returns the resources that the gang may use on a worker, or `None` if it may not use the worker. Only
/// `racks` are searched, or all racks if it is `None`.
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
        Adjacency::Worker => choose_worker(pool, demand, policy, &racks)?,
        Adjacency::Rack => choose_rack(pool, demand, policy, &racks)?,
        Adjacency::DataCentre => choose_rack(pool, demand, policy, &racks)
            .or_else(|| choose_racks(pool, demand, policy, &racks))?,
    };
    Some(assign_accelerators(pool, demand, &chosen))
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

/// Returns the sort key of a worker: its cost, then its free accelerators and memory. Using nearly full workers first
/// leaves wholly free workers to large gangs.
fn tightness(pool: &Pool, room: &Room) -> (u32, u32, u64) {
    let worker = pool.worker(room.worker);
    (room.candidate.cost, worker.free.count_ones(), worker.free_memory_mb)
}

fn choose_worker(
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

fn choose_rack(
    pool: &Pool,
    demand: &Demand,
    policy: Policy,
    racks: &[&[Room]],
) -> Option<Vec<Room>> {
    let slots = |rack: &[Room]| rack.iter().map(|room| room.slots).sum::<u32>();
    let mut fitting = racks.iter().filter(|rack| slots(rack) >= demand.tasks).copied();
    let rack = match policy {
        Policy::Product => fitting.min_by_key(|rack| (lowest_cost(demand, rack), slots(rack))),
        _ => fitting.next(),
    }?;
    Some(choose_in_rack(pool, demand.tasks, policy, rack.to_vec()))
}

/// Returns the cost of the workers that hold all tasks if the cheapest workers of the rack are used first.
fn lowest_cost(demand: &Demand, rack: &[Room]) -> u32 {
    if rack.iter().all(|room| room.candidate.cost == 0) {
        return 0;
    }
    let mut rooms: Vec<&Room> = rack.iter().collect();
    rooms.sort_by_key(|room| room.candidate.cost);
    let mut remaining_tasks = demand.tasks;
    let mut cost = 0;
    for room in rooms {
        if remaining_tasks == 0 {
            break;
        }
        remaining_tasks = remaining_tasks.saturating_sub(room.slots);
        cost += room.candidate.cost;
    }
    cost
}

fn choose_racks(
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
    let mut remaining_tasks = demand.tasks;
    let mut chosen = Vec::new();
    for rack in order {
        if remaining_tasks == 0 {
            break;
        }
        let chosen_in_rack = choose_in_rack(pool, remaining_tasks, policy, rack.to_vec());
        remaining_tasks -= chosen_in_rack.iter().map(|room| room.slots).sum::<u32>();
        chosen.extend(chosen_in_rack);
    }
    (remaining_tasks == 0).then_some(chosen)
}

/// Chooses workers of one rack until all tasks have a slot, and limits the last worker to the remaining tasks.
fn choose_in_rack(pool: &Pool, tasks: u32, policy: Policy, mut rooms: Vec<Room>) -> Vec<Room> {
    if policy == Policy::Product {
        rooms.sort_by_key(|room| tightness(pool, room));
    }
    let mut remaining_tasks = tasks;
    let mut chosen = Vec::new();
    for mut room in rooms {
        if remaining_tasks == 0 {
            break;
        }
        room.slots = room.slots.min(remaining_tasks);
        remaining_tasks -= room.slots;
        chosen.push(room);
    }
    chosen
}

/// Assigns accelerators of the chosen workers to each task.
fn assign_accelerators(pool: &Pool, demand: &Demand, rooms: &[Room]) -> Plan {
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
