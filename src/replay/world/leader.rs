//! Leaders: the scheduler of a group, its crash, pause and takeover.

use super::*;
use crate::scheduler::Scheduler;

/// The time between two scans of a group's rows, in milliseconds.
const SCAN_MS: u64 = 10_000;

/// Whether a leader's process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Status {
    Live,
    Paused,
    Dead,
}

/// A process that leads a group or did so.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) group: usize,
    pub(super) epoch: Epoch,
    pub(super) scheduler: Scheduler,
    pub(super) status: Status,
    /// What arrived during a pause.
    backlog: Vec<Input>,
    /// Whether the scheduler was told that starts are permitted.
    permitted: bool,
    /// Whether the members have answered, so that work may start.
    adopted: bool,
    /// Gangs whose stop or checkpoint is in the transcript.
    noted: BTreeSet<(GangId, &'static str)>,
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
            noted: BTreeSet::new(),
        });
        self.groups[group].leader = leader;
        self.groups[group].epoch = epoch;
        let rules = Box::new(self.groups[group].rules.clone());
        self.deliver(leader, Input::Rules { rules });
        self.tell_permit(leader);
        self.schedule_tick(leader);
        leader
    }

    /// Tells a leader's scheduler whether starts are permitted.
    pub(super) fn tell_permit(&mut self, leader: usize) {
        let group = &self.groups[self.leaders[leader].group];
        let leaving = self.services.get(&group.data_centre).is_some_and(|service| service.out);
        let permitted = group.permitted && self.leaders[leader].adopted;
        self.deliver(leader, Input::StartsPermitted { permitted, leaving });
    }

    /// Hands an input to a leader's scheduler and carries out what it wants.
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
                self.checker.note(now_ms, Property::Invariant, detail);
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
        let delay_ms = self.network_ms();
        self.queue.after(delay_ms, SimEvent::Order { worker, leader, order });
    }

    /// Checks a start against the permit, and writes what readers of the transcript want to know.
    fn record_order(&mut self, leader: usize, output: &Output) {
        let now_ms = self.now_ms();
        match output {
            Output::Start { gang, .. } if !self.leaders[leader].permitted => {
                let detail = format!("the scheduler starts {gang} without a permit");
                self.checker.note(now_ms, Property::NoStartAfterOut, detail);
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
        if self.leaders[leader].noted.insert((gang.clone(), what)) {
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
                self.meter.fragmentation(fragmentation);
                self.checker.check_partial(now_ms, self.partial_limit_ms());
                if now_ms % SCAN_MS < MAX_TICK_INTERVAL_MS {
                    self.scan_queued(leader);
                }
            }
        }
        self.schedule_tick(leader);
    }

    /// A gang may run partially for one lease, and for the time of an orderly stop.
    fn partial_limit_ms(&self) -> u64 {
        let policy = self.bundle.as_ref().map(|bundle| &bundle.policy);
        let stop_ms = policy.map_or(0, |p| p.reclaim_checkpoint_ms + p.reclaim_stop_ms);
        LOST_MS + stop_ms + 1_000
    }

    pub(super) fn crash(&mut self, group: usize) {
        let leader = self.groups[group].leader;
        self.leaders[leader].status = Status::Dead;
        self.refresh_contacts(group);
        self.queue.after(TAKEOVER_MS, SimEvent::Takeover { group, from: leader });
    }

    pub(super) fn pause(&mut self, group: usize, for_ms: u64) {
        let leader = self.groups[group].leader;
        if !self.leaders[leader].is_live() {
            return;
        }
        self.leaders[leader].status = Status::Paused;
        self.refresh_contacts(group);
        self.queue.after(for_ms, SimEvent::Resume { leader });
        if for_ms >= TAKEOVER_MS {
            self.queue.after(TAKEOVER_MS, SimEvent::Takeover { group, from: leader });
        }
    }

    /// A paused leader handles its backlog before it notices that another one took over; its orders carry the old
    /// epoch, so agents and table refuse them.
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
            self.deliver_waiting(group);
        } else {
            self.leaders[leader].status = Status::Dead;
            self.log(format!("leader  {} superseded", self.groups[group].id));
        }
    }

    /// Makes another agent the leader, unless the old one still leads.
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
        self.checker.restart_partial(self.queue.now_ms(), is_of_leader);
        self.scan_open(leader);
        let wait_ms = self.ask_members(group, leader);
        self.queue.after(wait_ms, SimEvent::Adopted { leader });
    }

    /// Lets work start after every member has answered or its leases have ended.
    pub(super) fn adopted(&mut self, leader: usize) {
        let group = self.leaders[leader].group;
        self.leaders[leader].adopted = true;
        self.tell_permit(leader);
        self.deliver_waiting(group);
    }

    /// Hands the cancellations that wait for a leader to the leader, if it runs.
    pub(super) fn deliver_waiting(&mut self, group: usize) {
        let leader = self.groups[group].leader;
        if !self.leaders[leader].is_live() || self.groups[group].waiting.is_empty() {
            return;
        }
        let jobs = std::mem::take(&mut self.groups[group].waiting);
        self.deliver(leader, Input::Cancel { jobs });
    }
}
