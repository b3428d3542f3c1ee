//! Simulated leaders of groups: the scheduler of a group, and crash, pause and takeover of its leader.

use super::*;
use crate::scheduler::Scheduler;

/// Interval between two scans of a group's rows, in milliseconds.
const SCAN_INTERVAL_MS: u64 = 10_000;

/// State of a leader's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Status {
    Live,
    Paused,
    Dead,
}

/// A current or former leader of a group.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) group: usize,
    pub(super) epoch: Epoch,
    pub(super) scheduler: Scheduler,
    pub(super) status: Status,
    /// Inputs that arrived while the process was paused.
    backlog: Vec<Input>,
    /// Whether the last permit delivered to the scheduler allows starts.
    permitted: bool,
    /// Whether all members have joined or their leases have expired, so that tasks may start.
    adopted: bool,
    /// Gangs and kinds of order (stop, checkpoint) that the transcript contains already.
    logged_orders: BTreeSet<(GangId, &'static str)>,
}

impl Leader {
    pub(super) fn is_live(&self) -> bool {
        self.status == Status::Live
    }
}

impl World {
    /// Adds a leader of a group and returns its index.
    pub(super) fn add_leader(&mut self, group: usize, epoch: Epoch, adopted: bool) -> usize {
        let leader = self.leaders.len();
        self.leaders.push(Leader {
            group,
            epoch,
            scheduler: Scheduler::new(self.policy),
            status: Status::Live,
            backlog: Vec::new(),
            permitted: false,
            adopted,
            logged_orders: BTreeSet::new(),
        });
        self.groups[group].leader = leader;
        self.groups[group].epoch = epoch;
        let rules = Box::new(self.groups[group].rules.clone());
        self.deliver(leader, Input::Rules { rules });
        self.send_permit(leader);
        self.schedule_tick(leader);
        leader
    }

    /// Notifies a leader's scheduler whether starts are permitted.
    pub(super) fn send_permit(&mut self, leader: usize) {
        let group = &self.groups[self.leaders[leader].group];
        let leaving =
            self.data_centre_states.get(&group.data_centre).is_some_and(|state| state.out);
        let permitted = group.permitted && self.leaders[leader].adopted;
        self.deliver(leader, Input::StartsPermitted { permitted, leaving });
    }

    /// Delivers an input to a leader's scheduler and dispatches its outputs. A paused leader queues the input; a dead
    /// one drops it.
    pub(super) fn deliver(&mut self, index: usize, input: Input) {
        let now_ms = self.now_ms();
        let leader = &mut self.leaders[index];
        match leader.status {
            Status::Dead => return,
            Status::Paused => return leader.backlog.push(input),
            Status::Live => {}
        }
        if let Input::StartsPermitted { permitted, .. } = input {
            leader.permitted = permitted;
        }
        self.checker.step += 1;
        let outputs = leader.scheduler.handle(now_ms, &input, &mut self.decisions);
        if !outputs.is_empty() {
            let violations = leader.scheduler.violations();
            for violation in violations {
                let detail = format!("{violation:?}");
                self.checker.record_violation(now_ms, Property::Invariant, detail);
            }
        }
        self.acknowledge(&input);
        for output in outputs {
            self.dispatch(index, output);
        }
    }

    fn dispatch(&mut self, leader: usize, output: Output) {
        self.record_order(leader, &output);
        match output {
            Output::Reserve { ref share, .. } => {
                let worker = share.worker.clone();
                self.send_order(leader, worker, output);
            }
            Output::Release { ref worker, .. }
            | Output::Start { ref worker, .. }
            | Output::Checkpoint { ref worker, .. }
            | Output::Stop { ref worker, .. }
            | Output::Fence { ref worker }
            | Output::Probe { ref worker } => {
                let worker = worker.clone();
                self.send_order(leader, worker, output);
            }
            Output::WriteIntent { .. } | Output::WriteQueued { .. } | Output::WriteEnd { .. } => {
                self.write(leader, output);
            }
        }
    }

    fn send_order(&mut self, leader: usize, worker: WorkerId, order: Output) {
        let delay_ms = self.network_delay_ms();
        self.queue.after(delay_ms, SimEvent::Order { worker, leader, order });
    }

    /// Checks a start against the permit, and adds stops, checkpoints, fences and probes to the transcript.
    fn record_order(&mut self, leader: usize, output: &Output) {
        let now_ms = self.now_ms();
        match output {
            Output::Start { gang, .. } if !self.leaders[leader].permitted => {
                let detail = format!("the scheduler starts {gang} without a permit");
                self.checker.record_violation(now_ms, Property::NoStartAfterOut, detail);
            }
            Output::Checkpoint { gang, .. } => self.log_once(leader, gang, "checkpoint"),
            Output::Stop { gang, .. } => self.log_once(leader, gang, "stop"),
            Output::Fence { worker } => self.log(format!("fence   {worker}")),
            Output::Probe { worker } => {
                self.log(format!("probe   {worker}"));
                if let Some(member) = self.members.get_mut(worker) {
                    member.quarantined = true;
                }
            }
            _ => {}
        }
    }

    fn log_once(&mut self, leader: usize, gang: &GangId, what: &'static str) {
        if self.leaders[leader].logged_orders.insert((gang.clone(), what)) {
            self.log(format!("{what:<7} {gang}"));
        }
    }

    pub(super) fn tick(&mut self, leader: usize) {
        let now_ms = self.now_ms();
        match self.leaders[leader].status {
            Status::Dead => return,
            Status::Paused => {}
            Status::Live => {
                self.deliver(leader, Input::Tick);
                let fragmentation = self.leaders[leader].scheduler.fragmentation();
                self.meter.record_fragmentation(fragmentation);
                self.checker.check_partial(now_ms, self.partial_limit_ms());
                if now_ms % SCAN_INTERVAL_MS < MAX_TICK_INTERVAL_MS {
                    self.scan_queued(leader);
                }
            }
        }
        self.schedule_tick(leader);
    }

    /// Returns the time for which a gang may run partially: the worker lost timeout, the time for a checkpoint and a
    /// stop, and a margin of 1 s.
    fn partial_limit_ms(&self) -> u64 {
        let policy = self.bundle.as_ref().map(|bundle| &bundle.policy);
        let stop_ms = policy.map_or(0, |p| p.reclaim_checkpoint_ms + p.reclaim_stop_ms);
        WORKER_LOST_TIMEOUT_MS + stop_ms + 1_000
    }

    pub(super) fn crash(&mut self, group: usize) {
        let leader = self.groups[group].leader;
        self.leaders[leader].status = Status::Dead;
        self.refresh_contacts(group);
        self.queue.after(TAKEOVER_DELAY_MS, SimEvent::Takeover { group, from: leader });
    }

    pub(super) fn pause(&mut self, group: usize, for_ms: u64) {
        let leader = self.groups[group].leader;
        if !self.leaders[leader].is_live() {
            return;
        }
        self.leaders[leader].status = Status::Paused;
        self.refresh_contacts(group);
        self.queue.after(for_ms, SimEvent::Resume { leader });
        if for_ms >= TAKEOVER_DELAY_MS {
            self.queue.after(TAKEOVER_DELAY_MS, SimEvent::Takeover { group, from: leader });
        }
    }

    /// Resumes a paused leader. It handles its backlog before it detects a takeover; its orders carry the old epoch
    /// then, so agents and the table refuse them.
    pub(super) fn resume(&mut self, leader: usize) {
        if self.leaders[leader].status == Status::Dead {
            return;
        }
        let group = self.leaders[leader].group;
        self.leaders[leader].status = Status::Live;
        let backlog = std::mem::take(&mut self.leaders[leader].backlog);
        for input in backlog {
            self.deliver(leader, input);
        }
        if self.groups[group].leader == leader {
            self.log(format!("leader  {} resumes", self.groups[group].id));
            self.update_permit(group);
            self.refresh_contacts(group);
            self.deliver_cancellations(group);
        } else {
            self.leaders[leader].status = Status::Dead;
            self.log(format!("leader  {} superseded", self.groups[group].id));
        }
    }

    /// Makes another agent the leader, unless the old leader is live or was replaced already.
    pub(super) fn take_over(&mut self, group: usize, from: usize) {
        if self.groups[group].leader != from || self.leaders[from].is_live() {
            return;
        }
        if self.table == TableMode::Down {
            return self.queue.after(500, SimEvent::Takeover { group, from });
        }
        let epoch = self.groups[group].epoch.next();
        let leader = self.add_leader(group, epoch, false);
        self.log(format!("leader  {} taken over, epoch {epoch}", self.groups[group].id));
        self.refresh_contacts(group);
        let rows = &self.rows.jobs;
        let is_of_leader = |job: &JobId| rows.get(job).is_some_and(|row| row.group == group);
        self.checker.restart_partial_timeouts(self.queue.now_ms(), is_of_leader);
        self.scan_open(leader);
        let wait_ms = self.request_joins(group, leader);
        self.queue.after(wait_ms, SimEvent::MembersAdopted { leader });
    }

    /// Permits starts once every member has joined or its leases have expired.
    pub(super) fn members_adopted(&mut self, leader: usize) {
        let group = self.leaders[leader].group;
        self.leaders[leader].adopted = true;
        self.send_permit(leader);
        self.deliver_cancellations(group);
    }

    /// Delivers the pending cancellations of a group to its leader, if the leader is live.
    pub(super) fn deliver_cancellations(&mut self, group: usize) {
        let leader = self.groups[group].leader;
        if !self.leaders[leader].is_live() || self.groups[group].pending_cancellations.is_empty() {
            return;
        }
        let jobs = std::mem::take(&mut self.groups[group].pending_cancellations);
        self.deliver(leader, Input::Cancel { jobs });
    }
}
