//! The actor that keeps what is in force, and passes it on to the agents that are connected.

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

/// Keeps the bundle in force, the states of data centres, and the agents to tell.
#[derive(xtra::Actor)]
pub struct Configuration {
    active_bundle: ActiveBundle,
    /// The bundle in force as agents get it.
    signed: String,
    view: DataCentreView,
    liveness: EntryLiveness,
    peers: HashMap<ConnectionId, Peer>,
    clock: MonotonicClock,
    metrics: Metrics,
    bundle: watch::Sender<Option<Bundle>>,
    services: watch::Sender<Vec<DataCentreStatus>>,
}

/// An agent that is connected.
struct Peer {
    data_centre: Option<DataCentreId>,
    sender: LinkSender<EntryMessage>,
    /// What was last given to the connection.
    sent_bundle: BundleVersion,
    sent_service: Option<RowVersion>,
    /// What the agent confirmed.
    applied: Option<(BundleVersion, u64)>,
}

/// A bundle was read and verified.
pub(super) struct Offer(pub(super) VerifiedBundle);

/// The states of data centres were read.
pub(super) struct ServicesRead {
    pub(super) sent_at_ms: u64,
    pub(super) states: Vec<(DataCentreId, RowVersion, DataCentreState)>,
}

/// A write of a data centre's row has an unknown result.
pub(super) struct Hold {
    pub(super) data_centre: DataCentreId,
    pub(super) condition: RowVersion,
}

/// Asks for what this entry has applied, to be written to its row.
pub(super) struct Standing;

/// The rows of entries were read; returns those that count as registered.
pub(super) struct EntriesRead(pub(super) Vec<EntryRow>);

/// Asks for the bundle in force.
pub(super) struct Current;

/// Asks for the states of data centres.
pub(super) struct Statuses;

/// Asks for the state of the actor.
pub struct Dump;

/// What an entry has applied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Applied {
    pub(super) bundle: BundleVersion,
    pub(super) withdrawn: std::collections::BTreeMap<DataCentreId, u64>,
}

impl Configuration {
    /// Creates the actor with nothing in force.
    pub fn new(
        clock: MonotonicClock,
        metrics: &Metrics,
        bundle: watch::Sender<Option<Bundle>>,
        services: watch::Sender<Vec<DataCentreStatus>>,
    ) -> Self {
        Self {
            active_bundle: ActiveBundle::default(),
            signed: String::new(),
            view: DataCentreView::default(),
            liveness: EntryLiveness::default(),
            peers: HashMap::new(),
            clock,
            metrics: metrics.clone(),
            bundle,
            services,
        }
    }

    /// Gives every agent what it does not have yet. A full queue is tried again at the next poll.
    fn push_all(&mut self) {
        let connections: Vec<ConnectionId> = self.peers.keys().copied().collect();
        for connection in connections {
            self.push(connection);
        }
    }

    fn push(&mut self, connection: ConnectionId) {
        let version = self.active_bundle.version();
        let Some(peer) = self.peers.get_mut(&connection) else { return };
        if peer.sent_bundle < version {
            let message = EntryMessage::Config { version, signed: self.signed.clone() };
            if peer.sender.try_send(message).is_ok() {
                peer.sent_bundle = version;
            }
        }
        let state = peer.data_centre.as_ref().and_then(|id| self.view.state(id));
        let Some((state, version)) = state else { return };
        if peer.sent_service.is_none_or(|sent| sent < version) {
            // A push carries no permit, because no question of the agent dates it.
            let message = EntryMessage::Service { state, version: version.0, permit_ms: 0 };
            if peer.sender.try_send(message).is_ok() {
                peer.sent_service = Some(version);
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
        let Some(peer) = self.peers.get_mut(&connection) else { return };
        let permit_ms = self.view.grant_permit(self.clock.now_ms(), &data_centre);
        let message = EntryMessage::Permit { sequence, version, permit_ms };
        // A lost answer only lets the permit run out.
        if peer.sender.try_send(message).is_err() {
            self.metrics.count("configuration", "permit_not_sent");
        }
        peer.data_centre = Some(data_centre);
        self.push(connection);
    }

    fn publish_services(&self) {
        self.services.send_replace(self.view.statuses(self.clock.now_ms()));
    }
}

impl Handler<ConfigEvent> for Configuration {
    type Return = ();

    async fn handle(&mut self, event: ConfigEvent, _: &mut Context<Self>) {
        match event {
            ConfigEvent::Connected { connection, data_centre, sender } => {
                let peer = Peer {
                    data_centre,
                    sender,
                    sent_bundle: BundleVersion(0),
                    sent_service: None,
                    applied: None,
                };
                self.peers.insert(connection, peer);
                self.push(connection);
            }
            ConfigEvent::AskPermit { connection, data_centre, sequence } => {
                self.answer_permit(connection, data_centre, sequence);
            }
            ConfigEvent::Applied { connection, bundle, service_version } => {
                if let Some(peer) = self.peers.get_mut(&connection) {
                    peer.applied = Some((bundle, service_version));
                }
            }
            ConfigEvent::Disconnected { connection } => {
                self.peers.remove(&connection);
            }
        }
    }
}

impl Handler<Offer> for Configuration {
    type Return = OfferResult;

    async fn handle(&mut self, offer: Offer, _: &mut Context<Self>) -> OfferResult {
        let offered = self.active_bundle.apply_if_newer(offer.0);
        if offered != OfferResult::Applied {
            return offered;
        }
        let Some(bundle) = self.active_bundle.bundle() else { return offered };
        self.signed = serde_json::to_string(bundle.signed()).unwrap_or_default();
        self.bundle.send_replace(Some(bundle.bundle().clone()));
        let version = bundle.version().0;
        self.metrics.set("configuration", "bundle", i64::try_from(version).unwrap_or(i64::MAX));
        log::info!(version = version, digest = bundle.digest().to_string(); "bundle is in force");
        self.push_all();
        offered
    }
}

impl Handler<ServicesRead> for Configuration {
    type Return = ();

    async fn handle(&mut self, read: ServicesRead, _: &mut Context<Self>) {
        let mut changed = false;
        // A data centre without a row was never taken out.
        let in_bundle = self.active_bundle.bundle().map(|b| b.bundle().data_centres.clone());
        let without_row = in_bundle
            .into_iter()
            .flatten()
            .map(|d| d.id)
            .filter(|id| !read.states.iter().any(|(known, _, _)| known == id));
        let implied = without_row.map(|id| (id, RowVersion::ABSENT, DataCentreState::In));
        let states: Vec<_> = implied.chain(read.states.iter().cloned()).collect();
        for (id, version, state) in states {
            let observed = self.view.observe(&id, version, state, read.sent_at_ms);
            changed |= observed == ObserveResult::New;
        }
        if changed {
            self.publish_services();
        }
        self.push_all();
    }
}

impl Handler<Hold> for Configuration {
    type Return = ();

    async fn handle(&mut self, hold: Hold, _: &mut Context<Self>) {
        self.view.hold(&hold.data_centre, hold.condition);
    }
}

impl Handler<Standing> for Configuration {
    type Return = Applied;

    async fn handle(&mut self, _: Standing, _: &mut Context<Self>) -> Applied {
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

impl Handler<Current> for Configuration {
    type Return = Option<Arc<VerifiedBundle>>;

    async fn handle(&mut self, _: Current, _: &mut Context<Self>) -> Self::Return {
        self.active_bundle.bundle().cloned()
    }
}

impl Handler<Statuses> for Configuration {
    type Return = Vec<DataCentreStatus>;

    async fn handle(&mut self, _: Statuses, _: &mut Context<Self>) -> Vec<DataCentreStatus> {
        self.view.statuses(self.clock.now_ms())
    }
}

impl Handler<Dump> for Configuration {
    type Return = serde_json::Value;

    async fn handle(&mut self, _: Dump, _: &mut Context<Self>) -> serde_json::Value {
        let agents = self.peers.iter().map(|(id, peer)| {
            let (bundle, service) = peer.applied.unwrap_or_default();
            json!({"connection": id, "data_centre": peer.data_centre, "bundle": bundle, "service": service})
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
