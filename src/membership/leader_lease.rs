//! Lease by which the agents of a capacity group elect one of them as its leader. Coordinators are elected in
//! [`crate::election`].
//!
//! Clocks of two machines are never compared. The holder relies on its lease for the duration of the lease less 1 %,
//! counted from when it sent the renewal. A candidate waits for the duration plus 1 %, counted from when it first
//! received the row that has not changed since. The margins cover clock drift.

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::rendezvous::CandidateRank;
use super::{
    EpochRow, LeaseConfig, LeaseInput, LeaseOutput, LeaseRow, VersionedRow, epoch_key, lease_key,
};
use crate::permit::{extend_for_drift, shorten_for_drift};
use crate::prelude::*;
use crate::store::{Commit, Condition, OperationId, RowVersion, Write};

/// Renewals in one lease. A failed renewal is retried several times before the lease expires; 172 groups with leases of
/// 5 s make 69 writes per second.
const RENEWALS_PER_LEASE: u64 = 2;
/// Reads of the lease row by a watching candidate in one lease.
const READS_PER_LEASE: u64 = 4;
/// Delay in ms before the next call after a failed read or commit, or a stale answer.
const CALL_RETRY_DELAY_MS: u64 = 250;

/// Candidate for, or holder of, the lease of a group's leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaderLease {
    config: LeaseConfig,
    role: Role,
    /// Lease row as last read or written.
    lease: VersionedRow<LeaseRow>,
    epoch: VersionedRow<EpochRow>,
    /// Time in ms at which the last message of the group's leader arrived.
    #[serde(rename = "heard_ms")]
    last_contact_ms: Option<u64>,
    /// Time in ms at which the next call to the table is due.
    next_ms: u64,
    call: Option<Call>,
}

/// Unanswered call to the table. There is never more than one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "call")]
enum Call {
    Read,
    Claim { sent_ms: u64 },
    Renew { sent_ms: u64 },
    Release,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "role")]
enum Role {
    /// Another process leads, or no process does.
    Candidate {
        /// Time in ms since which all reads succeeded and returned the lease row unchanged.
        since_ms: Option<u64>,
        /// First claim that was sent for an epoch, while its outcome is unknown.
        claim: Option<Claim>,
    },
    /// This process leads.
    Holder { trusted_until_ms: u64 },
    /// The process shuts down; it waits for the answer to a pending call, and releases the lease.
    Leaving,
    /// The process no longer takes part in the election.
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Claim {
    epoch: Epoch,
    sent_ms: u64,
}

impl LeaderLease {
    /// Creates a candidate.
    pub fn new(config: LeaseConfig) -> Self {
        Self {
            config,
            role: Role::Candidate { since_ms: None, claim: None },
            lease: VersionedRow::absent(),
            epoch: VersionedRow::absent(),
            last_contact_ms: None,
            next_ms: 0,
            call: None,
        }
    }

    /// Handles one input; `now_ms` is the time of the process's own monotonic clock.
    pub fn handle<R>(&mut self, now_ms: u64, input: &LeaseInput, random: &mut R) -> Vec<LeaseOutput>
    where
        R: Rng,
    {
        let mut outputs = Vec::new();
        match input {
            LeaseInput::Read { lease, epoch } => {
                self.call = None;
                self.apply_read(now_ms, lease, epoch, &mut outputs);
            }
            LeaseInput::ReadFailed => self.record_failed_read(now_ms),
            LeaseInput::Durable => self.record_durable(now_ms, random, &mut outputs),
            LeaseInput::NotDurable => self.record_not_durable(now_ms, &mut outputs),
            LeaseInput::LeaderMessageReceived => self.last_contact_ms = Some(now_ms),
            LeaseInput::Shutdown => self.shut_down(random, &mut outputs),
            LeaseInput::Tick => {}
        }
        self.send_due_call(now_ms, random, &mut outputs);
        outputs
    }

    /// Returns the epoch in which this process leads if its lease is guaranteed to hold at `now_ms`.
    ///
    /// The leader checks this before each action.
    pub fn epoch_if_leading(&self, now_ms: u64) -> Option<Epoch> {
        match self.role {
            Role::Holder { trusted_until_ms } if now_ms < trusted_until_ms => {
                self.epoch_if_holder()
            }
            _ => None,
        }
    }

    /// Returns the time in ms until which the lease is guaranteed to hold; 0 if this process does not lead.
    pub fn trusted_until_ms(&self) -> u64 {
        match self.role {
            Role::Holder { trusted_until_ms } => trusted_until_ms,
            _ => 0,
        }
    }

    /// Returns the epoch in which this process leads, even if its lease may have lapsed.
    pub fn epoch_if_holder(&self) -> Option<Epoch> {
        let is_holder = matches!(self.role, Role::Holder { .. });
        self.epoch.row.as_ref().filter(|_| is_holder).map(|row| row.epoch)
    }

    /// Returns the epoch and the address of the leader according to the last lease row; `None` if the lease was
    /// released.
    pub fn known_leader(&self) -> Option<(Epoch, std::net::SocketAddr)> {
        let row = self.lease.row.as_ref()?;
        (!row.released).then_some((row.epoch, row.address))
    }

    fn is_own_row(&self, row: Option<&LeaseRow>) -> bool {
        row.is_some_and(|row| {
            row.holder == self.config.holder
                && row.incarnation == self.config.incarnation
                && !row.released
        })
    }

    /// Applies the rows that were read to the role of this process.
    fn apply_read(
        &mut self,
        now_ms: u64,
        lease: &VersionedRow<LeaseRow>,
        epoch: &VersionedRow<EpochRow>,
        outputs: &mut Vec<LeaseOutput>,
    ) {
        // The answer is stale: versions of a row only increase.
        if lease.version < self.lease.version || epoch.version < self.epoch.version {
            self.next_ms = now_ms + CALL_RETRY_DELAY_MS;
            return;
        }
        let changed = lease.version != self.lease.version;
        self.lease = lease.clone();
        self.epoch = epoch.clone();
        let is_own_row = self.is_own_row(lease.row.as_ref());
        match self.role {
            Role::Holder { .. } if is_own_row => self.next_ms = now_ms,
            Role::Holder { .. } => {
                self.role = Role::Candidate { since_ms: Some(now_ms), claim: None };
                outputs.push(LeaseOutput::Resign);
            }
            Role::Candidate { claim: Some(claim), .. }
                if is_own_row && epoch.row.as_ref().is_some_and(|row| row.epoch == claim.epoch) =>
            {
                self.become_leader(claim.sent_ms, outputs);
            }
            Role::Candidate { since_ms, claim } => {
                let since_ms = if changed { None } else { since_ms };
                let since_ms = Some(since_ms.unwrap_or(now_ms));
                self.role = Role::Candidate { since_ms, claim };
                self.next_ms = now_ms + self.read_delay_ms(now_ms);
            }
            Role::Leaving | Role::Done => {}
        }
    }

    /// Becomes leader after the table confirmed a claim that was sent at `sent_ms`.
    fn become_leader(&mut self, sent_ms: u64, outputs: &mut Vec<LeaseOutput>) {
        self.extend_lease(sent_ms);
        let Some(row) = &self.epoch.row else { return };
        outputs.push(LeaseOutput::Lead {
            epoch: row.epoch,
            epoch_version: self.epoch.version,
            first: row.epoch == Epoch::default().next(),
        });
    }

    /// Restarts the observation of the lease row after a failed read.
    ///
    /// While the table is unavailable the holder cannot renew either, and it gets a whole lease to do so afterwards.
    fn record_failed_read(&mut self, now_ms: u64) {
        self.call = None;
        self.next_ms = now_ms + CALL_RETRY_DELAY_MS;
        if let Role::Candidate { since_ms, .. } = &mut self.role {
            *since_ms = None;
        }
    }

    fn record_durable<R>(&mut self, now_ms: u64, random: &mut R, outputs: &mut Vec<LeaseOutput>)
    where
        R: Rng,
    {
        let call = self.call.take();
        match call {
            Some(Call::Claim { .. }) => {
                self.epoch.row = Some(self.own_epoch_row(self.next_epoch()));
                self.epoch.version = RowVersion(self.epoch.version.0 + 1);
                self.record_lease_row(0);
            }
            Some(Call::Renew { .. }) => {
                let renewal = self.lease.row.as_ref().map_or(0, |row| row.renewal);
                self.record_lease_row(renewal + 1);
            }
            Some(Call::Release) => return self.finish(outputs),
            Some(Call::Read) | None => self.next_ms = now_ms,
        }
        match (call, self.role) {
            (_, Role::Leaving) => self.release(random, outputs),
            (Some(Call::Claim { .. }), Role::Candidate { claim: Some(claim), .. }) => {
                self.become_leader(claim.sent_ms, outputs);
            }
            (Some(Call::Renew { sent_ms }), Role::Holder { .. }) => self.extend_lease(sent_ms),
            _ => {}
        }
    }

    /// Records the lease row that this process wrote.
    fn record_lease_row(&mut self, renewal: u64) {
        self.lease.version = RowVersion(self.lease.version.0 + 1);
        self.lease.row = Some(self.own_lease_row(renewal));
    }

    /// Sets the end of the lease that was granted by a commit sent at `sent_ms`, and the time of the next renewal.
    fn extend_lease(&mut self, sent_ms: u64) {
        let trusted_until_ms = sent_ms + shorten_for_drift(self.config.lease_ms);
        self.role = Role::Holder { trusted_until_ms };
        self.next_ms = sent_ms + self.config.lease_ms / RENEWALS_PER_LEASE;
    }

    /// Handles a commit that failed or whose outcome is unknown: the next read returns which rows the table holds.
    fn record_not_durable(&mut self, now_ms: u64, outputs: &mut Vec<LeaseOutput>) {
        self.call = None;
        if matches!(self.role, Role::Leaving | Role::Done) {
            return self.finish(outputs);
        }
        self.next_ms = now_ms + CALL_RETRY_DELAY_MS;
        if let Role::Candidate { since_ms, .. } = &mut self.role {
            *since_ms = None;
        }
        if matches!(self.role, Role::Holder { .. }) {
            // Forces a read before the next commit.
            self.lease.row = None;
        }
    }

    fn finish(&mut self, outputs: &mut Vec<LeaseOutput>) {
        self.role = Role::Done;
        outputs.push(LeaseOutput::Done);
    }

    fn shut_down<R>(&mut self, random: &mut R, outputs: &mut Vec<LeaseOutput>)
    where
        R: Rng,
    {
        if matches!(self.role, Role::Leaving | Role::Done) {
            return;
        }
        let is_holder = matches!(self.role, Role::Holder { .. });
        if is_holder {
            outputs.push(LeaseOutput::Resign);
        }
        match self.call {
            Some(Call::Claim { .. } | Call::Renew { .. }) => self.role = Role::Leaving,
            _ if is_holder && self.lease.row.is_some() => self.release(random, outputs),
            _ => self.finish(outputs),
        }
    }

    fn release<R>(&mut self, random: &mut R, outputs: &mut Vec<LeaseOutput>)
    where
        R: Rng,
    {
        let renewal = self.lease.row.as_ref().map_or(0, |row| row.renewal);
        let row = LeaseRow { released: true, ..self.own_lease_row(renewal + 1) };
        self.role = Role::Leaving;
        self.call = Some(Call::Release);
        outputs.push(self.commit(&row, None, random));
    }

    /// Sends the next call to the table if it is due and no call is pending.
    fn send_due_call<R>(&mut self, now_ms: u64, random: &mut R, outputs: &mut Vec<LeaseOutput>)
    where
        R: Rng,
    {
        if self.call.is_some() || now_ms < self.next_ms {
            return;
        }
        match self.role {
            Role::Holder { .. } if self.lease.row.is_none() => self.read(outputs),
            Role::Holder { .. } => {
                let renewal = self.lease.row.as_ref().map_or(0, |row| row.renewal);
                let row = self.own_lease_row(renewal + 1);
                self.call = Some(Call::Renew { sent_ms: now_ms });
                outputs.push(self.commit(&row, None, random));
            }
            Role::Candidate { claim, .. } if !self.is_watching(now_ms) => {
                self.role = Role::Candidate { since_ms: None, claim };
                self.next_ms = now_ms + CALL_RETRY_DELAY_MS;
            }
            Role::Candidate { since_ms: Some(since_ms), claim }
                if now_ms >= self.earliest_claim_ms(since_ms) =>
            {
                self.claim(now_ms, since_ms, claim, random, outputs);
            }
            Role::Candidate { .. } => self.read(outputs),
            Role::Leaving | Role::Done => {}
        }
    }

    fn read(&mut self, outputs: &mut Vec<LeaseOutput>) {
        self.call = Some(Call::Read);
        outputs.push(LeaseOutput::Read);
    }

    fn claim<R>(
        &mut self,
        now_ms: u64,
        since_ms: u64,
        claim: Option<Claim>,
        random: &mut R,
        outputs: &mut Vec<LeaseOutput>,
    ) where
        R: Rng,
    {
        let epoch = self.next_epoch();
        // An earlier claim of the same epoch may still take effect, so the lease counts from the first claim.
        let first = claim.filter(|claim| claim.epoch == epoch);
        let claim = first.unwrap_or(Claim { epoch, sent_ms: now_ms });
        self.role = Role::Candidate { since_ms: Some(since_ms), claim: Some(claim) };
        self.call = Some(Call::Claim { sent_ms: now_ms });
        let lease_row = LeaseRow { epoch, ..self.own_lease_row(0) };
        let epoch_row = self.own_epoch_row(epoch);
        outputs.push(self.commit(&lease_row, Some(&epoch_row), random));
    }

    /// Returns the earliest time in ms at which a lease row that has not changed since `since_ms` may be claimed.
    fn earliest_claim_ms(&self, since_ms: u64) -> u64 {
        let wait_ms = match &self.lease.row {
            Some(row) if !row.released => extend_for_drift(self.config.lease_ms),
            _ => 0,
        };
        since_ms + wait_ms + self.rank().delay_ms()
    }

    fn read_delay_ms(&self, now_ms: u64) -> u64 {
        let interval_ms = self.config.lease_ms / READS_PER_LEASE;
        match self.role {
            Role::Candidate { since_ms: Some(since_ms), .. } => {
                // The last interval before the claim is shortened so that it ends at the time of the claim.
                self.earliest_claim_ms(since_ms).saturating_sub(now_ms).clamp(1, interval_ms)
            }
            _ => interval_ms,
        }
    }

    fn is_watching(&self, now_ms: u64) -> bool {
        let is_silent = self
            .last_contact_ms
            .is_none_or(|last_contact_ms| now_ms >= last_contact_ms + self.config.lease_ms / 2);
        is_silent || self.rank().is_permanent_watcher()
    }

    fn rank(&self) -> CandidateRank {
        let config = &self.config;
        CandidateRank::new(&config.group, self.next_epoch(), &config.holder, config.group_workers)
    }

    fn next_epoch(&self) -> Epoch {
        self.epoch.row.as_ref().map_or_else(Epoch::default, |row| row.epoch).next()
    }

    fn own_lease_row(&self, renewal: u64) -> LeaseRow {
        LeaseRow {
            holder: self.config.holder.clone(),
            incarnation: self.config.incarnation,
            epoch: self.epoch.row.as_ref().map_or_else(Epoch::default, |row| row.epoch),
            renewal,
            address: self.config.address,
            released: false,
        }
    }

    fn own_epoch_row(&self, epoch: Epoch) -> EpochRow {
        let LeaseConfig { holder, incarnation, .. } = &self.config;
        EpochRow { epoch, holder: holder.clone(), incarnation: *incarnation }
    }

    /// Returns a commit of the lease row, and at takeover of the epoch row. It is conditional on both rows, so it fails
    /// after any takeover by another process.
    fn commit<R>(&self, lease: &LeaseRow, epoch: Option<&EpochRow>, random: &mut R) -> LeaseOutput
    where
        R: Rng,
    {
        let lease_key = lease_key(&self.config.group);
        let epoch_key = epoch_key(&self.config.group);
        let mut writes = vec![Write { key: lease_key.clone(), value: to_value(lease) }];
        writes.extend(epoch.map(|row| Write { key: epoch_key.clone(), value: to_value(row) }));
        let conditions = vec![
            Condition { key: lease_key, version: self.lease.version },
            Condition { key: epoch_key, version: self.epoch.version },
        ];
        let operation = OperationId::random(random);
        LeaseOutput::Commit { commit: Commit { operation, conditions, writes } }
    }
}

fn to_value<T>(row: &T) -> serde_json::Value
where
    T: Serialize,
{
    serde_json::to_value(row).expect("rows have string keys and no failing serializer")
}
