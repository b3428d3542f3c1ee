//! The actor of a coordinator: takes part in the election, handles connections and runs the planner while it leads.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::oneshot;

use super::CoordinatorSettings;
use super::directives_lag::DirectivesLag;
use super::event::{Event, EventSender};
use super::leader_state::LeaderState;
use super::message::{AcceptorMessage, HostMessage, JobUpdate, LeaderMessage, PeerMessage};
use super::peers::{PeerSender, PeerSenders, keep_connected};
use super::relay::RelayingStore;
use super::restoring::Restoring;
use super::service::Service;
use super::settings::MAX_RENEWAL_CONFIRMATION_AGE_MS;
use crate::election::{ElectionRole, ElectionStep, Gossip, LeaderElection};
use crate::planner::{Input, PlannerTime, Speeds};
use crate::prelude::*;
use crate::process::{InboxActor, new_incarnation};
use crate::rules::Directives;
use crate::store::{RowChange, RowStore};
use crate::wire::{LinkSender, LinkSettings};

/// The time after which another coordinator is asked to confirm the directives.
const CONFIRMATION_TIMEOUT_MS: u64 = 600;
/// The maximum number of addresses of coordinators that hosts receive.
const MAX_HOST_ADDRESSES: usize = 64;

/// The actor of a coordinator.
#[derive(xtra::Actor)]
pub struct Coordinator<S: 'static> {
    pub(super) settings: Arc<CoordinatorSettings>,
    pub(super) links: LinkSettings,
    pub(super) service: Service<S>,
    pub(super) peers: PeerSenders,
    pub(super) events: EventSender,
    pub(super) election: LeaderElection,
    pub(super) directives: Directives,
    directives_lag: DirectivesLag,
    /// The time of the request for directives that confirms them after a pause, if its answer is outstanding.
    confirmation_requested_ms: Option<u64>,
    pub(super) incarnation: Incarnation,
    /// The addresses to which connections are kept open, each with its coordinator once that is known.
    dialed: BTreeMap<SocketAddr, Option<ProcessId>>,
    pub(super) leader_state: Option<LeaderState>,
    /// The restoration of the leader's state, from the attempt to claim the leadership until the state is complete.
    pub(super) restoring: Option<Restoring>,
    /// The time at which this coordinator began its last attempt to claim the leadership.
    pub(super) claim_began_ms: u64,
    /// The worker of each host connection, by the number of the connection.
    pub(super) host_workers: HashMap<u64, WorkerId>,
    /// The estimated speeds of workers that the leader has reported, with which this coordinator would begin to lead.
    pub(super) speeds: Speeds,
    pub(super) ticks: u64,
    pub(super) ending: Option<oneshot::Sender<()>>,
}

impl<S> Coordinator<S>
where
    S: RowStore,
{
    /// Creates a coordinator that does not lead, and begins to connect to the seeds.
    pub fn new(
        settings: Arc<CoordinatorSettings>,
        service: Service<S>,
        peers: PeerSenders,
        links: LinkSettings,
        events: EventSender,
    ) -> Self {
        let now_ms = service.clock.now_ms();
        let election = LeaderElection::new(settings.process.clone(), settings.election(), now_ms);
        let mut coordinator = Self {
            settings,
            links,
            service,
            peers,
            events,
            election,
            directives: Directives::default(),
            directives_lag: DirectivesLag::default(),
            confirmation_requested_ms: None,
            incarnation: new_incarnation(),
            dialed: BTreeMap::new(),
            leader_state: None,
            restoring: None,
            claim_began_ms: 0,
            host_workers: HashMap::new(),
            speeds: Speeds::default(),
            ticks: 0,
            ending: None,
        };
        for seed in coordinator.settings.seeds.clone() {
            coordinator.connect_to_peer(seed);
        }
        coordinator
    }

    pub(super) fn now(&self) -> PlannerTime {
        PlannerTime {
            steady_ms: self.service.clock.now_ms(),
            wall_ms: self.service.clock.wall_ms(),
        }
    }

    pub(super) fn store(&self) -> &RelayingStore<S> {
        &self.service.store
    }

    fn connect_to_peer(&mut self, address: SocketAddr) {
        if address == self.settings.inner_address || self.dialed.contains_key(&address) {
            return;
        }
        self.dialed.insert(address, None);
        tokio::spawn(keep_connected(address, self.links.clone(), self.events.clone()));
    }

    /// Requests the directives of another coordinator, which answers sooner than the next watch of the store.
    pub(super) fn request_confirmation(&mut self, now_ms: u64) {
        let is_outstanding = self
            .confirmation_requested_ms
            .is_some_and(|requested_ms| now_ms < requested_ms + CONFIRMATION_TIMEOUT_MS);
        if !is_outstanding && self.peers.send_to_best(PeerMessage::RequestDirectives) {
            self.confirmation_requested_ms = Some(now_ms);
        }
    }

    pub(super) fn gossip(&self) -> Gossip {
        let now_ms = self.service.clock.now_ms();
        let (leader_contact_age_ms, leader_store_age_ms) = self.election.leader_ages_ms(now_ms);
        Gossip {
            process: self.settings.process.clone(),
            address: self.settings.inner_address,
            leadership: self.election.leadership().cloned(),
            leader_contact_age_ms,
            leader_store_age_ms,
            store_age_ms: self.election.store_age_ms(now_ms),
            store_is_failing: self.store().is_failing(),
            directives_as_of: self.directives.as_of,
            is_ending: self.ending.is_some(),
            leads: self.election.role() == ElectionRole::Leader,
        }
    }

    fn on_peer(&mut self, sender: PeerSender, message: PeerMessage) {
        match message {
            PeerMessage::Gossip(gossip) => self.on_gossip(sender, &gossip),
            PeerMessage::Directives(directives) => {
                self.apply_directives(directives, "a coordinator");
                if let Some(requested_ms) = self.confirmation_requested_ms.take() {
                    self.service.shared.pause.confirm(requested_ms);
                }
            }
            PeerMessage::Progress { epoch, is_snapshot, jobs } => {
                self.service.shared.with_view(|view| view.update(epoch, is_snapshot, &jobs));
            }
            PeerMessage::Stored(change) => self.apply_stored_change(&change),
            PeerMessage::Relay { call, request } => {
                let store = self.store().clone();
                tokio::spawn(async move {
                    let answer = store.call_for_peer(&request).await;
                    sender.send(PeerMessage::Relayed { call, answer });
                });
            }
            PeerMessage::Relayed { call, answer } => self.store().on_relayed_answer(call, answer),
            PeerMessage::RequestDirectives => {
                if !self.service.shared.pause.needs_confirmation() {
                    sender.send(PeerMessage::Directives(self.directives.clone()));
                }
            }
            PeerMessage::Load { epoch, load } => self.on_load(epoch, load),
            PeerMessage::Speeds { epoch, speeds } => self.on_speeds(epoch, &speeds),
        }
    }

    fn on_gossip(&mut self, sender: PeerSender, gossip: &Gossip) {
        let now_ms = self.service.clock.now_ms();
        self.connect_to_peer(gossip.address);
        if let Some(process) = self.dialed.get_mut(&gossip.address) {
            *process = Some(gossip.process.clone());
        }
        let store_age_ms = if gossip.store_is_failing { u64::MAX } else { gossip.store_age_ms };
        let needs_snapshot = self.peers.record(&gossip.process, sender.clone(), store_age_ms);
        if needs_snapshot && let Some(leader_state) = &self.leader_state {
            let mut messages = leader_state.snapshot();
            messages.extend(leader_state.all_speeds());
            log::info!(
                peer = gossip.process.as_str(), epoch = leader_state.epoch().0, messages = messages.len();
                "coordinator is new or may lack messages; sending the progress of all jobs"
            );
            if !messages.into_iter().all(|message| sender.send(message)) {
                self.peers.connection_closed(&gossip.process);
            }
        }
        if self.election.on_gossip(now_ms, gossip) {
            self.on_leadership_changed();
        }
        let as_of = self.directives.as_of;
        if self.directives_lag.should_request(now_ms, as_of, gossip.directives_as_of) {
            sender.send(PeerMessage::RequestDirectives);
        }
        if !gossip.leads {
            self.check_election();
        }
    }

    /// Evaluates the election without waiting for the next tick, after gossip of a coordinator that does not lead.
    fn check_election(&mut self) {
        if self.election.decide(self.service.clock.now_ms()) == ElectionStep::TakeOver {
            self.begin_takeover();
        }
    }

    fn on_peer_lost(&mut self, address: SocketAddr) {
        let Some(Some(process)) = self.dialed.get(&address).cloned() else {
            return;
        };
        self.peers.remove(&process);
        self.election.on_peer_disconnected(self.service.clock.now_ms(), &process);
    }

    fn apply_directives(&mut self, directives: Directives, source: &str) {
        if directives.as_of <= self.directives.as_of {
            return;
        }
        let directives = directives.with_newest_rules(&self.directives);
        let version = directives.rules.as_ref().map_or(0, |rules| rules.version);
        let out_of_service: Vec<&str> =
            directives.out_of_service.iter().map(DataCentreId::as_str).collect();
        log::info!(
            as_of = directives.as_of, version, source, out_of_service = out_of_service.join(" ");
            "directives applied"
        );
        self.service.metrics.set(
            "directives",
            "version",
            i64::try_from(version).unwrap_or(i64::MAX),
        );
        self.directives = directives.clone();
        self.service.shared.set_directives(directives.clone());
        self.plan(&Input::Directives(directives));
    }

    /// Sends a change that this coordinator made durable to the leader. If the message is lost, the leader receives the
    /// change from its watch of the store.
    fn on_stored(&mut self, change: RowChange) {
        if self.leader_state.is_some() {
            self.apply_stored_change(&change);
        } else if let Some(leadership) = self.election.leadership() {
            self.peers.send_to(&leadership.leader, PeerMessage::Stored(change));
        }
    }

    pub(super) fn on_host_connected(
        &mut self,
        connection: u64,
        worker: WorkerId,
        sender: LinkSender<AcceptorMessage>,
    ) {
        if let Some(restoring) = &mut self.restoring
            && self.election.role() == ElectionRole::Leader
        {
            restoring.add_host(connection, worker, sender);
            return;
        }
        let Some(leader_state) = &mut self.leader_state else {
            let redirect = LeaderMessage::Redirect(self.election.leadership().cloned());
            if let Err(error) = sender.try_send(AcceptorMessage::Host(redirect)) {
                log::debug!("redirect of a host was dropped: {error}");
            }
            return;
        };
        let epoch = leader_state.epoch();
        leader_state.connect_host(connection, &worker, sender);
        leader_state.welcome(&worker);
        log::info!(worker = worker.as_str(), connection, epoch = epoch.0; "host connected");
        self.host_workers.insert(connection, worker);
    }

    pub(super) fn coordinators(&self) -> Vec<SocketAddr> {
        let mut coordinators = vec![self.settings.inner_address];
        let identified = self.dialed.iter().filter(|(_, process)| process.is_some());
        coordinators.extend(identified.map(|(address, _)| *address).take(MAX_HOST_ADDRESSES - 1));
        coordinators
    }

    /// Sends the addresses of the coordinators to all hosts again if they have changed. All those that a host knows may
    /// be replaced while one leader stays.
    pub(super) fn announce_coordinators(&mut self) {
        let coordinators = self.coordinators();
        if let Some(leader_state) = &mut self.leader_state
            && leader_state.set_coordinators(&coordinators)
        {
            log::info!(
                epoch = leader_state.epoch().0, coordinators = coordinators.len();
                "coordinators have changed; hosts are informed"
            );
        }
    }

    /// Handles a message of a host. Messages of an earlier connection of the host are ignored: they may arrive after
    /// those of the current one, and an outdated list lacks attempts that have started since.
    fn on_host(&mut self, connection: u64, message: HostMessage) {
        let (Some(worker), Some(leader_state)) =
            (self.host_workers.get(&connection), &self.leader_state)
        else {
            return;
        };
        if !leader_state.is_current_host(connection, worker) {
            log::info!(
                worker = worker.as_str(), connection;
                "message of an earlier connection of a host is ignored"
            );
            return;
        }
        let input = match message {
            HostMessage::Hello { .. } => return,
            HostMessage::Worker(event) => Input::Worker(event),
            HostMessage::Runs { asked_ms, report } => {
                let age_ms = self.election.confirmation_age_ms(self.service.clock.now_ms());
                if age_ms < MAX_RENEWAL_CONFIRMATION_AGE_MS
                    && leader_state.accepts_lists_of(&report.incarnation)
                {
                    leader_state.send(worker, LeaderMessage::Renewed { asked_ms });
                }
                Input::Runs(report)
            }
        };
        self.plan(&input);
    }

    fn on_host_lost(&mut self, connection: u64) {
        if let Some(restoring) = &mut self.restoring {
            restoring.remove_host(connection);
        }
        let Some(worker) = self.host_workers.remove(&connection) else {
            return;
        };
        let is_current = self
            .leader_state
            .as_mut()
            .is_some_and(|leader_state| leader_state.disconnect_host(connection, &worker));
        if is_current {
            log::info!(worker = worker.as_str(), connection; "host disconnected");
            self.plan(&Input::Disconnected(worker));
        }
    }

    fn shut_down(&mut self, done: oneshot::Sender<()>) {
        self.ending = Some(done);
        self.election.stop_candidacy();
        self.service.readiness.set(false);
        log::info!(leads = self.leader_state.is_some(); "coordinator is shutting down");
        if self.election.role() == ElectionRole::Leader {
            self.step_down("the process is ending");
        }
        self.peers.send_to_all(&PeerMessage::Gossip(self.gossip()));
        if let Some(done) = self.ending.take() {
            // The receiver may be gone if the process is ending already.
            let _ = done.send(());
            self.ending = Some(oneshot::channel().0);
        }
    }

    /// Applies the progress of jobs to the view of this coordinator and sends it to the other coordinators.
    pub(super) fn publish(&self, epoch: Epoch, jobs: Vec<JobUpdate>) {
        if jobs.is_empty() {
            return;
        }
        self.service.shared.with_view(|view| view.update(epoch, false, &jobs));
        self.peers.send_to_all(&PeerMessage::Progress { epoch, is_snapshot: false, jobs });
    }

    /// Returns the addresses to which connections are kept open, each with its coordinator once that is known.
    pub(super) fn dialed(&self) -> &BTreeMap<SocketAddr, Option<ProcessId>> {
        &self.dialed
    }

    pub(super) fn process(&self) -> &ProcessId {
        &self.settings.process
    }

    pub(super) fn directives(&self) -> &Directives {
        &self.directives
    }

    pub(super) fn planner_settings(&self) -> crate::planner::PlannerSettings {
        self.settings.planner()
    }
}

impl<S> InboxActor for Coordinator<S>
where
    S: RowStore,
{
    type Event = Event;

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Tick { sent_ms } => self.on_tick(sent_ms),
            Event::PeerAddress(address) => self.connect_to_peer(address),
            Event::PeerConnected { address, sender } => {
                log::info!(address = address.to_string(); "coordinator connected");
                sender.send(PeerMessage::Gossip(self.gossip()));
            }
            Event::Peer { sender, message } => self.on_peer(sender, message),
            Event::PeerLost(address) => self.on_peer_lost(address),
            Event::PeerConnectionClosed(process) => self.peers.connection_closed(&process),
            Event::PeerUnreachable(address) => {
                log::info!(
                    address = address.to_string();
                    "coordinator could not be reached; attempts to connect become rare"
                );
                self.dialed.insert(address, None);
            }
            Event::PeerForgotten(address) => {
                log::info!(
                    address = address.to_string();
                    "coordinator could not be reached; no more attempts to connect"
                );
                self.dialed.remove(&address);
            }
            Event::HostConnected { connection, worker, sender } => {
                self.on_host_connected(connection, worker, sender);
            }
            Event::Host { connection, message } => self.on_host(connection, message),
            Event::HostLost { connection } => self.on_host_lost(connection),
            Event::Directives(directives) => self.apply_directives(directives, "the store"),
            Event::DirectivesConfirmed { requested_ms } => {
                self.service.shared.pause.confirm(requested_ms);
            }
            Event::Leadership(leadership) => {
                if self.election.observe_leadership(self.service.clock.now_ms(), &leadership) {
                    self.on_leadership_changed();
                }
            }
            Event::LeadershipConfirmed { requested_ms } => {
                self.election.confirm_leadership(requested_ms);
            }
            Event::Claimed(result) => self.on_claimed(result),
            Event::TakenOver(takeover) => self.on_taken_over(*takeover),
            Event::Committed { epoch, result } => self.on_commit_finished(epoch, result),
            Event::Stored(change) => self.on_stored(change),
            Event::Jobs { epoch, changes } => self.on_jobs_changed(epoch, &changes),
            Event::End(done) => self.shut_down(done),
        }
    }
}
