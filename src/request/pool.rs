//! The connected endpoints, and the choice of an endpoint for an attempt.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use super::message::{ConnectionId, RouterLimits};
use crate::prelude::*;
use crate::wire::{DataCentreState, EndpointSpec, NotRunReason};

/// One attempt, in the unit of [`Endpoint::window`].
const WINDOW_UNIT: u64 = 1_000;
/// The time for which an endpoint gets no attempts after it refused one because its data centre is out of service, in
/// milliseconds. Within this time this entry should receive the new state of the data centre itself.
const DATA_CENTRE_OUT_PAUSE_MS: u64 = 250;
/// The maximum number of doublings of [`RouterLimits::eject_ms`].
const MAX_EJECT_DOUBLINGS: u32 = 3;
/// The weight of a consecutive failure in [`Endpoint::load`], in outstanding attempts.
const FAILURE_WEIGHT: u64 = 2;

/// A connected endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Endpoint {
    spec: EndpointSpec,
    /// Attempts of this entry that may still be running.
    outstanding: u32,
    /// The maximum number of outstanding attempts of this entry, in thousandths. Other entries use the same slots, so
    /// the window shrinks when the endpoint refuses an attempt as full, and grows with each success.
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
        endpoint.window = endpoint.slots() * WINDOW_UNIT;
        endpoint
    }

    fn slots(&self) -> u64 {
        u64::from(self.spec.slots.min(self.spec.connections))
    }

    fn has_room(&self, now_ms: u64) -> bool {
        let limit = self.window.min(self.slots() * WINDOW_UNIT);
        !self.draining
            && now_ms >= self.ejected_until_ms
            && now_ms >= self.paused_until_ms
            && u64::from(self.outstanding) * WINDOW_UNIT + WINDOW_UNIT <= limit
    }

    fn supports_kind(&self, kind: &KindId) -> bool {
        self.spec.kinds.is_empty() || self.spec.kinds.contains(kind)
    }

    /// Returns outstanding attempts and weighted failures per slot, in thousandths.
    fn load(&self) -> u64 {
        let work = u64::from(self.outstanding) + u64::from(self.failures) * FAILURE_WEIGHT;
        work * WINDOW_UNIT / self.slots().max(1)
    }
}

/// State of a connected endpoint as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointView {
    /// The endpoint.
    pub id: EndpointId,
    /// The connection of the endpoint's agent.
    pub connection: ConnectionId,
    /// The incarnation of the endpoint's agent.
    pub incarnation: Incarnation,
    /// The data centre of the endpoint.
    pub data_centre: DataCentreId,
    /// The number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Attempts of this entry that may still be running on the endpoint.
    pub in_use: u32,
    /// Whether the endpoint is draining, i.e. accepts no new attempts.
    pub draining: bool,
}

/// All connected endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Pool {
    endpoints: BTreeMap<ConnectionId, Endpoint>,
    #[serde(rename = "out")]
    data_centres_out: BTreeSet<DataCentreId>,
}

impl Pool {
    /// Adds or updates an endpoint, and returns the other connections of the same endpoint, which this one replaces.
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
                endpoint.window = endpoint.slots() * WINDOW_UNIT;
            }
            None => {
                self.endpoints.insert(connection, Endpoint::new(spec));
            }
        }
        older
    }

    /// Returns the state of all connected endpoints.
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

    pub(super) fn set_data_centre_state(
        &mut self,
        data_centre: DataCentreId,
        state: DataCentreState,
    ) {
        match state {
            DataCentreState::In => self.data_centres_out.remove(&data_centre),
            DataCentreState::Out => self.data_centres_out.insert(data_centre),
        };
    }

    pub(super) fn drain(&mut self, connection: ConnectionId) {
        if let Some(endpoint) = self.endpoints.get_mut(&connection) {
            endpoint.draining = true;
        }
    }

    /// Returns the less loaded of two random endpoints that have room for an attempt of this kind, or `None` if no
    /// endpoint has room. Excludes the connection `avoid` if another one is eligible.
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
        let mut eligible: Vec<(ConnectionId, u64)> = self.eligible(kind, now_ms).collect();
        if eligible.len() > 1 {
            eligible.retain(|(id, _)| Some(*id) != avoid);
        }
        let first = eligible.get(random.random_range(0..eligible.len().max(1)))?;
        let second = eligible.get(random.random_range(0..eligible.len()))?;
        Some(if second.1 < first.1 { second.0 } else { first.0 })
    }

    fn eligible<'a>(
        &'a self,
        kind: &'a KindId,
        now_ms: u64,
    ) -> impl Iterator<Item = (ConnectionId, u64)> + 'a {
        let eligible = self.endpoints.iter().filter(move |(_, endpoint)| {
            endpoint.has_room(now_ms)
                && endpoint.supports_kind(kind)
                && !self.data_centres_out.contains(&endpoint.spec.data_centre)
        });
        eligible.map(|(id, endpoint)| (*id, endpoint.load()))
    }

    /// Acquires a slot, and returns the sequence number of the attempt on its connection.
    pub(super) fn acquire_slot(&mut self, connection: ConnectionId) -> Option<u64> {
        let endpoint = self.endpoints.get_mut(&connection)?;
        let sequence = endpoint.next_sequence;
        endpoint.next_sequence += 1;
        endpoint.outstanding += 1;
        Some(sequence)
    }

    /// Releases the slot of an attempt that ended.
    pub(super) fn release_slot(&mut self, connection: ConnectionId) {
        if let Some(endpoint) = self.endpoints.get_mut(&connection) {
            endpoint.outstanding = endpoint.outstanding.saturating_sub(1);
        }
    }

    /// Records a complete answer: resets the failures and enlarges the window.
    pub(super) fn record_success(&mut self, connection: ConnectionId) {
        if let Some(endpoint) = self.endpoints.get_mut(&connection) {
            endpoint.failures = 0;
            endpoint.ejections = 0;
            let increase =
                (WINDOW_UNIT * WINDOW_UNIT / endpoint.window.max(WINDOW_UNIT)).max(WINDOW_UNIT / 8);
            endpoint.window = (endpoint.window + increase).min(endpoint.slots() * WINDOW_UNIT);
        }
    }

    /// Records why an endpoint refused an attempt. Its slot must be released first, since the window shrinks to the
    /// attempts that are still outstanding.
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
            NotRunReason::Full => endpoint.shrink_window(now_ms, limits),
            NotRunReason::DataCentreOut => {
                endpoint.paused_until_ms = now_ms + DATA_CENTRE_OUT_PAUSE_MS
            }
            NotRunReason::EndpointGone => self.record_failure(connection, now_ms, limits),
            NotRunReason::DeadlinePassed | NotRunReason::Cancelled => {}
        }
    }

    /// Records a failure, and ejects the endpoint after [`RouterLimits::eject_failures`] consecutive ones.
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

    /// Returns whether one more endpoint may be ejected within [`RouterLimits::eject_max_percent`].
    fn may_eject(&self, now_ms: u64, limits: &RouterLimits) -> bool {
        let ejected = self.endpoints.values().filter(|e| now_ms < e.ejected_until_ms).count();
        (ejected + 1) * 100 <= self.endpoints.len() * limits.eject_max_percent as usize
    }
}

impl Endpoint {
    /// Shrinks the window to the outstanding attempts after a refusal as full. If there are none, shrinks it to one and
    /// pauses the endpoint.
    fn shrink_window(&mut self, now_ms: u64, limits: &RouterLimits) {
        self.window = u64::from(self.outstanding.max(1)) * WINDOW_UNIT;
        if self.outstanding == 0 {
            self.paused_until_ms = now_ms + limits.full_pause_ms;
        }
    }

    /// Ejects the endpoint. Afterwards it gets one attempt at a time until one succeeds.
    fn eject(&mut self, now_ms: u64, limits: &RouterLimits) {
        let doublings = self.ejections.min(MAX_EJECT_DOUBLINGS);
        self.ejected_until_ms = now_ms + (limits.eject_ms << doublings);
        self.ejections += 1;
        self.failures = 0;
        self.window = WINDOW_UNIT;
    }
}
