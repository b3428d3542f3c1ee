//! Leader leases and leaders: their inputs, and the execution of their outputs.

use super::*;

impl World {
    pub(super) fn find_leader(&mut self, node: usize) {
        if self.table.is_down() {
            return;
        }
        let row = self.table.store.read_row(&lease_key(&group()));
        let row = row.and_then(|row| serde_json::from_value::<LeaseRow>(row.value).ok());
        let leader = row.map(|row| (row.epoch, usize::from(row.address.port())));
        let delay_ms = self.random.random_range(5..50);
        self.push(node, delay_ms, Event::Found { leader });
    }

    pub(super) fn record_leader(&mut self, node: usize, epoch: Epoch, leader: usize) {
        if self.nodes[node].leader_node.is_none_or(|(current, _)| epoch > current) {
            self.nodes[node].leader_node = Some((epoch, leader));
        }
        self.apply_agent(node, &worker::Input::EpochReported { epoch });
    }

    pub(super) fn apply_lease(&mut self, node: usize, input: &LeaseInput) {
        let local_ms = self.local_ms(node);
        for output in self.nodes[node].lease.handle(local_ms, input, &mut self.random) {
            let delay_ms = self.random.random_range(1..30);
            match output {
                LeaseOutput::Read => {
                    let input = self.read_lease();
                    self.push(node, delay_ms, Event::Lease { input });
                }
                LeaseOutput::Commit { commit } => {
                    use teaselhall::store::Table;
                    let input = match block_on(self.table.commit(&commit)) {
                        Ok(_) => LeaseInput::Durable,
                        Err(_) => LeaseInput::NotDurable,
                    };
                    self.push(node, delay_ms, Event::Lease { input });
                }
                LeaseOutput::Lead { epoch, epoch_version, first } => {
                    self.record(format!("n{node} leads in epoch {epoch}"));
                    let epoch_context = EpochContext { group: group(), epoch_version };
                    let leader =
                        Leader::new(leader_config(self.nodes.len()), epoch, local_ms, first);
                    self.nodes[node].leader = Some((leader, epoch_context));
                    self.nodes[node].trusted = true;
                    let rules = Box::new(rules());
                    self.apply_leader(node, &leader::Input::Rules { rules });
                    self.record_leader(node, epoch, node);
                }
                LeaseOutput::Resign => {
                    self.record(format!("n{node} resigns"));
                    self.nodes[node].leader = None;
                }
                LeaseOutput::Done => {}
            }
        }
        let leader = self.nodes[node].lease.known_leader();
        if let Some((epoch, address)) = leader
            && epoch > self.nodes[node].agent.epoch()
        {
            self.record_leader(node, epoch, usize::from(address.port()));
        }
    }

    pub(super) fn read_lease(&self) -> LeaseInput {
        if self.table.is_down() {
            return LeaseInput::ReadFailed;
        }
        LeaseInput::Read {
            lease: self.read_row(&lease_key(&group())),
            epoch: self.read_row(&epoch_key(&group())),
        }
    }

    pub(super) fn read_row<T>(&self, key: &str) -> VersionedRow<T>
    where
        T: serde::de::DeserializeOwned,
    {
        match self.table.store.read_row(key) {
            None => VersionedRow::absent(),
            Some(row) => {
                VersionedRow { version: row.version, row: serde_json::from_value(row.value).ok() }
            }
        }
    }

    pub(super) fn apply_leader(&mut self, node: usize, input: &leader::Input) {
        let local_ms = self.local_ms(node);
        let trusted = self.nodes[node].lease.epoch_if_leading(local_ms).is_some();
        let Node { leader, trusted: was_trusted, .. } = &mut self.nodes[node];
        let Some((leader, epoch_context)) = leader else { return };
        let mut outputs = Vec::new();
        if std::mem::replace(was_trusted, trusted) != trusted {
            let input = leader::Input::Trusted { trusted };
            outputs.extend(leader.handle(local_ms, &input, &mut self.random));
        }
        outputs.extend(leader.handle(local_ms, input, &mut self.random));
        let (epoch, epoch_context) = (leader.epoch(), epoch_context.clone());
        for output in outputs {
            self.apply_leader_output(node, epoch, &epoch_context, output);
        }
    }

    pub(super) fn apply_leader_output(
        &mut self,
        node: usize,
        epoch: Epoch,
        epoch_context: &EpochContext,
        output: leader::Output,
    ) {
        let delay_ms = self.random.random_range(1..30);
        let input = match output {
            leader::Output::Send { worker, incarnation, message } => {
                self.record_leader_message(node, &worker, &message);
                let to = self.nodes.iter().position(|n| n.id == worker).unwrap();
                let event = Event::ToMember { epoch, incarnation, message };
                return self.transmit(node, to, event);
            }
            leader::Output::Scan if !self.table.is_down() => self.scan(),
            leader::Output::ReadJobs { jobs } if !self.table.is_down() => {
                leader::Input::Jobs { rows: jobs.iter().map(|job| self.job(job)).collect() }
            }
            leader::Output::Change { job, change } => {
                let writer = Writer::new(self.table.clone());
                let limit = Duration::ZERO;
                let random = &mut self.random;
                let pending_change =
                    change_job(&writer, epoch_context, &job, &change, limit, random);
                let result = block_on(pending_change);
                self.record(format!("n{node} {job} {change:?}: {result:?}"));
                leader::Input::Changed { job, result }
            }
            leader::Output::Deposed => {
                self.nodes[node].leader = None;
                return;
            }
            _ => return,
        };
        self.push(node, delay_ms, Event::Leader { epoch, input });
    }

    pub(super) fn scan(&self) -> leader::Input {
        let prefix = group_job_prefix(&group());
        let rows = self.table.store.scan_rows(&prefix);
        let entry = |row: &teaselhall::store::Row| IndexEntry {
            job: row.key.strip_prefix(&prefix).unwrap().into(),
            cancel_requested: false,
        };
        leader::Input::Index { entries: rows.iter().map(entry).collect() }
    }
}
