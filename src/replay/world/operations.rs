//! Actions of callers and operators in a session, and the routing by the entry.

use super::*;
use crate::bundle::WorkerShape;
use crate::guarantee;
use crate::job::JobState;
use crate::replay::error::Error;
use crate::replay::session::Behaviour;
use crate::scheduler::WorkerSpec;

impl World {
    /// Applies the input of the session with this index.
    pub(super) fn apply_input(&mut self, index: usize) -> Result<()> {
        self.pending_inputs -= 1;
        match self.events[index].clone() {
            Event::User { user } => self.apply_bundle(user.bundle())?,
            Event::Bundle { bundle } => self.apply_bundle(*bundle)?,
            Event::Workers { data_centre, behaviour } => {
                self.add_workers(data_centre.as_ref(), &behaviour);
            }
            Event::Worker { worker, data_centre, rack, shape, behaviour } => {
                let group = self.group_of(&data_centre, &rack)?;
                let spec = WorkerSpec { id: worker, rack, shape };
                self.add_member(spec, data_centre, group, behaviour);
            }
            Event::Behaviour { worker, behaviour } => {
                self.log(format!("change  {worker} behaves differently"));
                self.member(&worker)?.agent.behaviour = behaviour;
            }
            Event::Submit { job, real, copies, group } => self.submit(&job, real, copies, group)?,
            Event::Cancel { jobs } => self.cancel(jobs),
            Event::Usage { job, cores_per_mille, memory_mb } => {
                self.usage(&job, cores_per_mille, memory_mb);
            }
            Event::WorkerFails { worker } => {
                self.member(&worker)?;
                self.log(format!("fail    {worker}"));
                self.worker_fails(&worker);
            }
            Event::WorkerReturns { worker } => {
                self.member(&worker)?;
                self.log(format!("return  {worker}"));
                self.worker_returns(&worker);
            }
            Event::WorkerSilent { worker, for_ms } => {
                self.member(&worker)?;
                self.log(format!("silent  {worker} for {for_ms} ms"));
                self.start_silence(&worker, for_ms);
            }
            Event::DataCentreOut { data_centre } => {
                self.request_data_centre_change(data_centre, true)?
            }
            Event::DataCentreIn { data_centre } => {
                self.request_data_centre_change(data_centre, false)?
            }
            Event::LeaderCrash { group } => {
                let index = self.find_group(&group)?;
                self.log(format!("leader  {group} crashes"));
                self.crash(index);
            }
            Event::LeaderPause { group, for_ms } => {
                let index = self.find_group(&group)?;
                self.log(format!("leader  {group} pauses for {for_ms} ms"));
                self.pause(index, for_ms);
            }
            Event::Table { mode } => self.set_table(mode),
            Event::End {} => self.session_ended = true,
        }
        Ok(())
    }

    fn apply_bundle(&mut self, bundle: Bundle) -> Result<()> {
        let at_ms = self.now_ms();
        let admission = guarantee::admit(&bundle)
            .map_err(|error| Error::Bundle { at_ms, reason: error.to_string() })?;
        self.log(format!("bundle  {}", bundle.version));
        self.bundle = Some(bundle.clone());
        for group in bundle.groups() {
            let Some(rules) = admission.group_rules(&group.id) else { continue };
            match self.group_index(&group.id) {
                Some(index) => {
                    self.groups[index].rules = rules.clone();
                    let leader = self.groups[index].leader;
                    self.deliver(leader, Input::Rules { rules: Box::new(rules) });
                }
                None => self.add_group(group.id, group.data_centre, rules),
            }
        }
        Ok(())
    }

    fn add_group(&mut self, id: GroupId, data_centre: DataCentreId, rules: GroupRules) {
        self.data_centre_states.entry(data_centre.clone()).or_default();
        let group = self.groups.len();
        self.groups.push(Group {
            id,
            data_centre,
            rules,
            leader: 0,
            epoch: Epoch(1),
            permitted: true,
            pending_cancellations: Vec::new(),
        });
        self.add_leader(group, Epoch(1), true);
    }

    fn add_workers(&mut self, only: Option<&DataCentreId>, behaviour: &Behaviour) {
        let Some(bundle) = self.bundle.clone() else { return };
        for data_centre in bundle.data_centres.iter().filter(|d| only.is_none_or(|o| o == &d.id)) {
            for rack in &data_centre.racks {
                let Some(group) = bundle.group_of(&data_centre.id, &rack.id) else { continue };
                let Some(group) = self.group_index(&group) else { continue };
                for number in 1..=rack.workers {
                    let id = WorkerId::from(format!("{}-w{number}", rack.id));
                    let shape: WorkerShape = data_centre.worker;
                    let spec = WorkerSpec { id, rack: rack.id.clone(), shape };
                    self.add_member(spec, data_centre.id.clone(), group, behaviour.clone());
                }
            }
        }
    }

    fn submit(
        &mut self,
        job: &JobSpec,
        actual: ActualOutcome,
        copies: u32,
        group: Option<GroupId>,
    ) -> Result<()> {
        if let Some(group) = &group {
            self.find_group(group)?;
        }
        for number in 1..=copies {
            let mut job = job.clone();
            if copies > 1 {
                job.id = format!("{}-{number}", job.id).into();
            }
            if self.rows.jobs.contains_key(&job.id) {
                return Err(Error::DuplicateJob { at_ms: self.now_ms(), job: job.id });
            }
            let delay_ms = self.network.random_range(2..=5);
            self.pending_submissions += 1;
            let accept = SimEvent::Accept { job: Box::new(job), actual, group: group.clone() };
            self.queue.after(delay_ms, accept);
        }
        Ok(())
    }

    /// Returns the group with the lowest demand per accelerator among those in service that can hold the job, or among
    /// all that can hold it if none of them is in service.
    pub(super) fn route(&self, job: &JobSpec) -> usize {
        let indices = 0..self.groups.len();
        let in_service = |index: &usize| !self.is_out(*index);
        let can_hold = |index: &usize| self.can_hold(*index, job);
        let best = indices
            .clone()
            .filter(in_service)
            .filter(can_hold)
            .min_by_key(|index| self.demand_per_mille(*index));
        let any = || indices.clone().filter(can_hold).min_by_key(|i| self.demand_per_mille(*i));
        best.or_else(any).unwrap_or(0)
    }

    /// Returns whether operators took the data centre of a group out of service.
    pub(super) fn is_out(&self, group: usize) -> bool {
        self.data_centre_states.get(&self.groups[group].data_centre).is_some_and(|state| state.out)
    }

    pub(super) fn can_hold(&self, group: usize, job: &JobSpec) -> bool {
        let workers = self.members.values().filter(|member| member.group == group);
        let mut racks: BTreeMap<&RackId, u32> = BTreeMap::new();
        let mut largest = 0;
        for member in workers {
            let accelerators = member.agent.spec.shape.accelerators;
            largest = largest.max(accelerators);
            *racks.entry(&member.agent.spec.rack).or_default() += accelerators;
        }
        let needed = job.accelerators();
        match job.adjacency {
            Adjacency::Worker => needed <= largest,
            Adjacency::Rack => racks.values().any(|rack| needed <= *rack),
            Adjacency::DataCentre => needed <= racks.values().sum(),
        }
    }

    /// Returns the accelerators that open jobs of a group request, in thousandths of the accelerators of the group.
    fn demand_per_mille(&self, group: usize) -> u32 {
        let open = self.open_jobs.iter().map(|job| &self.rows.jobs[job]);
        let demand: u32 = open.filter(|r| r.group == group).map(|r| r.spec.accelerators()).sum();
        let members = self.members.values().filter(|m| m.group == group && m.agent.alive);
        let accelerators: u32 = members.map(|m| m.agent.spec.shape.accelerators).sum();
        demand * 1_000 / accelerators.max(1)
    }

    /// Delivers cancellations from the entry to the leaders, one message per group.
    fn cancel(&mut self, jobs: Vec<JobId>) {
        self.log(format!("cancel  {}", abbreviated_list(&jobs)));
        for job in jobs {
            if let Some(row) = self.rows.jobs.get(&job) {
                self.groups[row.group].pending_cancellations.push(job);
            }
        }
        for group in 0..self.groups.len() {
            self.deliver_cancellations(group);
        }
    }

    fn usage(&mut self, job: &JobId, cores_per_mille: u32, memory_mb: u64) {
        let Some(row) = self.rows.jobs.get(job) else { return };
        let JobState::Running { attempt } = row.state else { return };
        let leader = self.groups[row.group].leader;
        let gang = GangId { job: job.clone(), number: attempt };
        self.deliver(leader, Input::Usage { gang, cores_per_mille, memory_mb });
    }

    fn request_data_centre_change(&mut self, data_centre: DataCentreId, out: bool) -> Result<()> {
        if !self.data_centre_states.contains_key(&data_centre) {
            return Err(self.unknown_id("data centre", data_centre.as_str()));
        }
        self.log(format!("service {data_centre} {}", if out { "out" } else { "in" }));
        let delay_ms = self.network_delay_ms();
        self.queue.after(delay_ms, SimEvent::DataCentreChange { data_centre, out });
        Ok(())
    }

    /// Changes the row of a data centre; while the table is down, the write is retried every 500 ms.
    pub(super) fn change_data_centre(&mut self, data_centre: DataCentreId, out: bool) {
        if self.table == TableMode::Down {
            return self.queue.after(500, SimEvent::DataCentreChange { data_centre, out });
        }
        let Some(state) = self.data_centre_states.get_mut(&data_centre) else { return };
        state.out = out;
        state.version += 1;
        let version = state.version;
        if out && !state.changing {
            state.changing = true;
            self.meter.active_changes += 1;
        }
        self.update_capacity();
        for group in 0..self.groups.len() {
            if self.groups[group].data_centre == data_centre {
                self.update_permit(group);
            }
        }
        if out {
            self.move_jobs();
            let wait_ms = self.withdrawal_ms(&data_centre);
            let acknowledged = SimEvent::OutAcknowledged { data_centre, version };
            self.queue.after(wait_ms, acknowledged);
        } else {
            self.checker.record_returned(&data_centre);
            let ramp_ms = self.bundle.as_ref().map_or(0, |b| b.policy.return_ramp_ms);
            self.queue.after(ramp_ms, SimEvent::ReturnCompleted { data_centre, version });
        }
    }

    /// Returns the time until no agent of a data centre holds a permit. Permits are withdrawn if all leaders are live
    /// and in contact with their members; otherwise they must expire.
    fn withdrawal_ms(&self, data_centre: &DataCentreId) -> u64 {
        let mut groups = self.groups.iter().filter(|group| &group.data_centre == data_centre);
        let live = groups.all(|group| self.leaders[group.leader].is_live());
        let mut members = self.members.values().filter(|m| &m.data_centre == data_centre);
        let in_contact = members.all(|member| member.contact_lost_ms.is_none());
        if live && in_contact {
            PERMIT_WITHDRAWAL_MS
        } else {
            PERMIT_EXPIRY_MS + PERMIT_WITHDRAWAL_MS
        }
    }

    pub(super) fn out_acknowledged(&mut self, data_centre: &DataCentreId, version: u64) {
        let now_ms = self.now_ms();
        if self.data_centre_states.get(data_centre).is_some_and(|s| s.out && s.version == version) {
            self.log(format!("service {data_centre} out, acknowledged"));
            self.checker.record_out_acknowledged(now_ms, data_centre);
        }
    }

    pub(super) fn return_completed(&mut self, data_centre: &DataCentreId, version: u64) {
        let Some(state) = self.data_centre_states.get_mut(data_centre) else { return };
        if state.version == version && state.changing {
            state.changing = false;
            self.meter.active_changes -= 1;
        }
    }

    fn set_table(&mut self, mode: TableMode) {
        self.log(format!("table   {}", serde_json::json!(mode).as_str().unwrap_or_default()));
        self.table = mode;
        self.table_down_ms = (mode == TableMode::Down).then(|| self.now_ms());
        let delay_ms =
            if mode == TableMode::Down { PERMIT_EXPIRY_MS } else { PERMIT_WITHDRAWAL_MS };
        for group in 0..self.groups.len() {
            self.queue.after(delay_ms, SimEvent::Permit { group });
        }
    }

    /// Recomputes whether starts are permitted in a group, and notifies its leader of a change.
    pub(super) fn update_permit(&mut self, group: usize) {
        let now_ms = self.now_ms();
        let out = self.is_out(group);
        let expired =
            self.table_down_ms.is_some_and(|down_ms| now_ms >= down_ms + PERMIT_EXPIRY_MS);
        let permitted = !out && !expired;
        if permitted != self.groups[group].permitted {
            self.groups[group].permitted = permitted;
            self.send_permit(self.groups[group].leader);
        }
    }

    fn member(&mut self, worker: &WorkerId) -> Result<&mut member::Member> {
        let error = self.unknown_id("worker", worker.as_str());
        self.members.get_mut(worker).ok_or(error)
    }

    fn find_group(&self, group: &GroupId) -> Result<usize> {
        self.group_index(group).ok_or_else(|| self.unknown_id("group", group.as_str()))
    }

    fn group_of(&self, data_centre: &DataCentreId, rack: &RackId) -> Result<usize> {
        let group = self.bundle.as_ref().and_then(|bundle| bundle.group_of(data_centre, rack));
        let index = group.and_then(|group| self.group_index(&group));
        index.ok_or_else(|| self.unknown_id("rack", rack.as_str()))
    }

    fn unknown_id(&self, what: &'static str, id: &str) -> Error {
        Error::NotKnown { at_ms: self.now_ms(), what, id: id.to_owned() }
    }
}

/// Formats the first few job ids and the number of the remaining ones.
fn abbreviated_list(jobs: &[JobId]) -> String {
    const SHOWN: usize = 4;
    let names: Vec<&str> = jobs.iter().take(SHOWN).map(JobId::as_str).collect();
    match jobs.len().saturating_sub(SHOWN) {
        0 => names.join(" "),
        more => format!("{} and {more} more", names.join(" ")),
    }
}
