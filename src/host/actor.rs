//! The actor of a host: handles the worker's heartbeats, the leader's messages and the results of calls of the worker.

mod incarnation;
mod lapse;
mod renewal;

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Value, json};
use tokio::task::JoinHandle;
use xtra::prelude::*;

use super::event::{AttemptKey, Event, EventSender};
use super::expiry::LeaseExpiry;
use super::lease::LeaseClock;
use super::link::LeaderAddresses;
use super::listing::ListingInterval;
use super::notice::EndNotice;
use super::orders::StartResult;
use super::suspension::SuspensionDetector;
use super::{WorkerHeartbeat, WorkerPort, WorkerTarget, orders};
use crate::coordinator::message::{DialerMessage, HostMessage, LeaderMessage};
use crate::planner::{StartOrder, StartRefusal, WorkerEvent, WorkerOrder};
use crate::prelude::*;
use crate::process::{AwakeClock, BoottimeClock, InboxActor, Metrics};
use crate::wire::LinkSender;
use crate::workflow::{TaskId, WorkerIncarnation};

/// The time without a renewal by the leader after which the host connects to another coordinator.
const RENEWAL_TIMEOUT_MS: u64 = 5_000;

#[derive(Debug)]
struct Leader {
    epoch: Epoch,
    sender: LinkSender<DialerMessage>,
    since_ms: u64,
}

/// The actor of a host.
#[derive(xtra::Actor)]
pub struct Host<P: 'static> {
    worker: WorkerId,
    port: P,
    addresses: LeaderAddresses,
    clock: BoottimeClock,
    /// A clock that stands still while the machine is suspended, like the worker's.
    awake_clock: AwakeClock,
    metrics: Metrics,
    events: EventSender,
    /// The last heartbeat of the worker's current incarnation, if there is one.
    last_heartbeat: Option<WorkerHeartbeat>,
    leader: Option<Leader>,
    highest_epoch: Epoch,
    lease: LeaseClock,
    expiry: LeaseExpiry,
    /// The leader was told that the worker's lease has expired, and the worker has not answered since.
    has_lapsed: bool,
    suspension: SuspensionDetector,
    pending_renewal: Option<renewal::PendingRenewal>,
    last_renewal_number: u64,
    renew_after_ms: u64,
    /// The next request of the worker waits for the leader's answer to the last list.
    awaits_renewed: bool,
    acknowledged: u64,
    /// The highest acknowledgement that the current incarnation has received. It is not sent again: an incarnation that has
    /// restarted would take it for its own ends.
    delivered_acknowledgement: u64,
    last_ended: u64,
    starts: BTreeMap<AttemptKey, JoinHandle<()>>,
    stops: BTreeMap<AttemptKey, JoinHandle<()>>,
    stopped: BTreeSet<AttemptKey>,
    /// The attempts with a start call that was not answered when an incarnation ended. The call may still reach a later
    /// incarnation, so they count as starting until that one has confirmed their stops.
    unresolved: BTreeSet<AttemptKey>,
    refused_connections: u32,
    /// A notice says that the worker's program is ending, so it gets no work. It may run its attempts until it ends, and the
    /// notice may be a late one of an earlier incarnation.
    is_terminating: bool,
    end_notice: EndNotice,
    /// The worker's current incarnation has listed its attempts.
    has_listed: bool,
    /// The birth of the incarnation that answered instead of the known one and has not sent a heartbeat yet. Orders may only
    /// be sent to an incarnation that is known.
    superseded_by_born_ms: Option<u64>,
    /// A heartbeat of an incarnation that was born before the known one by its clock. It may be a late one of an earlier
    /// incarnation, or the clock may have been set back; the worker's next list tells.
    unconfirmed: Option<WorkerHeartbeat>,
    listing: ListingInterval,
}

impl<P> Host<P>
where
    P: WorkerPort,
{
    /// Creates a host that has neither received a heartbeat nor connected to a leader.
    pub fn new(
        worker: WorkerId,
        lease: LeaseClock,
        port: P,
        addresses: LeaderAddresses,
        clock: BoottimeClock,
        metrics: Metrics,
        events: EventSender,
    ) -> Self {
        Self {
            worker,
            port,
            addresses,
            clock,
            awake_clock: AwakeClock::start(),
            metrics,
            events,
            last_heartbeat: None,
            leader: None,
            highest_epoch: Epoch(0),
            lease,
            expiry: LeaseExpiry::default(),
            has_lapsed: false,
            suspension: SuspensionDetector::default(),
            pending_renewal: None,
            last_renewal_number: 0,
            renew_after_ms: 0,
            awaits_renewed: false,
            acknowledged: 0,
            delivered_acknowledgement: 0,
            last_ended: 0,
            starts: BTreeMap::new(),
            stops: BTreeMap::new(),
            stopped: BTreeSet::new(),
            unresolved: BTreeSet::new(),
            refused_connections: 0,
            is_terminating: false,
            end_notice: EndNotice::default(),
            has_listed: false,
            superseded_by_born_ms: None,
            unconfirmed: None,
            listing: ListingInterval::default(),
        }
    }

    fn send_to_leader(&self, message: HostMessage) {
        let Some(leader) = &self.leader else {
            return;
        };
        if let Err(error) = leader.sender.try_send(DialerMessage::Host(message)) {
            log::warn!(epoch = leader.epoch.0; "message to the leader was dropped: {error}");
        }
    }

    fn send_event(&self, event: WorkerEvent) {
        self.send_to_leader(HostMessage::Worker(event));
    }

    fn on_connected(&mut self, epoch: Epoch, sender: LinkSender<DialerMessage>) {
        if epoch < self.highest_epoch {
            log::warn!(
                epoch = epoch.0, known = self.highest_epoch.0;
                "welcome of a leader with an outdated epoch is ignored"
            );
            return;
        }
        log::info!(epoch = epoch.0; "connected to the leader");
        self.metrics.count("host", "leader_found");
        if epoch > self.highest_epoch {
            // The worker rejects orders of an earlier leader once it has received the new fencing token.
            self.abort_orders();
            self.unresolved.clear();
        }
        self.highest_epoch = epoch;
        self.leader = Some(Leader { epoch, sender, since_ms: self.clock.now_ms() });
        if let Some(report) = self.report() {
            self.send_event(WorkerEvent::Reported(report));
            self.repeat_lapse();
        }
        self.pending_renewal = None;
        self.renew_after_ms = 0;
        self.begin_renewal(0);
    }

    fn on_leader(&mut self, message: LeaderMessage) {
        match message {
            LeaderMessage::Welcome { .. } | LeaderMessage::Redirect(_) => {}
            LeaderMessage::Renewed { asked_ms } => {
                self.lease.record_renewal(asked_ms);
                if std::mem::take(&mut self.awaits_renewed) {
                    self.renew_after_ms = 0;
                    self.renew();
                }
            }
            LeaderMessage::Order(order) => self.on_order(order),
        }
    }

    fn on_order(&mut self, order: WorkerOrder) {
        match order {
            WorkerOrder::Start(order) => self.on_start(order),
            WorkerOrder::Stop { incarnation, task, attempt } => {
                self.on_stop(&incarnation, task, attempt)
            }
            WorkerOrder::AcknowledgeEnds { incarnation, up_to } => {
                if self.is_current(&incarnation) {
                    self.acknowledged = self.acknowledged.max(up_to);
                    self.renew_after_ms = 0;
                    self.renew();
                }
            }
        }
    }

    fn is_current(&self, incarnation: &WorkerIncarnation) -> bool {
        self.last_heartbeat
            .as_ref()
            .is_some_and(|heartbeat| heartbeat.report.incarnation == *incarnation)
    }

    fn on_start(&mut self, order: StartOrder) {
        let key = (order.task.clone(), order.attempt);
        if self.starts.contains_key(&key) || self.stops.contains_key(&key) {
            return;
        }
        let (Some(heartbeat), Some(leader)) = (&self.last_heartbeat, &self.leader) else {
            return;
        };
        let deadline_ms = self.lease.deadline_ms(self.clock.now_ms());
        let is_current = self.is_current(&order.incarnation)
            && self.superseded_by_born_ms.is_none()
            && !self.has_lapsed
            && !self.is_terminating;
        let (true, Some(deadline_ms)) = (is_current, deadline_ms) else {
            let refusal = StartRefusal::Lapsed;
            let StartOrder { incarnation, task, attempt, .. } = order;
            self.send_event(WorkerEvent::Refused { incarnation, task, attempt, refusal });
            return;
        };
        if let Some(pending) = &mut self.pending_renewal {
            pending.starting.insert(key.clone());
        }
        self.expiry.record_deadline(deadline_ms);
        let (port, target, fence) = (self.port.clone(), heartbeat.target.clone(), leader.epoch);
        let (events, incarnation) = (self.events.clone(), order.incarnation.clone());
        let ended_key = key.clone();
        let start = tokio::spawn(async move {
            let result = orders::start(&port, &target, &order, fence, deadline_ms).await;
            let _ = events.send(Event::StartEnded { incarnation, key: ended_key, result }).await;
        });
        self.starts.insert(key, start);
    }

    fn on_start_ended(
        &mut self,
        incarnation: WorkerIncarnation,
        key: AttemptKey,
        result: StartResult,
    ) {
        if self.starts.remove(&key).is_none() || !self.is_current(&incarnation) {
            return;
        }
        let (task, attempt) = key;
        log::info!(
            job = task.job.as_str(), task = task.to_string(), run = attempt,
            epoch = self.highest_epoch.0, outcome:debug = result;
            "start of an attempt was answered by the worker, or abandoned without an answer"
        );
        let name = match result {
            StartResult::Started => {
                self.send_event(WorkerEvent::Started { incarnation, task, attempt });
                "started"
            }
            StartResult::Refused(refusal) => {
                self.send_event(WorkerEvent::Refused { incarnation, task, attempt, refusal });
                "start_refused"
            }
            StartResult::Stopped => {
                self.stopped.insert((task, attempt));
                "start_stopped"
            }
        };
        self.metrics.count("host", name);
    }

    fn on_stop(&mut self, incarnation: &WorkerIncarnation, task: TaskId, attempt: u32) {
        let key = (task.clone(), attempt);
        if !self.is_current(incarnation) || self.stops.contains_key(&key) {
            return;
        }
        let (Some(heartbeat), Some(leader)) = (&self.last_heartbeat, &self.leader) else {
            return;
        };
        if let Some(start) = self.starts.remove(&key) {
            start.abort();
        }
        log::info!(
            job = task.job.as_str(), task = task.to_string(), run = attempt, epoch = leader.epoch.0;
            "stopping an attempt"
        );
        let target = heartbeat.target.clone();
        self.spawn_stop(incarnation.clone(), target, key);
    }

    fn spawn_stop(
        &mut self,
        incarnation: WorkerIncarnation,
        target: WorkerTarget,
        key: AttemptKey,
    ) {
        let (port, events, fence) = (self.port.clone(), self.events.clone(), self.highest_epoch);
        let (task, attempt) = key.clone();
        let ended_key = key.clone();
        let stop = tokio::spawn(async move {
            orders::stop(&port, &target, &task, attempt, fence).await;
            let _ = events.send(Event::StopEnded { incarnation, key: ended_key }).await;
        });
        self.stops.insert(key, stop);
    }

    fn on_stop_ended(&mut self, incarnation: &WorkerIncarnation, key: AttemptKey) {
        if self.stops.remove(&key).is_some() && self.is_current(incarnation) {
            self.unresolved.remove(&key);
            self.stopped.insert(key);
        }
    }

    fn on_tick(&mut self) {
        let now_ms = self.clock.now_ms();
        if let Some(leader) = &self.leader {
            let renewed_ms = self.lease.renewed_ms().unwrap_or_default().max(leader.since_ms);
            // Without a list of the worker the leader has nothing to renew.
            let can_list = self.last_heartbeat.is_some() && self.refused_connections == 0;
            if can_list && now_ms.saturating_sub(renewed_ms) >= RENEWAL_TIMEOUT_MS {
                log::warn!(
                    epoch = leader.epoch.0;
                    "leader has not renewed the lease for {RENEWAL_TIMEOUT_MS} ms; trying the next coordinator"
                );
                self.metrics.count("host", "leader_left");
                self.leader = None;
                self.addresses.disconnect();
            }
        }
        self.check_lapse();
        self.renew();
    }
}

impl<P> InboxActor for Host<P>
where
    P: WorkerPort,
{
    type Event = Event;

    fn on_event(&mut self, event: Event) {
        self.observe_clocks();
        match event {
            Event::Tick => self.on_tick(),
            Event::Heartbeat(heartbeat) => self.on_heartbeat(*heartbeat),
            Event::WorkerTerminated(instance) => self.on_worker_terminated(&instance),
            Event::Connected { epoch, sender } => self.on_connected(epoch, sender),
            Event::Leader(message) => self.on_leader(message),
            Event::Disconnected => {
                log::info!(epoch = self.highest_epoch.0; "connection to the leader is lost; reconnecting");
                self.leader = None;
            }
            Event::RenewalEnded { renewal, result } => self.on_renewal_ended(renewal, result),
            Event::StartEnded { incarnation, key, result } => {
                self.on_start_ended(incarnation, key, result)
            }
            Event::StopEnded { incarnation, key } => self.on_stop_ended(&incarnation, key),
        }
    }
}

/// The request for a dump of the host's state as JSON.
#[derive(Clone, Copy, Debug)]
pub struct Dump;

impl<P> Handler<Dump> for Host<P>
where
    P: WorkerPort,
{
    type Return = Value;

    async fn handle(&mut self, _message: Dump, _context: &mut Context<Self>) -> Value {
        json!({
            "worker": self.worker,
            "beside": self.last_heartbeat.as_ref().map(|heartbeat| &heartbeat.report),
            "epoch": self.highest_epoch,
            "is_connected": self.leader.is_some(),
            "lease": self.lease,
            "lease_expiry": self.expiry,
            "has_lapsed": self.has_lapsed,
            "acknowledged_ends": self.acknowledged,
            "last_end": self.last_ended,
            "starts_under_way": self.starts.len(),
            "stops_under_way": self.stops.len(),
            "unresolved_starts": self.unresolved.len(),
            "superseded_by_born_ms": self.superseded_by_born_ms,
            "unconfirmed_born_ms": self.unconfirmed.as_ref().map(|heartbeat| heartbeat.report.incarnation.born_ms),
        })
    }
}
