//! The actor of a host: handles the worker's heartbeats, the leader's messages and the results of calls of the worker.

mod incarnation;
mod lapse;

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
use super::{
    Renewal, RenewalAnswer, WorkerError, WorkerHeartbeat, WorkerPort, WorkerTarget, orders,
};
use crate::coordinator::message::{DialerMessage, HostMessage, LeaderMessage};
use crate::planner::{AttemptsReport, StartOrder, StartRefusal, WorkerEvent, WorkerOrder};
use crate::prelude::*;
use crate::process::{BoottimeClock, InboxActor, Metrics, MonotonicClock};
use crate::wire::{LinkSender, MAX_FRAME_BYTES};
use crate::workflow::{TaskId, WorkerIncarnation};

/// The pause before a failed renewal is repeated.
const RENEWAL_RETRY_PAUSE_MS: u64 = 200;
/// The pause while connections are refused time after time, so that a worker that is gone is not called too often.
const REFUSED_RETRY_PAUSE_MS: u64 = 1_000;
/// The pause while the worker's program is ending, so that its end is noticed soon.
const TERMINATION_RETRY_PAUSE_MS: u64 = 50;
/// The pause before the next renewal while the leader has not acknowledged all listed ends or not yet renewed the
/// lease. Its acknowledgement ends the pause early.
const UNACKNOWLEDGED_PAUSE_MS: u64 = 250;
/// The number of refused connections in a row from which on the pause is [`REFUSED_RETRY_PAUSE_MS`].
const FREQUENT_REFUSED_RETRIES: u32 = 5;
/// The maximum length of all checkpoints in a list to the leader, in bytes; half of a frame.
const MAX_LISTED_CHECKPOINT_BYTES: usize = MAX_FRAME_BYTES / 2;
/// The time without a renewal by the leader after which the host connects to another coordinator.
const RENEWAL_TIMEOUT_MS: u64 = 5_000;

/// A renewal whose call of the worker has not ended.
#[derive(Debug)]
struct PendingRenewal {
    number: u64,
    epoch: Epoch,
    /// The attempts whose start was in progress at some time since the renewal began.
    starting: BTreeSet<AttemptKey>,
    /// The attempts whose stop was confirmed before the renewal began.
    stopped: BTreeSet<AttemptKey>,
}

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
    steady_clock: MonotonicClock,
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
    pending_renewal: Option<PendingRenewal>,
    last_renewal_number: u64,
    renew_after_ms: u64,
    acknowledged: u64,
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
            steady_clock: MonotonicClock::start(),
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
            acknowledged: 0,
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

    /// Requests the worker to extend its lease and to list its attempts, unless a renewal is in progress or a pause has
    /// not ended.
    fn renew(&mut self) {
        let now_ms = self.clock.now_ms();
        if self.pending_renewal.is_none() && now_ms >= self.renew_after_ms {
            let is_first = !self.has_listed || self.lease.renewed_ms().is_none();
            self.begin_renewal(if is_first { 0 } else { self.listing.wait_ms(now_ms) });
        }
    }

    fn begin_renewal(&mut self, wait_ms: u64) {
        let (Some(heartbeat), Some(leader)) = (&self.last_heartbeat, &self.leader) else {
            return;
        };
        if self.superseded_by_born_ms.is_some() && self.unconfirmed.is_none() {
            return;
        }
        self.last_renewal_number += 1;
        // The clock and the numbers of ends of another incarnation are its own.
        let (target, deadline_ms, acknowledged) = match &self.unconfirmed {
            Some(unconfirmed) => (unconfirmed.target.clone(), None, 0),
            None => {
                let deadline_ms = self.lease.deadline_ms(self.clock.now_ms());
                (heartbeat.target.clone(), deadline_ms, self.acknowledged)
            }
        };
        let renewal = Renewal { fence: leader.epoch, deadline_ms, acknowledged, wait_ms };
        self.expiry.record_deadline(deadline_ms.unwrap_or_default());
        self.pending_renewal = Some(PendingRenewal {
            number: self.last_renewal_number,
            epoch: leader.epoch,
            starting: self.starts.keys().chain(&self.unresolved).cloned().collect(),
            stopped: self.stopped.clone(),
        });
        let port = self.port.clone();
        let (events, number) = (self.events.clone(), self.last_renewal_number);
        tokio::spawn(async move {
            let result = port.renew_lease(&target, &renewal).await;
            let _ = events.send(Event::RenewalEnded { renewal: number, result }).await;
        });
    }

    fn on_renewal_ended(&mut self, number: u64, result: Result<RenewalAnswer, WorkerError>) {
        let Some(pending) = self.pending_renewal.take_if(|pending| pending.number == number) else {
            return;
        };
        let now_ms = self.clock.now_ms();
        match result {
            Ok(answer) => self.on_renewed(now_ms, pending, answer),
            Err(error) => {
                log::warn!(
                    "lease of the worker could not be renewed; retried after a pause: {error}"
                );
                self.on_renewal_failed(now_ms, &error);
            }
        }
    }

    /// Repeats a renewal after a pause. A refused connection does not prove that the worker has ended: a firewall may
    /// refuse connections to a worker that goes on running its attempts.
    fn on_renewal_failed(&mut self, now_ms: u64, error: &WorkerError) {
        if *error == WorkerError::OtherIncarnation {
            self.unconfirmed = None;
        }
        let is_refused = *error == WorkerError::ConnectionRefused;
        self.refused_connections = if is_refused { self.refused_connections + 1 } else { 0 };
        if is_refused && self.end_notice.is_announced() {
            self.incarnation_ended("its program announced its end, and connections are refused");
            return;
        }
        let pause_ms = match self.end_notice.is_announced() {
            true => TERMINATION_RETRY_PAUSE_MS,
            false if self.refused_connections > FREQUENT_REFUSED_RETRIES => REFUSED_RETRY_PAUSE_MS,
            false => RENEWAL_RETRY_PAUSE_MS,
        };
        self.renew_after_ms = now_ms + pause_ms;
        self.renew_later(pause_ms);
    }

    fn on_renewed(&mut self, now_ms: u64, pending: PendingRenewal, answer: RenewalAnswer) {
        self.refused_connections = 0;
        let Some(incarnation) =
            self.last_heartbeat.as_ref().map(|heartbeat| heartbeat.report.incarnation.clone())
        else {
            return;
        };
        let unconfirmed = self.unconfirmed.take();
        if answer.born_ms != incarnation.born_ms {
            log::info!(
                born_ms = answer.born_ms, known = incarnation.born_ms;
                "list of attempts of another incarnation; no orders until that one sends a heartbeat"
            );
            self.superseded_by_born_ms = Some(answer.born_ms);
            self.abort_starts();
            let has_answered = |heartbeat: &WorkerHeartbeat| {
                heartbeat.report.incarnation.born_ms == answer.born_ms
            };
            if let Some(heartbeat) = unconfirmed.filter(has_answered) {
                self.on_heartbeat(heartbeat);
                return;
            }
            self.renew_after_ms = now_ms + RENEWAL_RETRY_PAUSE_MS;
            self.renew_later(RENEWAL_RETRY_PAUSE_MS);
            return;
        }
        self.has_listed = true;
        if self.end_notice.record_answer(now_ms) {
            log::info!(
                "worker answers after the notice of its end; refused connections do not prove its end"
            );
        }
        self.lease.record_worker_clock(answer.clock_ms, now_ms);
        self.record_answer(answer.clock_ms);
        self.listing.record_listing(now_ms, &answer.running);
        self.stopped.retain(|key| !pending.stopped.contains(key));
        let last_ended = answer.ended.last().map_or(0, |end| end.number);
        let has_unacknowledged = last_ended > self.acknowledged;
        let is_first = self.lease.renewed_ms().is_none();
        self.last_ended = self.last_ended.max(last_ended);
        if self.leader.as_ref().is_some_and(|leader| leader.epoch == pending.epoch) {
            let mut report = AttemptsReport {
                incarnation,
                running: answer.running,
                ended: answer.ended,
                starting: pending.starting.into_iter().collect(),
                stopped: pending.stopped.into_iter().collect(),
            };
            let omitted = report.limit_checkpoints(MAX_LISTED_CHECKPOINT_BYTES);
            if omitted > 0 {
                self.metrics.count("checkpoint", "not_listed");
                log::warn!(
                    checkpoints = omitted, attempts = report.running.len();
                    "checkpoints are too long for the list to the leader and are left out"
                );
            }
            self.send_to_leader(HostMessage::Runs { asked_ms: now_ms, report });
        }
        if has_unacknowledged || is_first {
            self.renew_after_ms = now_ms + UNACKNOWLEDGED_PAUSE_MS;
            self.renew_later(UNACKNOWLEDGED_PAUSE_MS);
        } else {
            self.renew();
        }
    }

    fn renew_later(&self, pause_ms: u64) {
        let events = self.events.clone();
        tokio::spawn(async move {
            tokio::time::sleep(std::time::Duration::from_millis(pause_ms)).await;
            let _ = events.send(Event::Tick).await;
        });
    }

    fn on_leader(&mut self, message: LeaderMessage) {
        match message {
            LeaderMessage::Welcome { .. } | LeaderMessage::Redirect(_) => {}
            LeaderMessage::Renewed { asked_ms } => {
                let is_first = self.lease.renewed_ms().is_none();
                self.lease.record_renewal(asked_ms);
                if is_first {
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
