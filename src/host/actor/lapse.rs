//! Handles leases that end while the worker does not answer, and suspensions of the machine.

use super::Host;
use crate::coordinator::SUSPENSION_ALLOWANCE_MS;
use crate::host::WorkerPort;
use crate::planner::WorkerEvent;

/// The time after the end of the lease by the host's clock at which attempts that may still run are stopped, in
/// milliseconds. A worker that was not suspended has ended them by then: its clock is up to 2 % slow.
const OVERDUE_STOP_MARGIN_MS: u64 = 1_500;

impl<P> Host<P>
where
    P: WorkerPort,
{
    /// Detects suspensions. The relation between the clocks does not hold across one: a deadline that follows from it
    /// would be too late by the suspended time.
    pub(super) fn observe_clocks(&mut self) {
        let (now_ms, awake_ms) = (self.clock.now_ms(), self.awake_clock.now_ms());
        self.expiry.advance(awake_ms);
        if let Some(paused_ms) = self.suspension.observe(now_ms, awake_ms) {
            log::warn!(paused_ms; "machine was suspended or process was paused; the worker is asked for its clock");
            self.metrics.count("host", "paused");
            self.lease.record_suspension();
            self.renew_after_ms = 0;
        }
    }

    /// Records an answer of the worker's current incarnation. After a lapse the leader learns first that the worker exists.
    pub(super) fn record_answer(&mut self, worker_clock_ms: u64) {
        let max_lease_ms = self.lease.duration_ms() + SUSPENSION_ALLOWANCE_MS;
        self.expiry.record_answer(worker_clock_ms, max_lease_ms);
        if std::mem::take(&mut self.has_lapsed) {
            log::info!("worker answers again after its lease has expired");
            if let Some(report) = self.report() {
                self.send_event(WorkerEvent::Reported(report));
            }
        }
    }

    /// Reports a lease that has expired without an answer of the worker, and stops attempts that outlast the lease.
    pub(super) fn check_lapse(&mut self) {
        let Some(heartbeat) = &self.last_heartbeat else {
            return;
        };
        let incarnation = heartbeat.report.incarnation.clone();
        if !self.expiry.is_proven() {
            self.stop_overdue_attempts();
            return;
        }
        // A start without an answer may still be carried out by a later incarnation, so its attempt waits for that one or
        // for the leader's own limit.
        if self.has_lapsed || !self.starts.is_empty() || !self.unresolved.is_empty() {
            return;
        }
        log::warn!(
            instance = heartbeat.target.instance.as_str(), born_ms = incarnation.born_ms;
            "worker does not answer, and its lease has expired; its attempts have ended"
        );
        self.metrics.count("host", "lease_expired");
        self.has_lapsed = true;
        self.send_event(WorkerEvent::Left(incarnation));
    }

    /// Tells the next leader about an expired lease.
    pub(super) fn repeat_lapse(&self) {
        if self.has_lapsed
            && let Some(heartbeat) = &self.last_heartbeat
        {
            self.send_event(WorkerEvent::Left(heartbeat.report.incarnation.clone()));
        }
    }

    /// Stops the attempts in the worker's last list if the lease has ended by the host's clock but may last longer on the
    /// worker's: the machine was suspended, and no leader has renewed the lease since.
    fn stop_overdue_attempts(&mut self) {
        if !self.lease.has_ended(self.clock.now_ms(), OVERDUE_STOP_MARGIN_MS) {
            return;
        }
        let Some(heartbeat) = &self.last_heartbeat else {
            return;
        };
        let (incarnation, target) =
            (heartbeat.report.incarnation.clone(), heartbeat.target.clone());
        for key in self.listing.attempts() {
            if self.stops.contains_key(&key) || self.stopped.contains(&key) {
                continue;
            }
            log::warn!(
                job = key.0.job.as_str(), task = key.0.to_string(), run = key.1;
                "lease has ended by the host's clock but may last on the worker's; stopping the attempt"
            );
            self.spawn_stop(incarnation.clone(), target.clone(), key);
        }
    }
}
