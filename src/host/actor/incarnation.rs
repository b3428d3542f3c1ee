//! Tells the incarnations of a worker apart: which one is the current one, and when it has ended.

use super::Host;
use crate::host::notice::EndNotice;
use crate::host::{WorkerHeartbeat, WorkerPort};
use crate::planner::{WorkerEvent, WorkerReport};

impl<P> Host<P>
where
    P: WorkerPort,
{
    pub(super) fn on_heartbeat(&mut self, mut heartbeat: WorkerHeartbeat) {
        let incarnation = heartbeat.report.incarnation.clone();
        let previous = self.last_heartbeat.as_ref();
        let known_born = previous.map_or(0, |previous| previous.report.incarnation.born_ms);
        let has_answered = self.superseded_by_born_ms == Some(incarnation.born_ms);
        if incarnation.born_ms < known_born && !has_answered {
            log::info!(
                born_ms = incarnation.born_ms, known_born, sequence = heartbeat.sequence;
                "heartbeat of an incarnation that was born earlier; the worker is asked which one it is"
            );
            self.unconfirmed = Some(heartbeat);
            self.pending_renewal = None;
            self.renew_after_ms = 0;
            self.begin_renewal(0);
            return;
        }
        let is_new = incarnation.born_ms != known_born;
        if let Some(previous) = previous.filter(|_| !is_new) {
            if heartbeat.sequence <= previous.sequence {
                return;
            }
            heartbeat.report.draining |= previous.report.draining;
        }
        let last_report = self.report();
        if is_new {
            self.begin_incarnation(&heartbeat);
        } else if self.is_terminating && !heartbeat.report.draining {
            // A notice names the worker by its identifier alone, so it may be a late one of an earlier incarnation.
            log::info!(
                instance = heartbeat.target.instance.as_str(), born_ms = incarnation.born_ms,
                sequence = heartbeat.sequence;
                "worker is ready after the notice of its end, which belonged to an earlier incarnation"
            );
            self.is_terminating = false;
            self.end_notice.withdraw();
        }
        let is_changed = last_report.is_none_or(|last| last != heartbeat.report);
        if is_changed {
            log::info!(
                instance = heartbeat.target.instance.as_str(), born_ms = incarnation.born_ms,
                draining = heartbeat.report.draining,
                leaves_in_ms:debug = heartbeat.report.leaves_in_ms, sequence = heartbeat.sequence;
                "worker reported a changed state"
            );
            self.send_event(WorkerEvent::Reported(heartbeat.report.clone()));
        }
        self.last_heartbeat = Some(heartbeat);
        self.renew();
    }

    /// Returns the description of the worker for the leader. A worker whose program is ending gets no work.
    pub(super) fn report(&self) -> Option<WorkerReport> {
        let mut report = self.last_heartbeat.as_ref()?.report.clone();
        report.draining |= self.is_terminating;
        Some(report)
    }

    /// Resets the state that belongs to the earlier incarnation. Start calls that were not answered may still reach the
    /// new one, so their attempts are stopped there.
    fn begin_incarnation(&mut self, heartbeat: &WorkerHeartbeat) {
        self.abort_starts();
        self.abort_orders();
        self.pending_renewal = None;
        (self.acknowledged, self.last_ended, self.refused_connections) = (0, 0, 0);
        self.delivered_acknowledgement = 0;
        (self.has_listed, self.is_terminating) = (false, false);
        self.end_notice = EndNotice::new(self.clock.now_ms());
        (self.superseded_by_born_ms, self.unconfirmed) = (None, None);
        self.renew_after_ms = 0;
        self.lease.reset_reference();
        self.expiry.reset();
        self.has_lapsed = false;
        let incarnation = &heartbeat.report.incarnation;
        for key in self.unresolved.clone() {
            self.spawn_stop(incarnation.clone(), heartbeat.target.clone(), key);
        }
    }

    /// Aborts the start calls without an answer and records their attempts as unresolved.
    pub(super) fn abort_starts(&mut self) {
        for (key, start) in std::mem::take(&mut self.starts) {
            start.abort();
            self.unresolved.insert(key);
        }
    }

    pub(super) fn abort_orders(&mut self) {
        for order in self.starts.values().chain(self.stops.values()) {
            order.abort();
        }
        self.starts.clear();
        self.stops.clear();
        self.stopped.clear();
        self.listing.clear();
    }

    /// Handles the announcement that the worker's program ends. The attempts run until it has ended, so they are only
    /// reported as ended once connections are refused, or when their lease expires.
    pub(super) fn on_worker_terminated(&mut self, instance: &str) {
        let Some(last) =
            self.last_heartbeat.as_ref().filter(|last| last.target.instance == instance)
        else {
            return;
        };
        let was_draining = last.report.draining;
        let is_refused = self.refused_connections > 0;
        self.end_notice.record_notice(self.clock.now_ms(), was_draining, is_refused);
        log::info!(
            instance, born_ms = last.report.incarnation.born_ms, sequence = last.sequence,
            draining = was_draining, is_refused, is_own = self.end_notice.is_announced();
            "program of the worker is ending, unless it reports itself as ready again"
        );
        self.is_terminating = true;
        if !was_draining && let Some(report) = self.report() {
            self.send_event(WorkerEvent::Reported(report));
        }
        self.renew_after_ms = 0;
        self.renew();
    }

    pub(super) fn incarnation_ended(&mut self, reason: &str) {
        let Some(last) = self.last_heartbeat.take() else {
            return;
        };
        self.abort_starts();
        self.abort_orders();
        self.pending_renewal = None;
        self.unconfirmed = None;
        self.expiry.reset();
        self.has_lapsed = false;
        log::info!(
            instance = last.target.instance.as_str(), born_ms = last.report.incarnation.born_ms,
            unanswered_starts = self.unresolved.len(), reason;
            "incarnation of the worker has ended"
        );
        // An unanswered start may be carried out by the next incarnation. Its attempt must not start elsewhere before
        // that one has confirmed the stop, or the lease has expired.
        if self.unresolved.is_empty() {
            self.send_event(WorkerEvent::Left(last.report.incarnation));
        }
    }
}
