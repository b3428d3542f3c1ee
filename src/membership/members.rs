//! Liveness of the members of a group, as tracked by its leader.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::gangs::GangParts;
use super::{JoinedMember, MembersConfig, MembersInput, MembersOutput};
use crate::permit::{extend_for_drift, shorten_for_drift};
use crate::prelude::*;
use crate::scheduler::{RunningShare, WorkerSpec};
use crate::wire::LeaderMessage;

/// Number of heartbeat intervals without a heartbeat after which a member is suspected.
const SUSPECT_INTERVALS: u64 = 3;

/// Members of a group in one epoch of its leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Members {
    config: MembersConfig,
    epoch: Epoch,
    members: BTreeMap<WorkerId, Member>,
    gangs: GangParts,
    /// Start of the epoch in ms while the joins of the members are collected; `None` afterwards.
    recovering_since_ms: Option<u64>,
    permit_until_ms: u64,
    trusted: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Member {
    worker: WorkerSpec,
    incarnation: Incarnation,
    state: MemberState,
    /// Time in ms of the last heartbeat or join.
    #[serde(rename = "heard_ms")]
    last_contact_ms: u64,
    /// Sequence number of the last heartbeat, and time in ms at which it arrived.
    sequence: u64,
    sequence_ms: u64,
    /// Parts that arrived of a join that is not complete yet.
    joining: Option<Joining>,
    /// Shares reported by the member's join, while a new leader still collects the joins of other members.
    running: Vec<RunningShare>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum MemberState {
    /// Parts of its join are missing.
    Joining,
    /// The member joined, and its lease has not lapsed.
    Up,
    /// The scheduler no longer uses the member; its tasks end, at the latest when its lease lapses.
    Fenced,
    /// The lease of the member lapsed, but it is not declared lost yet because most of the group is silent.
    Lapsed,
    /// The member was declared lost, and must join again under a new incarnation.
    Lost,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Joining {
    incarnation: Incarnation,
    parts: u16,
    received: BTreeMap<u16, Vec<RunningShare>>,
}

impl Members {
    /// Begins an epoch. Unless it is the group's first, the joins of all members are collected before gangs may start.
    pub fn new(config: MembersConfig, epoch: Epoch, now_ms: u64, first: bool) -> Self {
        Self {
            config,
            epoch,
            members: BTreeMap::new(),
            gangs: GangParts::default(),
            recovering_since_ms: (!first).then_some(now_ms),
            permit_until_ms: 0,
            trusted: true,
        }
    }

    /// Handles one input; `now_ms` is the time of the process's own monotonic clock.
    pub fn handle(&mut self, now_ms: u64, input: &MembersInput) -> Vec<MembersOutput> {
        let mut outputs = Vec::new();
        match input {
            MembersInput::Heartbeat { worker, incarnation, epoch, sequence } => {
                match epoch.cmp(&self.epoch) {
                    Ordering::Greater => outputs.push(MembersOutput::Deposed { epoch: *epoch }),
                    Ordering::Equal => {
                        self.record_heartbeat(
                            now_ms,
                            worker,
                            *incarnation,
                            *sequence,
                            &mut outputs,
                        );
                    }
                    Ordering::Less => {}
                }
            }
            MembersInput::Join { part, parts, worker, incarnation, epoch, running } => {
                if *epoch == self.epoch {
                    let reported = self.record_part(worker, *incarnation, *part, *parts, running);
                    self.join(now_ms, worker, *incarnation, reported, &mut outputs);
                }
            }
            MembersInput::Permit { remaining_ms } => {
                self.permit_until_ms = now_ms + shorten_for_drift(*remaining_ms);
            }
            MembersInput::Trusted { trusted } => self.trusted = *trusted,
            MembersInput::GangAssigned { gang, worker } => self.gangs.add(gang, worker),
            MembersInput::PartEnded { gang, worker } => self.gangs.remove_part(gang, worker),
            MembersInput::GangEnded { gang } => self.gangs.remove(gang),
            MembersInput::Fence { worker } => self.fence(worker, &mut outputs),
            MembersInput::Tick => self.tick(now_ms, &mut outputs),
        }
        outputs
    }

    /// Returns whether a new leader still collects the joins of its members; no gang may start until that is complete.
    pub fn is_recovering(&self) -> bool {
        self.recovering_since_ms.is_some()
    }

    /// Returns whether starts are permitted.
    pub fn permits_starts(&self, now_ms: u64) -> bool {
        self.trusted && !self.is_recovering() && now_ms < self.permit_until_ms
    }

    /// Returns the incarnation of a member that is not lost.
    pub fn incarnation(&self, worker: &WorkerId) -> Option<Incarnation> {
        let member = self.members.get(worker)?;
        (member.is_live() || member.state == MemberState::Fenced).then_some(member.incarnation)
    }

    /// Returns the number of live members.
    pub fn live_count(&self) -> usize {
        self.members.values().filter(|member| member.is_live()).count()
    }

    /// Sets the heartbeat sequence and the start permit in a start message that is about to be sent to a member.
    pub fn fill_start_permit(&self, now_ms: u64, worker: &WorkerId, message: &mut LeaderMessage) {
        let LeaderMessage::Start { sequence, permit_ms, .. } = message else { return };
        let Some(member) = self.members.get(worker) else { return };
        *sequence = member.sequence;
        // The member counts the permit from when it sent the heartbeat, which is earlier than its arrival here.
        let age_ms = shorten_for_drift(now_ms.saturating_sub(member.sequence_ms));
        *permit_ms = match self.permit_left_ms(now_ms) {
            0 => 0,
            left_ms => clamp_u32(left_ms + age_ms),
        };
    }

    /// Returns the time in ms for which starts are still permitted; 0 if they are not.
    pub fn permit_left_ms(&self, now_ms: u64) -> u64 {
        if self.permits_starts(now_ms) { self.permit_until_ms - now_ms } else { 0 }
    }

    fn record_heartbeat(
        &mut self,
        now_ms: u64,
        id: &WorkerId,
        incarnation: Incarnation,
        sequence: u64,
        outputs: &mut Vec<MembersOutput>,
    ) {
        let may_renew_leases = self.may_renew_leases(now_ms);
        let Some(member) = self.members.get_mut(id) else { return };
        if member.incarnation != incarnation {
            return;
        }
        match member.state {
            MemberState::Joining => return,
            MemberState::Up => {}
            // Its leases lapsed, so none of its tasks may continue. It must end them and join under a new incarnation.
            MemberState::Lapsed | MemberState::Lost | MemberState::Fenced => {
                return self.fence(id, outputs);
            }
        }
        if sequence <= member.sequence {
            return;
        }
        member.last_contact_ms = now_ms;
        member.sequence = sequence;
        member.sequence_ms = now_ms;
        if may_renew_leases {
            let message = self.heartbeat_ack(now_ms, id, sequence);
            outputs.push(MembersOutput::Send { worker: id.clone(), incarnation, message });
        }
    }

    fn heartbeat_ack(&self, now_ms: u64, worker: &WorkerId, sequence: u64) -> LeaderMessage {
        // Once one part of a gang is on a suspected member, the leases of its other parts are not renewed. They lapse
        // at most three intervals later than that part, whatever fails in the meantime. If the member recovers before
        // that, renewal resumes and nothing is lost.
        let may_lapse = |other: &WorkerId| {
            self.members.get(other).is_none_or(|m| !m.is_up() || self.is_suspect(now_ms, m))
        };
        LeaderMessage::HeartbeatAck {
            sequence,
            lease_ms: clamp_u32(self.config.gang_lease_ms),
            permit_ms: clamp_u32(self.permit_left_ms(now_ms)),
            withheld: self.gangs.withheld(worker, may_lapse),
        }
    }

    /// Returns whether gang leases may be renewed.
    ///
    /// A leader whose own lease may have lapsed renews them only while more than half of the group's members still
    /// follow its epoch: a successor that more than half have joined assumes that the leases of the rest lapse.
    fn may_renew_leases(&self, now_ms: u64) -> bool {
        let following = self.members.values().filter(|m| m.is_up() && !self.is_suspect(now_ms, m));
        self.trusted || following.count() * 2 > self.group_size()
    }

    fn group_size(&self) -> usize {
        (self.config.group_workers as usize).max(self.members.len())
    }

    fn is_suspect(&self, now_ms: u64, member: &Member) -> bool {
        now_ms >= member.last_contact_ms + SUSPECT_INTERVALS * self.config.heartbeat_ms
    }

    /// Records a part of a join, and returns the shares that run on the worker once all parts have arrived.
    fn record_part(
        &mut self,
        worker: &WorkerSpec,
        incarnation: Incarnation,
        part: u16,
        parts: u16,
        running: &[RunningShare],
    ) -> Option<Vec<RunningShare>> {
        let member = self.members.entry(worker.id.clone()).or_insert_with(|| Member {
            worker: worker.clone(),
            incarnation,
            state: MemberState::Joining,
            last_contact_ms: 0,
            sequence: 0,
            sequence_ms: 0,
            joining: None,
            running: Vec::new(),
        });
        let fits = |joining: &Joining| joining.incarnation == incarnation && joining.parts == parts;
        let mut joining = member.joining.take().filter(fits).unwrap_or_else(|| Joining {
            incarnation,
            parts,
            received: BTreeMap::new(),
        });
        joining.received.insert(part, running.to_vec());
        if joining.received.len() < usize::from(parts) {
            member.joining = Some(joining);
            return None;
        }
        Some(joining.received.into_values().flatten().collect())
    }

    /// Admits or fences a member whose join is complete; does nothing while `running` is `None`.
    fn join(
        &mut self,
        now_ms: u64,
        worker: &WorkerSpec,
        incarnation: Incarnation,
        running: Option<Vec<RunningShare>>,
        outputs: &mut Vec<MembersOutput>,
    ) {
        let Some(running) = running else { return };
        let Some(member) = self.members.get_mut(&worker.id) else { return };
        let send =
            |message| MembersOutput::Send { worker: worker.id.clone(), incarnation, message };
        if incarnation < member.incarnation {
            return;
        }
        if incarnation == member.incarnation {
            match member.state {
                MemberState::Joining => {}
                MemberState::Up => return outputs.push(send(LeaderMessage::Joined)),
                MemberState::Lapsed | MemberState::Lost | MemberState::Fenced => {
                    return outputs.push(send(LeaderMessage::Fence));
                }
            }
        }
        let was_counted = !matches!(member.state, MemberState::Joining | MemberState::Lost);
        let is_late = self.recovering_since_ms.is_none() && !running.is_empty();
        member.worker = worker.clone();
        member.incarnation = incarnation;
        member.last_contact_ms = now_ms;
        member.sequence = 0;
        member.state = if is_late { MemberState::Lost } else { MemberState::Up };
        if was_counted {
            self.end_other_parts(&worker.id, outputs);
            self.record_lost(&worker.id, outputs);
        }
        if is_late {
            // Its gangs were given up when the bound on its lease had passed.
            return outputs.push(send(LeaderMessage::Fence));
        }
        outputs.push(send(LeaderMessage::Joined));
        self.admit(now_ms, JoinedMember { worker: worker.clone(), running }, outputs);
    }

    fn admit(&mut self, now_ms: u64, member: JoinedMember, outputs: &mut Vec<MembersOutput>) {
        if self.recovering_since_ms.is_none() {
            return outputs.push(MembersOutput::Up { member });
        }
        for share in &member.running {
            self.gangs.add_reported(&member.worker.id, share);
        }
        if let Some(entry) = self.members.get_mut(&member.worker.id) {
            entry.running = member.running;
        }
        self.finish_recovery_if_complete(now_ms, outputs);
    }

    /// Ends the recovery once all members have joined, or the leases of those that have not have lapsed.
    ///
    /// A leader that less than half of its group has joined waits a second lease, because it is probably cut off
    /// itself.
    fn finish_recovery_if_complete(&mut self, now_ms: u64, outputs: &mut Vec<MembersOutput>) {
        let Some(since_ms) = self.recovering_since_ms else { return };
        let live = self.live_count();
        let lease_ms = extend_for_drift(self.config.gang_lease_ms);
        let wait_ms = match live {
            live if live >= self.config.group_workers as usize => 0,
            live if live * 2 >= self.config.group_workers as usize => lease_ms,
            _ => 2 * lease_ms,
        };
        if now_ms < since_ms + wait_ms {
            return;
        }
        self.recovering_since_ms = None;
        self.gangs.mark_incomplete_gangs();
        let mut members = Vec::new();
        for member in self.members.values_mut().filter(|member| member.is_up()) {
            let running = std::mem::take(&mut member.running);
            members.push(JoinedMember { worker: member.worker.clone(), running });
        }
        outputs.push(MembersOutput::Recovered { members });
    }

    /// Sends a member the order to end all its tasks. The member is lost when it joins again or its lease has lapsed.
    fn fence(&mut self, id: &WorkerId, outputs: &mut Vec<MembersOutput>) {
        let Some(member) = self.members.get_mut(id) else { return };
        let state = std::mem::replace(&mut member.state, MemberState::Lost);
        let incarnation = member.incarnation;
        let message = LeaderMessage::Fence;
        outputs.push(MembersOutput::Send { worker: id.clone(), incarnation, message });
        match state {
            MemberState::Up | MemberState::Fenced => member.state = MemberState::Fenced,
            MemberState::Lapsed => self.record_lost(id, outputs),
            MemberState::Joining | MemberState::Lost => {}
        }
    }

    fn tick(&mut self, now_ms: u64, outputs: &mut Vec<MembersOutput>) {
        self.finish_recovery_if_complete(now_ms, outputs);
        let lease_ms = extend_for_drift(self.config.gang_lease_ms);
        let silent = |member: &Member, wait_ms| now_ms >= member.last_contact_ms + wait_ms;
        let live = self.members.values().filter(|member| member.is_live()).count();
        let suspects =
            self.members.values().filter(|m| m.is_live() && self.is_suspect(now_ms, m)).count();
        // If most of the group is silent at once, probably this leader is cut off; it waits a second lease.
        let wait_ms = if suspects * 2 > live { 2 * lease_ms } else { lease_ms };
        let ids: Vec<WorkerId> = self.members.keys().cloned().collect();
        for id in ids {
            let Some(member) = self.members.get_mut(&id) else { continue };
            let has_lapsed = silent(member, lease_ms);
            let is_lost = match member.state {
                MemberState::Up | MemberState::Lapsed => silent(member, wait_ms),
                MemberState::Fenced => has_lapsed,
                MemberState::Joining | MemberState::Lost => false,
            };
            if member.is_up() && has_lapsed {
                member.state = MemberState::Lapsed;
                self.end_other_parts(&id, outputs);
            }
            if is_lost {
                self.record_lost(&id, outputs);
            }
        }
    }

    /// Ends the other parts of the gangs of a member whose lease lapsed, so that no gang runs partially.
    fn end_other_parts(&mut self, id: &WorkerId, outputs: &mut Vec<MembersOutput>) {
        let lapsed: BTreeSet<(GangId, WorkerId)> = self.gangs.other_parts(id).into_iter().collect();
        let ends = lapsed.into_iter().map(|(gang, worker)| MembersOutput::EndGang { gang, worker });
        outputs.extend(ends);
    }

    fn record_lost(&mut self, id: &WorkerId, outputs: &mut Vec<MembersOutput>) {
        self.gangs.remove_worker(id);
        if let Some(member) = self.members.get_mut(id) {
            member.state = match member.state {
                MemberState::Lapsed | MemberState::Fenced => MemberState::Lost,
                state => state,
            };
        }
        if self.recovering_since_ms.is_none() {
            outputs.push(MembersOutput::Lost { worker: id.clone() });
        }
    }
}

impl Member {
    fn is_up(&self) -> bool {
        self.state == MemberState::Up
    }

    fn is_live(&self) -> bool {
        matches!(self.state, MemberState::Up | MemberState::Lapsed)
    }
}

fn clamp_u32(duration_ms: u64) -> u32 {
    u32::try_from(duration_ms).unwrap_or(u32::MAX)
}
