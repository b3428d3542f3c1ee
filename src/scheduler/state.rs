//! The state of a group's scheduler and the dispatch of its inputs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::jobs::{Job, Rights};
use super::message::{Block, GroupRules, Input, Output, TaskCell};
use super::place::{DemandKey, Pass};
use super::queue::{Queue, Waiting};
use super::reserve::Reservation;
use super::run_statistics::RunStatistics;
use crate::bundle::KindRule;
use crate::guarantee::Bindings;
use crate::placement::{Demand, JobKey, Policy, Pool};
use crate::prelude::*;

/// Upper bound of the time for which a worker without contact runs tasks, in milliseconds.
///
/// It must be at least the lease of a gang plus the time between two renewals.
pub const GANG_LEASE_BOUND_MS: u64 = 15_000;

/// Maximum number of ended jobs that are kept, so that a late copy of a submission does not run the job again.
const MAX_ENDED_JOBS: usize = 4_096;

/// Scheduler of one capacity group.
///
/// No gang starts before [`Input::Rules`] and [`Input::StartsPermitted`] have arrived.
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
    /// Keys of the jobs that have a gang.
    pub(crate) active: BTreeSet<JobKey>,
    pub(crate) ended: Ended,
    /// Shares on workers that belong to no gang of the scheduler.
    #[serde(rename = "strays")]
    pub(crate) orphans: Vec<OrphanShare>,
    pub(crate) permitted: bool,
    /// Time of the first input. A leader that took over has received all gangs [`GANG_LEASE_BOUND_MS`] later.
    pub(crate) since_ms: Option<u64>,
    /// Whether [`GANG_LEASE_BOUND_MS`] have passed since `since_ms`.
    pub(crate) settled: bool,
    /// Whether a change may allow any waiting job to start, so that the whole queue must be tried.
    pub(crate) dirty: bool,
    /// Racks in which cells became free since the last pass over the queue.
    pub(crate) touched: BTreeSet<u32>,
    /// Whether cells became free since the whole group was last searched.
    pub(crate) changed: bool,
    /// Time of the next search of the whole group if nothing changes before.
    pub(crate) next_search_ms: u64,
    /// State of the current pass over the queue.
    #[serde(skip)]
    pub(crate) pass: Pass,
    /// Whether the last pass over the queue stopped at its limit of searches.
    pub(crate) unfinished: bool,
    /// Jobs that wait for claimed cells which other gangs still hold.
    pub(crate) claiming: BTreeSet<JobKey>,
    /// Time at which the data centre came back into service.
    pub(crate) returned_ms: Option<u64>,
    /// Whether operators took the data centre out of service.
    pub(crate) out_of_service: bool,
    /// Time of the latest input.
    pub(crate) last_ms: u64,
    pub(crate) bindings: Bindings,
    pub(crate) reservation: Option<Reservation>,
    /// Demands that could not be placed since cells last became free.
    #[serde(rename = "hopeless")]
    pub(crate) unplaceable: Vec<DemandKey>,
    #[serde(rename = "learned")]
    pub(crate) run_statistics: RunStatistics,
    /// Workers of the group when all are up and idle.
    pub(crate) template: Pool,
    /// Demands that were found to fit into the empty group.
    pub(crate) feasible: Vec<DemandKey>,
}

/// Accelerators that an organisation uses and may use in the group.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct OrganisationUse {
    pub id: OrganisationId,
    /// Number of accelerators that gangs of the organisation hold or claim.
    pub used: u32,
    /// Number of accelerators in the organisation's guaranteed blocks in the group.
    pub guaranteed: u32,
    pub quota: Option<u32>,
}

/// Share on a worker that belongs to no gang of the scheduler.
///
/// Either the agent was requested to stop its tasks, or `tasks` is empty and the share holds cells whose release may
/// not have reached the agent yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct OrphanShare {
    pub key: JobKey,
    pub gang: GangId,
    pub worker: u32,
    pub tasks: Vec<TaskCell>,
    /// Bit `n` is set when the task at position `n` of `tasks` has ended.
    pub ended: u64,
    pub deadline_ms: u64,
}

/// Outcomes of the jobs that ended last, at most [`MAX_ENDED_JOBS`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Ended {
    ends: BTreeMap<JobId, JobEnd>,
    order: VecDeque<JobId>,
}

impl Ended {
    /// Records the outcome of a job and removes the oldest one above the limit.
    pub fn insert(&mut self, job: JobId, end: JobEnd) {
        if self.ends.insert(job.clone(), end).is_none() {
            self.order.push_back(job);
        }
        if self.order.len() > MAX_ENDED_JOBS
            && let Some(oldest) = self.order.pop_front()
        {
            self.ends.remove(&oldest);
        }
    }

    /// Returns the outcome of a job that ended.
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
            orphans: Vec::new(),
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
            unplaceable: Vec::new(),
            run_statistics: RunStatistics::default(),
            template: Pool::default(),
            feasible: Vec::new(),
        }
    }

    /// Applies one input and returns the requested actions.
    ///
    /// Inputs may be duplicated, late or out of order; those that do not apply to the current state are ignored.
    pub fn handle<R>(&mut self, now_ms: u64, input: &Input, random: &mut R) -> Vec<Output>
    where
        R: Rng,
    {
        let mut out = Vec::new();
        self.since_ms.get_or_insert(now_ms);
        self.last_ms = now_ms;
        self.end_unrepeatable_after_takeover(now_ms, &mut out);
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

    /// Applies changed rules to waiting jobs; gangs keep the rights under which their cells were chosen.
    ///
    /// Gangs that were adopted before the first rules arrived get their rights from the first rules.
    fn renew_rights(&mut self, first: bool) {
        let keys: Vec<JobKey> = self.jobs.keys().copied().collect();
        for key in keys {
            let spec = self.jobs[&key].spec.clone();
            let Some(rights) = self.rights(&spec) else { continue };
            if self.jobs[&key].gang.is_none() {
                self.remove_from_queue(key);
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

    /// Returns the index of an organisation, adding an entry if there is none.
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

    /// Returns the rights of a job, or `None` if the bundle has no rule for its kind.
    pub(crate) fn rights(&mut self, job: &JobSpec) -> Option<Rights> {
        let KindRule { class, may_borrow, preemptible, .. } =
            *self.rules.as_ref()?.kinds.iter().find(|rule| rule.id == job.kind)?;
        // Work that may not be repeated gets no second attempt, not even from a checkpoint, so it is not reclaimed.
        let reclaimable = preemptible && job.repeat == Repeat::Allowed;
        let organisation = self.organisation(&job.organisation);
        Some(Rights { organisation, class, borrows: may_borrow && reclaimable, reclaimable })
    }

    /// Records that cells of a worker became free.
    pub(crate) fn touch(&mut self, worker: u32) {
        let rack = self.pool.worker(worker).rack;
        self.touched.insert(rack);
        self.changed = true;
    }

    pub(crate) fn job_mut(&mut self, key: JobKey) -> &mut Job {
        self.jobs.get_mut(&key).expect("a key of the scheduler names a job")
    }

    /// Returns a new key, greater than all earlier ones.
    pub(crate) fn new_key(&mut self) -> JobKey {
        self.next_key += 1;
        self.next_key
    }

    /// Adds a job that has no gang and is not in the queue.
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

    /// Adds a job to the queue.
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

    /// Removes a job from the queue.
    pub(crate) fn remove_from_queue(&mut self, key: JobKey) {
        let rights = self.jobs[&key].rights;
        self.queue.remove(key, &rights);
    }

    /// Removes a job that holds no cells and requests the write of its outcome.
    pub(crate) fn end_job(&mut self, key: JobKey, end: JobEnd, out: &mut Vec<Output>) {
        self.remove_from_queue(key);
        self.active.remove(&key);
        if let Some(job) = self.jobs.remove(&key) {
            self.keys.remove(&job.spec.id);
            self.ended.insert(job.spec.id.clone(), end.clone());
            out.push(Output::WriteEnd { job: job.spec.id, end });
        }
    }

    /// Returns the limits of the active rules, or `None` before the first bundle.
    pub(crate) fn limits(&self) -> Option<&crate::bundle::PolicyRules> {
        self.rules.as_ref().map(|rules| &rules.policy)
    }
}
