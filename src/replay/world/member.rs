//! Simulated members of a group: contact with the leader, orders, reports and running tasks.

use super::*;
use crate::replay::agent::Agent;
use crate::replay::packing::{WorkerCells, guarantees_fit};
use crate::replay::session::Behaviour;
use crate::scheduler::{TaskCell, TaskEnd, WorkerSpec};

/// A worker with its agent and the state of its contact with the leader.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) agent: Agent,
    pub(super) data_centre: DataCentreId,
    pub(super) group: usize,
    /// Index of the leader that the agent joined last.
    leader: usize,
    silent: bool,
    /// Time since which the agent has had no contact with a leader, in milliseconds.
    pub(super) contact_lost_ms: Option<u64>,
    /// Orders to a worker without contact, with their leaders; delivered once it is reachable.
    deferred: Vec<(usize, Output)>,
    /// Whether the leader declared the worker lost.
    lost: bool,
    /// Whether the leader quarantined the worker, and no probe has succeeded since.
    pub(super) quarantined: bool,
    /// Accelerator masks of the running tasks, by gang and task number.
    running: BTreeMap<(GangId, u32), u64>,
}

impl Member {
    /// Returns whether the agent may start tasks: while in contact, if the group is permitted to; without contact,
    /// until its permit expires.
    fn may_start(&self, now_ms: u64, permitted: bool) -> bool {
        match self.contact_lost_ms {
            Some(contact_lost_ms) => now_ms < contact_lost_ms + PERMIT_EXPIRY_MS,
            None => permitted,
        }
    }

    /// Returns whether the leader may place work on the worker: not declared lost, fenced or quarantined.
    fn is_placeable(&self) -> bool {
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
            contact_lost_ms: None,
            deferred: Vec::new(),
            lost: false,
            quarantined: false,
            running: BTreeMap::new(),
        };
        self.members.insert(worker.clone(), member);
        self.request_join(worker, leader);
        self.update_capacity();
    }

    fn request_join(&mut self, worker: WorkerId, leader: usize) {
        let delay_ms = self.network_delay_ms();
        self.queue.after(delay_ms, SimEvent::Join { worker, leader });
    }

    /// Requests all members to join a new leader. Returns the time after which all of them have joined or their leases
    /// have expired.
    pub(super) fn request_joins(&mut self, group: usize, leader: usize) -> u64 {
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
                self.request_join(worker, leader);
            } else {
                wait_ms = WORKER_LOST_TIMEOUT_MS;
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
            // Repeated reports of an agent arrive right after its join, in order, so they need no delay of their own.
            self.queue.after(1, SimEvent::Report { worker: worker.clone(), leader, input });
        }
        self.update_capacity();
    }

    /// Updates which members are in contact with their leader, and schedules the expiry of leases and the declaration
    /// as lost for those that lost contact.
    pub(super) fn refresh_contacts(&mut self, group: usize) {
        let now_ms = self.now_ms();
        let leader = self.groups[group].leader;
        let live = self.leaders[leader].is_live();
        for (worker, member) in &mut self.members {
            if member.group != group {
                continue;
            }
            if member.agent.alive && !member.silent && live {
                member.contact_lost_ms = None;
            } else if member.contact_lost_ms.is_none() {
                member.contact_lost_ms = Some(now_ms);
                let lease =
                    SimEvent::LeaseExpired { worker: worker.clone(), contact_lost_ms: now_ms };
                self.queue.after(GANG_LEASE_MS, lease);
                if live {
                    let worker = worker.clone();
                    let lost = SimEvent::WorkerLost { worker, leader, contact_lost_ms: now_ms };
                    self.queue.after(WORKER_LOST_TIMEOUT_MS, lost);
                }
            }
        }
    }

    pub(super) fn lease_expired(&mut self, worker: &WorkerId, contact_lost_ms: u64) {
        let now_ms = self.now_ms();
        let Some(member) = self.members.get_mut(worker) else { return };
        if member.contact_lost_ms == Some(contact_lost_ms) {
            let effects = member.agent.end_all_as_lost(now_ms);
            self.add_effects(worker, effects);
        }
    }

    pub(super) fn worker_lost(&mut self, worker: &WorkerId, leader: usize, contact_lost_ms: u64) {
        let Some(member) = self.members.get_mut(worker) else { return };
        if member.contact_lost_ms != Some(contact_lost_ms) || !self.leaders[leader].is_live() {
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
        let effects = member.agent.end_all_as_lost(now_ms);
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

    /// Replaces the VM of a failed worker. The new agent has no state; the leader receives the loss of the old one, if
    /// it was not declared lost yet, before the join.
    pub(super) fn worker_returns(&mut self, worker: &WorkerId) {
        let Some(member) = self.members.get_mut(worker) else { return };
        if member.agent.alive {
            return;
        }
        let group = member.group;
        let was_declared_lost = member.lost;
        member.agent = Agent::new(member.agent.spec.clone(), member.agent.behaviour.clone());
        let leader = self.groups[group].leader;
        if !was_declared_lost {
            self.deliver(leader, Input::WorkerLost { worker: worker.clone() });
        }
        self.refresh_contacts(group);
        self.request_join(worker.clone(), leader);
        self.update_capacity();
    }

    pub(super) fn start_silence(&mut self, worker: &WorkerId, for_ms: u64) {
        let Some(member) = self.members.get_mut(worker) else { return };
        member.silent = true;
        let group = member.group;
        let running: BTreeSet<&JobId> = member.running.keys().map(|(gang, _)| &gang.job).collect();
        self.checker.restart_partial_timeouts(self.queue.now_ms(), |job| running.contains(job));
        self.refresh_contacts(group);
        self.queue.after(for_ms, SimEvent::Reachable { worker: worker.clone() });
    }

    /// Ends the loss of contact. A worker that was declared lost, or whose group has a new leader, joins again; any
    /// other receives the orders that it missed.
    pub(super) fn worker_reachable(&mut self, worker: &WorkerId) {
        let Some(member) = self.members.get_mut(worker) else { return };
        member.silent = false;
        let group = member.group;
        let missed = std::mem::take(&mut member.deferred);
        let was_declared_lost = member.lost;
        let followed_leader = member.leader;
        let repeated = member.agent.unacknowledged.clone();
        let leader = self.groups[group].leader;
        self.refresh_contacts(group);
        if was_declared_lost || followed_leader != leader {
            return self.request_join(worker.clone(), leader);
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
            self.request_join(worker.clone(), leader);
        }
    }

    pub(super) fn deliver_order(&mut self, worker: WorkerId, leader: usize, order: Output) {
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
            self.queue.after(REJOIN_DELAY_MS, SimEvent::Rejoin { worker: worker.clone() });
        }
        self.add_effects(&worker, effects);
        self.update_capacity();
    }

    pub(super) fn on_timer(&mut self, worker: &WorkerId, timer: &Timer) {
        let now_ms = self.now_ms();
        let Some(member) = self.members.get_mut(worker) else { return };
        let effects = member.agent.on_timer(now_ms, timer);
        self.add_effects(worker, effects);
    }

    pub(super) fn add_effect(&mut self, worker: &WorkerId, effect: Effect) {
        match effect {
            Effect::Report(input) => self.send_report(worker, 0, input),
            Effect::ReportAfter(delay_ms, input) => self.send_report(worker, delay_ms, input),
            Effect::SetTimer(delay_ms, timer) => {
                self.queue.after(delay_ms, SimEvent::Timer { worker: worker.clone(), timer });
            }
            Effect::Started { gang, tasks, saved_ms } => {
                self.tasks_started(worker, &gang, &tasks, saved_ms)
            }
            Effect::Ended { gang, tasks, end, progress_ms } => {
                self.tasks_ended(worker, &gang, &tasks, end, progress_ms);
            }
            Effect::Saved { gang, saved_ms } => self.rows.record_saved(&gang.job, saved_ms),
        }
    }

    fn send_report(&mut self, worker: &WorkerId, delay_ms: u64, input: Input) {
        let delay_ms = delay_ms + self.network_delay_ms();
        let Some(member) = self.members.get_mut(worker) else { return };
        if matches!(input, Input::TaskEnded { .. }) {
            member.agent.unacknowledged.push(input.clone());
        }
        let leader = member.leader;
        self.queue.after(delay_ms, SimEvent::Report { worker: worker.clone(), leader, input });
    }

    /// Delivers a report to its leader. While the worker has no contact, the report is retried every second; a report
    /// of a worker that is down or was declared lost is dropped, and ends of tasks are repeated after the next join.
    pub(super) fn deliver_report(&mut self, worker: &WorkerId, leader: usize, input: Input) {
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

    /// Applies the consequences of a report that a leader handled: the end of a task is acknowledged, and a successful
    /// probe ends the quarantine of the worker.
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

    fn tasks_started(
        &mut self,
        worker: &WorkerId,
        gang: &GangId,
        tasks: &[TaskCell],
        saved_ms: u64,
    ) {
        let now_ms = self.now_ms();
        let Some(member) = self.members.get(worker) else { return };
        let group = member.group;
        let data_centre = member.data_centre.clone();
        let fitted_before = self.guarantees_hold(group);
        if let Some(member) = self.members.get_mut(worker) {
            for cell in tasks {
                member.running.insert((gang.clone(), cell.task), cell.accelerator_mask);
            }
        }
        self.check_guarantees(group, fitted_before, &format!("start of {gang} on {worker}"));
        self.checker.record_start(now_ms, &data_centre, gang, tasks);
        self.meter.record_start(gang, saved_ms);
        self.update_capacity();
        self.log_if_all_running(gang, saved_ms);
    }

    /// Adds a line to the transcript if all tasks of a gang are running.
    fn log_if_all_running(&mut self, gang: &GangId, saved_ms: u64) {
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

    fn tasks_ended(
        &mut self,
        worker: &WorkerId,
        gang: &GangId,
        tasks: &[TaskCell],
        end: TaskEnd,
        progress_ms: u64,
    ) {
        let now_ms = self.now_ms();
        let Some(group) = self.members.get(worker).map(|member| member.group) else { return };
        let fitted_before = self.guarantees_hold(group);
        if let Some(member) = self.members.get_mut(worker) {
            let masks = tasks.iter().filter_map(|c| member.running.remove(&(gang.clone(), c.task)));
            let accelerators: u32 = masks.map(u64::count_ones).sum();
            if end != TaskEnd::Succeeded {
                self.meter.record_interrupted(&gang.job, progress_ms, accelerators.into());
            }
        }
        self.check_guarantees(group, fitted_before, &format!("end of {gang} on {worker}"));
        self.checker.record_end(now_ms, gang, tasks, end);
        self.update_capacity();
    }

    /// Records a violation if the guarantees of a group fitted before a start or end of tasks but do not fit after it.
    /// An end is checked too, because the ended work may have used its organisation's guarantee.
    fn check_guarantees(&mut self, group: usize, fitted_before: bool, change: &str) {
        if fitted_before && !self.guarantees_hold(group) {
            let id = &self.groups[group].id;
            let detail = format!("the {change} leaves no room for the guarantees of {id}");
            self.checker.record_violation(self.now_ms(), Property::GuaranteeReclaimable, detail);
        }
    }

    /// Returns whether the guarantees of a group fit beside the work on its workers that cannot be reclaimed.
    ///
    /// A worker counts until its leader declares it lost or quarantines it, because the leader places work on the
    /// assumption that the worker is usable until then.
    fn guarantees_hold(&self, group: usize) -> bool {
        let counts = |member: &&Member| member.group == group && member.is_placeable();
        let members = self.members.values().filter(counts);
        let cells: Vec<WorkerCells> = members.map(|member| self.worker_cells(member)).collect();
        guarantees_fit(&cells, &self.groups[group].rules.guarantees)
    }

    fn worker_cells(&self, member: &Member) -> WorkerCells {
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
        WorkerCells { rack: spec.rack.clone(), fixed }
    }

    /// Returns whether a job can be reclaimed: its kind may be preempted and a second attempt is allowed.
    fn is_reclaimable(&self, job: &JobSpec) -> bool {
        let kind = self.bundle.as_ref().and_then(|bundle| bundle.kind(&job.kind));
        kind.is_some_and(|kind| kind.preemptible) && job.repeat == Repeat::Allowed
    }

    /// Recomputes the accelerators in service and the busy ones, which the measures integrate over time.
    pub(super) fn update_capacity(&mut self) {
        let out = |member: &Member| {
            self.data_centre_states.get(&member.data_centre).is_some_and(|state| state.out)
        };
        let members = self.members.values().filter(|member| member.is_up() && !out(member));
        let mut busy = 0;
        let mut capacity = 0;
        for member in members {
            capacity += member.agent.spec.shape.accelerators;
            busy += member.running.values().map(|mask| mask.count_ones()).sum::<u32>();
        }
        self.meter.accelerators_in_service = capacity;
        self.meter.busy_accelerators = busy;
    }
}
