//! Members of a group: contact with the leader, orders, reports, and what their workers run.

use super::*;
use crate::replay::agent::Agent;
use crate::replay::packing::{Cells, guarantees_fit};
use crate::replay::session::Behaviour;
use crate::scheduler::{TaskCell, TaskEnd, WorkerSpec};

/// A worker, its agent, and its contact with the leader.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) agent: Agent,
    pub(super) data_centre: DataCentreId,
    pub(super) group: usize,
    /// The leader that the agent follows.
    leader: usize,
    silent: bool,
    /// Since when the agent has had no contact with a leader.
    pub(super) broken_ms: Option<u64>,
    /// Orders that are sent again until the worker is reachable.
    deferred: Vec<(usize, Output)>,
    /// Whether the leader declared the worker lost.
    lost: bool,
    /// Whether the leader quarantined the worker, and no probe has succeeded since.
    pub(super) quarantined: bool,
    /// What runs: the cells of each task.
    running: BTreeMap<(GangId, u32), u64>,
}

impl Member {
    /// Whether the worker is up and in contact, or was until a moment ago.
    fn may_start(&self, now_ms: u64, permitted: bool) -> bool {
        match self.broken_ms {
            Some(broken_ms) => now_ms < broken_ms + PERMIT_MS,
            None => permitted,
        }
    }

    /// Whether the leader may place work on the worker, as far as it can know.
    fn is_usable(&self) -> bool {
        !self.lost && !self.agent.fenced && !self.quarantined
    }

    fn is_up(&self) -> bool {
        self.agent.alive && !self.agent.fenced
    }
}

impl World {
    pub(super) fn add_member(
        &mut self,
        spec: WorkerSpec,
        data_centre: DataCentreId,
        group: usize,
        behaviour: Behaviour,
    ) {
        let worker = spec.id.clone();
        let leader = self.groups[group].leader;
        let member = Member {
            agent: Agent::new(spec, behaviour),
            data_centre,
            group,
            leader,
            silent: false,
            broken_ms: None,
            deferred: Vec::new(),
            lost: false,
            quarantined: false,
            running: BTreeMap::new(),
        };
        self.members.insert(worker.clone(), member);
        self.ask_member(worker, leader);
        self.update_capacity();
    }

    fn ask_member(&mut self, worker: WorkerId, leader: usize) {
        let delay_ms = self.network_ms();
        self.queue.after(delay_ms, SimEvent::Join { worker, leader });
    }

    /// Asks all members to join a new leader; returns the time after which their answers are complete.
    pub(super) fn ask_members(&mut self, group: usize, leader: usize) -> u64 {
        let workers: Vec<WorkerId> = self
            .members
            .iter()
            .filter(|(_, member)| member.group == group)
            .map(|(worker, _)| worker.clone())
            .collect();
        let mut wait_ms = 20;
        for worker in workers {
            let member = &self.members[&worker];
            if member.agent.alive && !member.silent {
                self.ask_member(worker, leader);
            } else {
                wait_ms = LOST_MS;
            }
        }
        wait_ms
    }

    /// An agent follows a leader and repeats the reports that no leader has acknowledged.
    pub(super) fn join(&mut self, worker: &WorkerId, leader: usize) {
        let epoch = self.leaders[leader].epoch;
        let Some(member) = self.members.get_mut(worker) else { return };
        if !member.agent.alive || member.silent || epoch < member.agent.epoch {
            return;
        }
        member.quarantined &= member.leader == leader;
        member.leader = leader;
        member.lost = false;
        let up = member.agent.join(epoch);
        let repeated = member.agent.unacknowledged.clone();
        for input in std::iter::once(up).chain(repeated) {
            // Reports of one agent about the past arrive after its join, so they need no delay of their own.
            self.queue.after(1, SimEvent::Report { worker: worker.clone(), leader, input });
        }
        self.update_capacity();
    }

    /// Notes which members are in contact with their leader, and what follows when contact breaks.
    pub(super) fn refresh_contacts(&mut self, group: usize) {
        let now_ms = self.now_ms();
        let leader = self.groups[group].leader;
        let live = self.leaders[leader].is_live();
        for (worker, member) in &mut self.members {
            if member.group != group {
                continue;
            }
            if member.agent.alive && !member.silent && live {
                member.broken_ms = None;
            } else if member.broken_ms.is_none() {
                member.broken_ms = Some(now_ms);
                let lease = SimEvent::LeaseEnds { worker: worker.clone(), broken_ms: now_ms };
                self.queue.after(GANG_LEASE_MS, lease);
                if live {
                    let worker = worker.clone();
                    let lost = SimEvent::Lost { worker, leader, broken_ms: now_ms };
                    self.queue.after(LOST_MS, lost);
                }
            }
        }
    }

    pub(super) fn lease_ends(&mut self, worker: &WorkerId, broken_ms: u64) {
        let now_ms = self.now_ms();
        let Some(member) = self.members.get_mut(worker) else { return };
        if member.broken_ms == Some(broken_ms) {
            let effects = member.agent.lose_all(now_ms);
            self.add_effects(worker, effects);
        }
    }

    pub(super) fn lost(&mut self, worker: &WorkerId, leader: usize, broken_ms: u64) {
        let Some(member) = self.members.get_mut(worker) else { return };
        if member.broken_ms != Some(broken_ms) || !self.leaders[leader].is_live() {
            return;
        }
        member.lost = true;
        member.deferred.clear();
        self.log(format!("lost    {worker}"));
        self.deliver(leader, Input::WorkerLost { worker: worker.clone() });
    }

    pub(super) fn worker_fails(&mut self, worker: &WorkerId) {
        let now_ms = self.now_ms();
        let Some(member) = self.members.get_mut(worker) else { return };
        let effects = member.agent.lose_all(now_ms);
        member.agent.alive = false;
        member.deferred.clear();
        let group = member.group;
        self.add_effects(worker, effects);
        if let Some(member) = self.members.get_mut(worker) {
            member.agent.unacknowledged.clear();
        }
        self.refresh_contacts(group);
        self.update_capacity();
    }

    /// A replaced VM has a new agent without state; its join tells the leader that the old one is gone.
    pub(super) fn worker_returns(&mut self, worker: &WorkerId) {
        let Some(member) = self.members.get_mut(worker) else { return };
        if member.agent.alive {
            return;
        }
        let group = member.group;
        let declared = member.lost;
        member.agent = Agent::new(member.agent.spec.clone(), member.agent.behaviour.clone());
        let leader = self.groups[group].leader;
        if !declared {
            self.deliver(leader, Input::WorkerLost { worker: worker.clone() });
        }
        self.refresh_contacts(group);
        self.ask_member(worker.clone(), leader);
        self.update_capacity();
    }

    pub(super) fn silence(&mut self, worker: &WorkerId, for_ms: u64) {
        let Some(member) = self.members.get_mut(worker) else { return };
        member.silent = true;
        let group = member.group;
        let running: BTreeSet<&JobId> = member.running.keys().map(|(gang, _)| &gang.job).collect();
        self.checker.restart_partial(self.queue.now_ms(), |job| running.contains(job));
        self.refresh_contacts(group);
        self.queue.after(for_ms, SimEvent::Audible { worker: worker.clone() });
    }

    /// A worker that was declared lost joins again; another one gets the orders that it missed.
    pub(super) fn audible(&mut self, worker: &WorkerId) {
        let Some(member) = self.members.get_mut(worker) else { return };
        member.silent = false;
        let group = member.group;
        let missed = std::mem::take(&mut member.deferred);
        let declared = member.lost;
        let follows = member.leader;
        let repeated = member.agent.unacknowledged.clone();
        let leader = self.groups[group].leader;
        self.refresh_contacts(group);
        if declared || follows != leader {
            return self.ask_member(worker.clone(), leader);
        }
        for (leader, order) in missed {
            self.queue.after(1, SimEvent::Order { worker: worker.clone(), leader, order });
        }
        for input in repeated {
            self.queue.after(1, SimEvent::Report { worker: worker.clone(), leader, input });
        }
    }

    pub(super) fn rejoin(&mut self, worker: &WorkerId) {
        let Some(member) = self.members.get(worker) else { return };
        if member.agent.alive && member.agent.fenced {
            let leader = self.groups[member.group].leader;
            self.ask_member(worker.clone(), leader);
        }
    }

    pub(super) fn order(&mut self, worker: WorkerId, leader: usize, order: Output) {
        let now_ms = self.now_ms();
        let epoch = self.leaders[leader].epoch;
        let Some(member) = self.members.get_mut(&worker) else { return };
        if !member.agent.alive {
            return;
        }
        if member.silent {
            member.deferred.push((leader, order));
            return;
        }
        let may_start = member.may_start(now_ms, self.groups[member.group].permitted);
        let actual = match &order {
            Output::Reserve { job, .. } => self.actual_outcomes.get(&job.id).copied(),
            _ => None,
        };
        let effects = member.agent.order(now_ms, epoch, may_start, &order, actual);
        if matches!(order, Output::Fence { .. }) && member.agent.fenced {
            self.queue.after(REJOIN_MS, SimEvent::Rejoin { worker: worker.clone() });
        }
        self.add_effects(&worker, effects);
        self.update_capacity();
    }

    pub(super) fn wake(&mut self, worker: &WorkerId, timer: &Timer) {
        let now_ms = self.now_ms();
        let Some(member) = self.members.get_mut(worker) else { return };
        let effects = member.agent.wake(now_ms, timer);
        self.add_effects(worker, effects);
    }

    pub(super) fn add_effect(&mut self, worker: &WorkerId, effect: Effect) {
        match effect {
            Effect::Report(input) => self.send_report(worker, 0, input),
            Effect::ReportAfter(delay_ms, input) => self.send_report(worker, delay_ms, input),
            Effect::After(delay_ms, timer) => {
                self.queue.after(delay_ms, SimEvent::Wake { worker: worker.clone(), timer });
            }
            Effect::Began { gang, tasks, saved_ms } => self.began(worker, &gang, &tasks, saved_ms),
            Effect::Ceased { gang, tasks, end, progress_ms } => {
                self.ceased(worker, &gang, &tasks, end, progress_ms);
            }
            Effect::Saved { gang, saved_ms } => self.rows.record_saved(&gang.job, saved_ms),
        }
    }

    fn send_report(&mut self, worker: &WorkerId, delay_ms: u64, input: Input) {
        let delay_ms = delay_ms + self.network_ms();
        let Some(member) = self.members.get_mut(worker) else { return };
        if matches!(input, Input::TaskEnded { .. }) {
            member.agent.unacknowledged.push(input.clone());
        }
        let leader = member.leader;
        self.queue.after(delay_ms, SimEvent::Report { worker: worker.clone(), leader, input });
    }

    /// A report reaches its leader, unless its worker cannot be heard; ends of tasks are repeated later.
    pub(super) fn report(&mut self, worker: &WorkerId, leader: usize, input: Input) {
        let Some(member) = self.members.get(worker) else { return };
        let current = self.groups[member.group].leader == leader;
        if member.agent.alive && member.silent && current {
            let report = SimEvent::Report { worker: worker.clone(), leader, input };
            return self.queue.after(1_000, report);
        }
        if member.agent.alive && !member.lost {
            self.deliver(leader, input);
        }
    }

    /// Notes what a leader that handled a report makes of it: the end of a task is acknowledged, and a successful probe
    /// ends a quarantine.
    pub(super) fn acknowledge(&mut self, input: &Input) {
        if let Input::Probed { worker, succeeded: true } = input
            && let Some(member) = self.members.get_mut(worker)
        {
            member.quarantined = false;
        }
        if let Input::TaskEnded { worker, .. } = input
            && let Some(member) = self.members.get_mut(worker)
        {
            member.agent.unacknowledged.retain(|waiting| waiting != input);
        }
    }

    fn began(&mut self, worker: &WorkerId, gang: &GangId, tasks: &[TaskCell], saved_ms: u64) {
        let now_ms = self.now_ms();
        let Some(member) = self.members.get(worker) else { return };
        let group = member.group;
        let data_centre = member.data_centre.clone();
        let before = self.guarantees_hold(group);
        if let Some(member) = self.members.get_mut(worker) {
            for cell in tasks {
                member.running.insert((gang.clone(), cell.task), cell.accelerator_mask);
            }
        }
        self.check_guarantees(group, before, &format!("start of {gang} on {worker}"));
        self.checker.began(now_ms, &data_centre, gang, tasks);
        self.meter.began(gang, saved_ms);
        self.update_capacity();
        self.log_whole(gang, saved_ms);
    }

    /// Writes one line when the last task of a gang runs.
    fn log_whole(&mut self, gang: &GangId, saved_ms: u64) {
        let mut places: Vec<String> = Vec::new();
        let mut running = 0;
        for (worker, member) in &self.members {
            let cells = member.running.iter().filter(|((other, _), _)| other == gang);
            let masks: Vec<u64> = cells.map(|(_, mask)| *mask).collect();
            if !masks.is_empty() {
                let mask = masks.iter().fold(0, |all, mask| all | mask);
                places.push(format!("{worker}:{mask:02x}"));
                running += masks.len();
            }
        }
        let tasks = self.rows.jobs.get(&gang.job).map_or(0, |row| row.spec.tasks as usize);
        if running == tasks {
            let from = if saved_ms > 0 { format!(" from {saved_ms} ms") } else { String::new() };
            self.log(format!("run     {gang}{from} on {}", places.join(" ")));
        }
    }

    fn ceased(
        &mut self,
        worker: &WorkerId,
        gang: &GangId,
        tasks: &[TaskCell],
        end: TaskEnd,
        progress_ms: u64,
    ) {
        let now_ms = self.now_ms();
        let Some(group) = self.members.get(worker).map(|member| member.group) else { return };
        let before = self.guarantees_hold(group);
        if let Some(member) = self.members.get_mut(worker) {
            let masks = tasks.iter().filter_map(|c| member.running.remove(&(gang.clone(), c.task)));
            let accelerators: u32 = masks.map(u64::count_ones).sum();
            if end != TaskEnd::Succeeded {
                self.meter.interrupted(&gang.job, progress_ms, accelerators.into());
            }
        }
        self.check_guarantees(group, before, &format!("end of {gang} on {worker}"));
        self.checker.ceased(now_ms, gang, tasks, end);
        self.update_capacity();
    }

    /// The guarantees must fit after each start, and also after each end of work, which may have used its
    /// organisation's guarantee.
    fn check_guarantees(&mut self, group: usize, before: bool, change: &str) {
        if before && !self.guarantees_hold(group) {
            let id = &self.groups[group].id;
            let detail = format!("the {change} leaves no room for the guarantees of {id}");
            self.checker.note(self.now_ms(), Property::GuaranteeReclaimable, detail);
        }
    }

    /// Returns whether the guarantees of a group fit beside the work on its workers that cannot be reclaimed.
    ///
    /// A worker counts until its leader declares it lost or quarantines it, because no placement before that can know
    /// better.
    fn guarantees_hold(&self, group: usize) -> bool {
        let counts = |member: &&Member| member.group == group && member.is_usable();
        let members = self.members.values().filter(counts);
        let cells: Vec<Cells> = members.map(|member| self.cells(member)).collect();
        guarantees_fit(&cells, &self.groups[group].rules.guarantees)
    }

    fn cells(&self, member: &Member) -> Cells {
        let spec = &member.agent.spec;
        let mut fixed = vec![None; spec.shape.accelerators as usize];
        for ((gang, _), mask) in &member.running {
            let Some(row) = self.rows.jobs.get(&gang.job) else { continue };
            if self.is_reclaimable(&row.spec) {
                continue;
            }
            for (index, cell) in fixed.iter_mut().enumerate() {
                if mask & (1 << index) != 0 {
                    *cell = Some(row.spec.organisation.clone());
                }
            }
        }
        Cells { rack: spec.rack.clone(), fixed }
    }

    /// Work can be reclaimed if its kind may be preempted and a second attempt is allowed.
    fn is_reclaimable(&self, job: &JobSpec) -> bool {
        let kind = self.bundle.as_ref().and_then(|bundle| bundle.kind(&job.kind));
        kind.is_some_and(|kind| kind.preemptible) && job.repeat == Repeat::Allowed
    }

    /// Computes again what the measures integrate over time.
    pub(super) fn update_capacity(&mut self) {
        let out = |member: &Member| {
            self.services.get(&member.data_centre).is_some_and(|service| service.out)
        };
        let members = self.members.values().filter(|member| member.is_up() && !out(member));
        let mut busy = 0;
        let mut capacity = 0;
        for member in members {
            capacity += member.agent.spec.shape.accelerators;
            busy += member.running.values().map(|mask| mask.count_ones()).sum::<u32>();
        }
        self.meter.capacity = capacity;
        self.meter.busy = busy;
    }
}
