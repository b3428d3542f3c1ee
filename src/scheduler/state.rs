//! The state of a group's scheduler and the dispatch of its inputs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::jobs::{Job, Rights};
use super::learn::Learned;
use super::message::{Block, GroupRules, Input, Output, TaskCell};
use super::place::{DemandKey, Pass};
use super::queue::{Queue, Waiting};
use super::reserve::Reservation;
use crate::bundle::KindRule;
use crate::guarantee::Bindings;
use crate::placement::{Demand, JobKey, Policy, Pool};
use crate::prelude::*;

/// The time after which a silent worker certainly runs no task, in milliseconds.
///
/// It must not be shorter than the lease of a gang plus the time between two renewals.
pub const GANG_LEASE_BOUND_MS: u64 = 15_000;

/// The number of ended jobs that are remembered, so that a late copy of a submission is not run again.
const ENDED_JOBS: usize = 4_096;

/// The scheduler of one capacity group.
///
/// Nothing starts before [`Input::Rules`] and [`Input::StartsPermitted`] arrived.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scheduler {
    pub(crate) policy: Policy,
    pub(crate) rules: Option<GroupRules>,
    pub(crate) pool: Pool,
    pub(crate) organisations: Vec<OrganisationUse>,
    pub(crate) jobs: BTreeMap<JobKey, Job>,
    pub(crate) keys: BTreeMap<JobId, JobKey>,
    pub(crate) next_key: JobKey,
    pub(crate) queue: Queue,
    /// Jobs that have a gang.
    pub(crate) active: BTreeSet<JobKey>,
    pub(crate) ended: Ended,
    pub(crate) strays: Vec<OrphanShare>,
    pub(crate) permitted: bool,
    /// When the first input arrived; a leader that took over knows all gangs one lease later.
    pub(crate) since_ms: Option<u64>,
    /// Whether that time has passed.
    pub(crate) settled: bool,
    /// Whether anything changed that may let any waiting job start.
    pub(crate) dirty: bool,
    /// Racks in which cells became free since the queue was last gone through.
    pub(crate) touched: BTreeSet<u32>,
    /// Whether cells became free since the whole group was last searched.
    pub(crate) changed: bool,
    /// When the whole group is searched next even if nothing changed.
    pub(crate) next_search_ms: u64,
    /// The present pass over the queue.
    #[serde(skip)]
    pub(crate) pass: Pass,
    /// Whether the last pass over the queue was cut short.
    pub(crate) unfinished: bool,
    /// Jobs that wait for cells that others are giving back.
    pub(crate) claiming: BTreeSet<JobKey>,
    /// When the data centre came back into service.
    pub(crate) returned_ms: Option<u64>,
    /// Whether operators took the data centre out.
    pub(crate) out_of_service: bool,
    /// The time of the latest input.
    pub(crate) last_ms: u64,
    pub(crate) bindings: Bindings,
    pub(crate) reservation: Option<Reservation>,
    /// Demands for which there was no room since cells last became free.
    pub(crate) hopeless: Vec<DemandKey>,
    pub(crate) learned: Learned,
    /// The group's workers when all are up and idle.
    pub(crate) template: Pool,
    /// Demands that are known to fit into the empty group.
    pub(crate) feasible: Vec<DemandKey>,
}

/// What an organisation uses in the group.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct OrganisationUse {
    pub id: OrganisationId,
    /// Accelerators that its gangs hold or claim.
    pub used: u32,
    /// Accelerators of its guaranteed blocks in the group.
    pub guaranteed: u32,
    pub quota: Option<u32>,
}

/// Tasks that belong to no gang of the scheduler, which an agent was told to stop; or no tasks, but cells whose release
/// may still be on its way.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct OrphanShare {
    pub key: JobKey,
    pub gang: GangId,
    pub worker: u32,
    pub tasks: Vec<TaskCell>,
    pub ended: u64,
    pub deadline_ms: u64,
}

/// The latest jobs that ended.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Ended {
    ends: BTreeMap<JobId, JobEnd>,
    order: VecDeque<JobId>,
}

impl Ended {
    /// Remembers how a job ended.
    pub fn insert(&mut self, job: JobId, end: JobEnd) {
        if self.ends.insert(job.clone(), end).is_none() {
            self.order.push_back(job);
        }
        if self.order.len() > ENDED_JOBS
            && let Some(oldest) = self.order.pop_front()
        {
            self.ends.remove(&oldest);
        }
    }

    /// Returns how a job ended.
    pub fn get(&self, job: &JobId) -> Option<&JobEnd> {
        self.ends.get(job)
    }
}

impl Scheduler {
    /// Creates a scheduler of an empty group.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            rules: None,
            pool: Pool::default(),
            organisations: Vec::new(),
            jobs: BTreeMap::new(),
            keys: BTreeMap::new(),
            next_key: 0,
            queue: Queue::default(),
            active: BTreeSet::new(),
            ended: Ended::default(),
            strays: Vec::new(),
            permitted: false,
            since_ms: None,
            settled: false,
            dirty: false,
            touched: BTreeSet::new(),
            changed: false,
            next_search_ms: 0,
            pass: Pass::default(),
            unfinished: false,
            claiming: BTreeSet::new(),
            returned_ms: None,
            out_of_service: false,
            last_ms: 0,
            bindings: Bindings::default(),
            reservation: None,
            hopeless: Vec::new(),
            learned: Learned::default(),
            template: Pool::default(),
            feasible: Vec::new(),
        }
    }

    /// Applies one input and returns what is to be done.
    ///
    /// Inputs may be repeated, late or crossed; those that do not fit the state change nothing.
    pub fn handle<R>(&mut self, now_ms: u64, input: &Input, random: &mut R) -> Vec<Output>
    where
        R: Rng,
    {
        let mut out = Vec::new();
        self.since_ms.get_or_insert(now_ms);
        self.last_ms = now_ms;
        self.settle_takeover(now_ms, &mut out);
        match input {
            Input::Rules { rules } => self.apply_rules(rules),
            Input::WorkerUp { worker, running } => {
                self.worker_up(now_ms, worker, running, &mut out)
            }
            Input::WorkerLost { worker } => self.worker_lost(now_ms, worker, &mut out),
            Input::Submit { job, saved_ms, attempts } => {
                self.submit(now_ms, job, *saved_ms, *attempts, random, &mut out);
            }
            Input::Cancel { jobs } => self.cancel(now_ms, jobs, &mut out),
            Input::Reserved { gang, worker, result } => {
                self.reserved(now_ms, gang, worker, result, &mut out);
            }
            Input::IntentWritten { gang, result } => {
                self.intent_written(now_ms, gang, *result, &mut out);
            }
            Input::Started { gang, worker } => self.started(now_ms, gang, worker),
            Input::TaskEnded { gang, worker, task, end } => {
                self.task_ended(now_ms, gang, worker, *task, *end, &mut out);
            }
            Input::Checkpointed { gang, worker, saved_ms } => {
                self.checkpointed(now_ms, gang, worker, *saved_ms, &mut out);
            }
            Input::Usage { gang, cores_per_mille, memory_mb } => {
                self.record_usage(gang, *cores_per_mille, *memory_mb);
            }
            Input::Probed { worker, succeeded } => self.probed(worker, *succeeded),
            Input::StartsPermitted { permitted, leaving } => {
                self.starts_permitted(now_ms, *permitted, *leaving, &mut out);
            }
            Input::Tick => self.tick(now_ms, &mut out),
        }
        self.serve_claims(now_ms, &mut out);
        self.serve_queue(now_ms, random, &mut out);
        out
    }

    fn apply_rules(&mut self, rules: &GroupRules) {
        if self.rules.as_ref().is_some_and(|old| old.version > rules.version) {
            return;
        }
        let first = self.rules.is_none();
        self.template = rules.topology.empty_pool();
        self.feasible.clear();
        self.rules = Some(rules.clone());
        for organisation in &mut self.organisations {
            organisation.guaranteed = 0;
            organisation.quota = None;
        }
        for guarantee in &rules.guarantees {
            let index = self.organisation(&guarantee.organisation);
            let entry = &mut self.organisations[index as usize];
            entry.guaranteed = guarantee.blocks.iter().map(|block| block.accelerators).sum();
            entry.quota = guarantee.quota_accelerators;
        }
        let blocks = self.guaranteed_blocks(rules);
        self.renew_rights(first);
        self.bindings.replace(&mut self.pool, blocks);
        self.dirty = true;
    }

    fn guaranteed_blocks(&mut self, rules: &GroupRules) -> Vec<(u32, Block)> {
        if self.policy != Policy::Product {
            return Vec::new();
        }
        let mut blocks = Vec::new();
        for guarantee in &rules.guarantees {
            let owner = self.organisation(&guarantee.organisation);
            blocks.extend(guarantee.blocks.iter().map(|block| (owner, *block)));
        }
        blocks
    }

    /// Applies changed rules to jobs that wait; gangs keep the rights under which their cells were chosen.
    ///
    /// Gangs that were adopted before any rules were known get their rights from the first.
    fn renew_rights(&mut self, first: bool) {
        let keys: Vec<JobKey> = self.jobs.keys().copied().collect();
        for key in keys {
            let spec = self.jobs[&key].spec.clone();
            let Some(rights) = self.rights(&spec) else { continue };
            if self.jobs[&key].gang.is_none() {
                self.leave_queue(key);
                self.job_mut(key).rights = rights;
                self.enter_queue(key);
            } else if first {
                self.job_mut(key).rights = rights;
                self.renew_holdings(key, &rights);
            }
        }
    }

    fn renew_holdings(&mut self, key: JobKey, rights: &Rights) {
        let holdings = self.pool.workers.iter_mut().flat_map(|worker| &mut worker.holdings);
        for holding in holdings.filter(|holding| holding.job == key) {
            holding.class = rights.class;
            holding.reclaimable = rights.reclaimable;
        }
    }

    /// Returns the index of an organisation, which is created when it is new.
    pub(crate) fn organisation(&mut self, id: &OrganisationId) -> u32 {
        if let Some(found) = self.organisations.iter().position(|o| &o.id == id) {
            return found as u32;
        }
        self.organisations.push(OrganisationUse {
            id: id.clone(),
            used: 0,
            guaranteed: 0,
            quota: None,
        });
        (self.organisations.len() - 1) as u32
    }

    /// Returns what a job may do, or `None` if the bundle has no rule for its kind.
    pub(crate) fn rights(&mut self, job: &JobSpec) -> Option<Rights> {
        let KindRule { class, may_borrow, preemptible, .. } =
            *self.rules.as_ref()?.kinds.iter().find(|rule| rule.id == job.kind)?;
        // Work that may not be repeated never gets a second attempt, not even from a checkpoint, so it is not stopped.
        let reclaimable = preemptible && job.repeat == Repeat::Allowed;
        let organisation = self.organisation(&job.organisation);
        Some(Rights { organisation, class, borrows: may_borrow && reclaimable, reclaimable })
    }

    /// Notes that cells of a worker became free.
    pub(crate) fn touch(&mut self, worker: u32) {
        let rack = self.pool.worker(worker).rack;
        self.touched.insert(rack);
        self.changed = true;
    }

    pub(crate) fn job_mut(&mut self, key: JobKey) -> &mut Job {
        self.jobs.get_mut(&key).expect("a key of the scheduler names a job")
    }

    /// Returns a new key, later than all others.
    pub(crate) fn new_key(&mut self) -> JobKey {
        self.next_key += 1;
        self.next_key
    }

    /// Adds a job without a gang and without a place in the queue.
    pub(crate) fn add_job(&mut self, now_ms: u64, spec: &JobSpec, rights: Rights) -> JobKey {
        let key = self.new_key();
        self.keys.insert(spec.id.clone(), key);
        self.jobs.insert(
            key,
            Job {
                key,
                spec: spec.clone(),
                rights,
                demand: Demand::of(spec),
                arrived_ms: now_ms,
                attempts: 0,
                saved_ms: 0,
                may_still_run: false,
                ran: false,
                in_doubt: false,
                retry_at_ms: 0,
                conflicts: 0,
                failures: 0,
                failed_on: Vec::new(),
                gang: None,
                resumed_ms: 0,
            },
        );
        key
    }

    /// Puts a job into the queue.
    pub(crate) fn enter_queue(&mut self, key: JobKey) {
        let job = &self.jobs[&key];
        let waiting = Waiting {
            rights: job.rights,
            demand: job.demand,
            arrived_ms: job.arrived_ms,
            retry_at_ms: job.retry_at_ms,
            after_takeover: job.may_still_run,
        };
        self.queue.insert(key, waiting);
    }

    /// Takes a job out of the queue.
    pub(crate) fn leave_queue(&mut self, key: JobKey) {
        let rights = self.jobs[&key].rights;
        self.queue.remove(key, &rights);
    }

    /// Ends a job that holds no cells.
    pub(crate) fn end_job(&mut self, key: JobKey, end: JobEnd, out: &mut Vec<Output>) {
        self.leave_queue(key);
        self.active.remove(&key);
        if let Some(job) = self.jobs.remove(&key) {
            self.keys.remove(&job.spec.id);
            self.ended.insert(job.spec.id.clone(), end.clone());
            out.push(Output::WriteEnd { job: job.spec.id, end });
        }
    }

    /// Returns the rules' limits, or `None` before the first bundle.
    pub(crate) fn limits(&self) -> Option<&crate::bundle::PolicyRules> {
        self.rules.as_ref().map(|rules| &rules.policy)
    }
}
