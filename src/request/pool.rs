//! The endpoints that announced themselves, and the choice among them.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use super::message::{ConnectionId, RouterLimits};
use crate::prelude::*;
use crate::wire::{DataCentreState, EndpointSpec, NotRunReason};

/// One request, in the unit of [`Endpoint::window`].
const ONE: u64 = 1_000;
/// How long an endpoint gets nothing after it refused for a reason that this entry will soon hear of itself.
const REFUSED_PAUSE_MS: u64 = 250;
/// The most doublings of the time for which an endpoint is ejected.
const MAX_EJECT_DOUBLINGS: u32 = 3;
/// How much one recent failure counts in the choice, in outstanding requests.
const FAILURE_WEIGHT: u64 = 2;

/// An endpoint behind a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Endpoint {
    spec: EndpointSpec,
    /// Attempts of this entry that may still run.
    outstanding: u32,
    /// The attempts that this entry may have outstanding, in thousandths. Other entries use the same slots, so it
    /// falls when the endpoint refuses as full, and rises with each success.
    window: u64,
    /// Consecutive failures.
    failures: u32,
    /// Consecutive ejections.
    ejections: u32,
    ejected_until_ms: u64,
    paused_until_ms: u64,
    draining: bool,
    next_sequence: u64,
}

impl Endpoint {
    fn new(spec: EndpointSpec) -> Self {
        let mut endpoint = Self {
            spec,
            outstanding: 0,
            window: 0,
            failures: 0,
            ejections: 0,
            ejected_until_ms: 0,
            paused_until_ms: 0,
            draining: false,
            next_sequence: 1,
        };
        endpoint.window = endpoint.slots() * ONE;
        endpoint
    }

    fn slots(&self) -> u64 {
        u64::from(self.spec.slots.min(self.spec.connections))
    }

    fn has_room(&self, now_ms: u64) -> bool {
        let limit = self.window.min(self.slots() * ONE);
        !self.draining
            && now_ms >= self.ejected_until_ms
            && now_ms >= self.paused_until_ms
            && u64::from(self.outstanding) * ONE + ONE <= limit
    }

    fn answers(&self, kind: &KindId) -> bool {
        self.spec.kinds.is_empty() || self.spec.kinds.contains(kind)
    }

    /// Outstanding work and recent failures in relation to the slots; lower is better.
    fn load(&self) -> u64 {
        let work = u64::from(self.outstanding) + u64::from(self.failures) * FAILURE_WEIGHT;
        work * ONE / self.slots().max(1)
    }
}

/// What operators may see of a connected endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointView {
    /// The endpoint.
    pub id: EndpointId,
    /// Its agent's connection.
    pub connection: ConnectionId,
    /// The incarnation of its agent.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Attempts of this entry that may still run there.
    pub in_use: u32,
    /// Whether it takes no new work.
    pub draining: bool,
}

/// All connected endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Pool {
    endpoints: BTreeMap<ConnectionId, Endpoint>,
    out: BTreeSet<DataCentreId>,
}

impl Pool {
    /// Adds or updates an endpoint, and returns older connections of the same endpoint.
    pub(super) fn announce(
        &mut self,
        connection: ConnectionId,
        spec: EndpointSpec,
    ) -> Vec<ConnectionId> {
        let others = self.endpoints.iter().filter(|(_, e)| e.spec.id == spec.id);
        let older = others.map(|(id, _)| *id).filter(|id| *id != connection).collect();
        match self.endpoints.get_mut(&connection) {
            Some(endpoint) => {
                endpoint.spec = spec;
                endpoint.draining = false;
                endpoint.window = endpoint.slots() * ONE;
            }
            None => {
                self.endpoints.insert(connection, Endpoint::new(spec));
            }
        }
        older
    }

    /// Describes all connected endpoints.
    pub(super) fn list(&self) -> Vec<EndpointView> {
        let view = |(connection, endpoint): (&ConnectionId, &Endpoint)| EndpointView {
            id: endpoint.spec.id.clone(),
            connection: *connection,
            incarnation: endpoint.spec.incarnation,
            data_centre: endpoint.spec.data_centre.clone(),
            slots: endpoint.spec.slots,
            in_use: endpoint.outstanding,
            draining: endpoint.draining,
        };
        self.endpoints.iter().map(view).collect()
    }

    pub(super) fn len(&self) -> usize {
        self.endpoints.len()
    }

    pub(super) fn remove(&mut self, connection: ConnectionId) {
        self.endpoints.remove(&connection);
    }

    pub(super) fn set_service(&mut self, data_centre: DataCentreId, state: DataCentreState) {
        match state {
            DataCentreState::In => self.out.remove(&data_centre),
            DataCentreState::Out => self.out.insert(data_centre),
        };
    }

    pub(super) fn drain(&mut self, connection: ConnectionId) {
        if let Some(endpoint) = self.endpoints.get_mut(&connection) {
            endpoint.draining = true;
        }
    }

    /// Chooses the better of two random endpoints that have room; avoids one if there is another.
    pub(super) fn choose<R>(
        &self,
        kind: &KindId,
        avoid: Option<ConnectionId>,
        now_ms: u64,
        random: &mut R,
    ) -> Option<ConnectionId>
    where
        R: Rng,
    {
        let mut able: Vec<(ConnectionId, u64)> = self.able(kind, now_ms).collect();
        if able.len() > 1 {
            able.retain(|(id, _)| Some(*id) != avoid);
        }
        let first = able.get(random.random_range(0..able.len().max(1)))?;
        let second = able.get(random.random_range(0..able.len()))?;
        Some(if second.1 < first.1 { second.0 } else { first.0 })
    }

    fn able<'a>(
        &'a self,
        kind: &'a KindId,
        now_ms: u64,
    ) -> impl Iterator<Item = (ConnectionId, u64)> + 'a {
        let able = self.endpoints.iter().filter(move |(_, endpoint)| {
            endpoint.has_room(now_ms)
                && endpoint.answers(kind)
                && !self.out.contains(&endpoint.spec.data_centre)
        });
        able.map(|(id, endpoint)| (*id, endpoint.load()))
    }

    /// Takes a slot, and returns the sequence number of the attempt on its connection.
    pub(super) fn take(&mut self, connection: ConnectionId) -> Option<u64> {
        let endpoint = self.endpoints.get_mut(&connection)?;
        let sequence = endpoint.next_sequence;
        endpoint.next_sequence += 1;
        endpoint.outstanding += 1;
        Some(sequence)
    }

    /// Frees the slot of an attempt that came to its end.
    pub(super) fn free(&mut self, connection: ConnectionId) {
        if let Some(endpoint) = self.endpoints.get_mut(&connection) {
            endpoint.outstanding = endpoint.outstanding.saturating_sub(1);
        }
    }

    /// Notes a whole answer.
    pub(super) fn record_success(&mut self, connection: ConnectionId) {
        if let Some(endpoint) = self.endpoints.get_mut(&connection) {
            endpoint.failures = 0;
            endpoint.ejections = 0;
            let rise = (ONE * ONE / endpoint.window.max(ONE)).max(ONE / 8);
            endpoint.window = (endpoint.window + rise).min(endpoint.slots() * ONE);
        }
    }

    /// Notes why an endpoint refused an attempt whose slot is free again.
    pub(super) fn record_refusal(
        &mut self,
        connection: ConnectionId,
        reason: NotRunReason,
        now_ms: u64,
        limits: &RouterLimits,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&connection) else { return };
        match reason {
            NotRunReason::Draining => endpoint.draining = true,
            NotRunReason::Full => endpoint.narrow(now_ms, limits),
            NotRunReason::DataCentreOut => endpoint.paused_until_ms = now_ms + REFUSED_PAUSE_MS,
            NotRunReason::EndpointGone => self.record_failure(connection, now_ms, limits),
            NotRunReason::DeadlinePassed | NotRunReason::Cancelled => {}
        }
    }

    /// Notes a failure, and ejects the endpoint after several in a row.
    pub(super) fn record_failure(
        &mut self,
        connection: ConnectionId,
        now_ms: u64,
        limits: &RouterLimits,
    ) {
        let may_eject = self.may_eject(now_ms, limits);
        let Some(endpoint) = self.endpoints.get_mut(&connection) else { return };
        endpoint.failures += 1;
        if may_eject && endpoint.failures >= limits.eject_failures {
            endpoint.eject(now_ms, limits);
        }
    }

    /// Returns whether one more endpoint may be ejected.
    fn may_eject(&self, now_ms: u64, limits: &RouterLimits) -> bool {
        let ejected = self.endpoints.values().filter(|e| now_ms < e.ejected_until_ms).count();
        (ejected + 1) * 100 <= self.endpoints.len() * limits.eject_max_percent as usize
    }
}

impl Endpoint {
    fn narrow(&mut self, now_ms: u64, limits: &RouterLimits) {
        self.window = u64::from(self.outstanding.max(1)) * ONE;
        if self.outstanding == 0 {
            self.paused_until_ms = now_ms + limits.full_pause_ms;
        }
    }

    /// Ejects the endpoint; afterwards it gets one request at a time until it succeeds.
    fn eject(&mut self, now_ms: u64, limits: &RouterLimits) {
        let doublings = self.ejections.min(MAX_EJECT_DOUBLINGS);
        self.ejected_until_ms = now_ms + (limits.eject_ms << doublings);
        self.ejections += 1;
        self.failures = 0;
        self.window = ONE;
    }
}
