//! The actor that keeps the active bundle and the states of data centres, and sends them to the connected agents.

use std::collections::HashMap;
use std::sync::Arc;

use serde_json::json;
use tokio::sync::watch;
use xtra::prelude::*;

use crate::bundle::{ActiveBundle, Bundle, OfferResult, VerifiedBundle};
use crate::entry::listener::ConfigEvent;
use crate::permit::{DataCentreStatus, DataCentreView, ObserveResult};
use crate::prelude::*;
use crate::process::{Metrics, MonotonicClock};
use crate::registration::{EntryLiveness, EntryRow};
use crate::request::ConnectionId;
use crate::store::RowVersion;
use crate::wire::{DataCentreState, EntryMessage, LinkSender};

/// Keeps the active bundle, the states of data centres, and the connections of the agents that receive them.
#[derive(xtra::Actor)]
pub struct Configuration {
    active_bundle: ActiveBundle,
    /// The active bundle and its signatures as JSON, as sent to agents.
    signed: String,
    view: DataCentreView,
    liveness: EntryLiveness,
    agents: HashMap<ConnectionId, ConnectedAgent>,
    clock: MonotonicClock,
    metrics: Metrics,
    bundle: watch::Sender<Option<Bundle>>,
    statuses: watch::Sender<Vec<DataCentreStatus>>,
}

/// A connected agent.
struct ConnectedAgent {
    data_centre: Option<DataCentreId>,
    sender: LinkSender<EntryMessage>,
    /// Version of the bundle that was last queued on the connection.
    sent_bundle: BundleVersion,
    /// Row version of the data centre's state that was last queued on the connection.
    sent_state_version: Option<RowVersion>,
    /// Versions of the bundle and of the data centre's state that the agent confirmed.
    applied: Option<(BundleVersion, u64)>,
}

/// A bundle was read and verified.
pub(super) struct OfferBundle(pub(super) VerifiedBundle);

/// The states of data centres were read.
pub(super) struct DataCentresRead {
    pub(super) sent_at_ms: u64,
    pub(super) states: Vec<(DataCentreId, RowVersion, DataCentreState)>,
}

/// Holds starts in a data centre, since a write of its row has an unknown result.
pub(super) struct HoldStarts {
    pub(super) data_centre: DataCentreId,
    pub(super) condition: RowVersion,
}

/// Returns the configuration that this entry has applied, which is written to its row.
pub(super) struct GetApplied;

/// The rows of entries were read. Returns those that count as registered.
pub(super) struct EntriesRead(pub(super) Vec<EntryRow>);

/// Returns the active bundle.
pub(super) struct GetActiveBundle;

/// Returns the states of data centres.
pub(super) struct GetStatuses;

/// Returns the state of the actor for a dump.
pub struct Dump;

/// The configuration that an entry has applied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Applied {
    pub(super) bundle: BundleVersion,
    pub(super) withdrawn: std::collections::BTreeMap<DataCentreId, u64>,
}

impl Configuration {
    /// Creates the actor without an active bundle or states of data centres.
    pub fn new(
        clock: MonotonicClock,
        metrics: &Metrics,
        bundle: watch::Sender<Option<Bundle>>,
        statuses: watch::Sender<Vec<DataCentreStatus>>,
    ) -> Self {
        Self {
            active_bundle: ActiveBundle::default(),
            signed: String::new(),
            view: DataCentreView::default(),
            liveness: EntryLiveness::default(),
            agents: HashMap::new(),
            clock,
            metrics: metrics.clone(),
            bundle,
            statuses,
        }
    }

    /// Sends every agent the configuration that it has not been sent yet. A full queue is tried again at the next poll.
    fn push_all(&mut self) {
        let connections: Vec<ConnectionId> = self.agents.keys().copied().collect();
        for connection in connections {
            self.push(connection);
        }
    }

    fn push(&mut self, connection: ConnectionId) {
        let version = self.active_bundle.version();
        let Some(agent) = self.agents.get_mut(&connection) else { return };
        if agent.sent_bundle < version {
            let message = EntryMessage::Config { version, signed: self.signed.clone() };
            if agent.sender.try_send(message).is_ok() {
                agent.sent_bundle = version;
            }
        }
        let state = agent.data_centre.as_ref().and_then(|id| self.view.state(id));
        let Some((state, version)) = state else { return };
        if agent.sent_state_version.is_none_or(|sent| sent < version) {
            // A push carries no start permit, since the term of a permit is counted from a question of the agent.
            let message = EntryMessage::DataCentreState { state, version: version.0, permit_ms: 0 };
            if agent.sender.try_send(message).is_ok() {
                agent.sent_state_version = Some(version);
            }
        }
    }

    fn answer_permit(
        &mut self,
        connection: ConnectionId,
        data_centre: DataCentreId,
        sequence: u64,
    ) {
        let version = self.view.state(&data_centre).map_or(0, |(_, version)| version.0);
        let Some(agent) = self.agents.get_mut(&connection) else { return };
        let permit_ms = self.view.grant_permit(self.clock.now_ms(), &data_centre);
        let message = EntryMessage::Permit { sequence, version, permit_ms };
        // The only effect of a lost answer is that the start permit expires.
        if agent.sender.try_send(message).is_err() {
            self.metrics.count("configuration", "permit_not_sent");
        }
        agent.data_centre = Some(data_centre);
        self.push(connection);
    }

    fn publish_statuses(&self) {
        self.statuses.send_replace(self.view.statuses(self.clock.now_ms()));
    }
}

impl Handler<ConfigEvent> for Configuration {
    type Return = ();

    async fn handle(&mut self, event: ConfigEvent, _: &mut Context<Self>) {
        match event {
            ConfigEvent::Connected { connection, data_centre, sender } => {
                let agent = ConnectedAgent {
                    data_centre,
                    sender,
                    sent_bundle: BundleVersion(0),
                    sent_state_version: None,
                    applied: None,
                };
                self.agents.insert(connection, agent);
                self.push(connection);
            }
            ConfigEvent::AskPermit { connection, data_centre, sequence } => {
                self.answer_permit(connection, data_centre, sequence);
            }
            ConfigEvent::Applied { connection, bundle, service_version } => {
                if let Some(agent) = self.agents.get_mut(&connection) {
                    agent.applied = Some((bundle, service_version));
                }
            }
            ConfigEvent::Disconnected { connection } => {
                self.agents.remove(&connection);
            }
        }
    }
}

impl Handler<OfferBundle> for Configuration {
    type Return = OfferResult;

    async fn handle(&mut self, offer: OfferBundle, _: &mut Context<Self>) -> OfferResult {
        let result = self.active_bundle.apply_if_newer(offer.0);
        if result != OfferResult::Applied {
            return result;
        }
        let Some(bundle) = self.active_bundle.bundle() else { return result };
        self.signed = serde_json::to_string(bundle.signed()).unwrap_or_default();
        self.bundle.send_replace(Some(bundle.bundle().clone()));
        let version = bundle.version().0;
        self.metrics.set("configuration", "bundle", i64::try_from(version).unwrap_or(i64::MAX));
        log::info!(version = version, digest = bundle.digest().to_string(); "bundle is active");
        self.push_all();
        result
    }
}

impl Handler<DataCentresRead> for Configuration {
    type Return = ();

    async fn handle(&mut self, read: DataCentresRead, _: &mut Context<Self>) {
        let mut changed = false;
        // A data centre without a row was never taken out of service, so its state is `In`.
        let in_bundle =
            self.active_bundle.bundle().map(|bundle| bundle.bundle().data_centres.clone());
        let without_row = in_bundle
            .into_iter()
            .flatten()
            .map(|data_centre| data_centre.id)
            .filter(|id| !read.states.iter().any(|(read_id, _, _)| read_id == id));
        let default_states = without_row.map(|id| (id, RowVersion::ABSENT, DataCentreState::In));
        let states: Vec<_> = default_states.chain(read.states.iter().cloned()).collect();
        for (id, version, state) in states {
            let observed = self.view.observe(&id, version, state, read.sent_at_ms);
            changed |= observed == ObserveResult::New;
        }
        if changed {
            self.publish_statuses();
        }
        self.push_all();
    }
}

impl Handler<HoldStarts> for Configuration {
    type Return = ();

    async fn handle(&mut self, hold: HoldStarts, _: &mut Context<Self>) {
        self.view.hold(&hold.data_centre, hold.condition);
    }
}

impl Handler<GetApplied> for Configuration {
    type Return = Applied;

    async fn handle(&mut self, _: GetApplied, _: &mut Context<Self>) -> Applied {
        let withdrawn = self.view.withdrawn(self.clock.now_ms());
        Applied { bundle: self.active_bundle.version(), withdrawn }
    }
}

impl Handler<EntriesRead> for Configuration {
    type Return = Vec<EntryRow>;

    async fn handle(&mut self, read: EntriesRead, _: &mut Context<Self>) -> Vec<EntryRow> {
        self.liveness.live_entries(self.clock.now_ms(), read.0)
    }
}

impl Handler<GetActiveBundle> for Configuration {
    type Return = Option<Arc<VerifiedBundle>>;

    async fn handle(&mut self, _: GetActiveBundle, _: &mut Context<Self>) -> Self::Return {
        self.active_bundle.bundle().cloned()
    }
}

impl Handler<GetStatuses> for Configuration {
    type Return = Vec<DataCentreStatus>;

    async fn handle(&mut self, _: GetStatuses, _: &mut Context<Self>) -> Vec<DataCentreStatus> {
        self.view.statuses(self.clock.now_ms())
    }
}

impl Handler<Dump> for Configuration {
    type Return = serde_json::Value;

    async fn handle(&mut self, _: Dump, _: &mut Context<Self>) -> serde_json::Value {
        let agents = self.agents.iter().map(|(id, agent)| {
            let (bundle, service) = agent.applied.unwrap_or_default();
            json!({"connection": id, "data_centre": agent.data_centre, "bundle": bundle, "service": service})
        });
        json!({
            "bundle": self.active_bundle.version(),
            "digest": self.active_bundle.bundle().map(|bundle| bundle.digest()),
            "data_centres": self.view,
            "entries": self.liveness,
            "agents": agents.collect::<Vec<_>>(),
        })
    }
}
