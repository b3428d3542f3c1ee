//! The periodic work of a coordinator.

use super::actor::Coordinator;
use super::message::PeerMessage;
use crate::election::ElectionStep;
use crate::planner::Input;
use crate::store::RowStore;

/// The number of ticks between two rounds of gossip.
const TICKS_PER_GOSSIP: u64 = 2;
/// The number of ticks between two summaries of the load, and between two comparisons of the coordinators with those that
/// hosts know; about 1 s.
const TICKS_PER_LOAD: u64 = 7;
/// The number of ticks between two reports of the sent messages, about 10 s.
const TICKS_PER_TRAFFIC_REPORT: u64 = 64;
/// The minimum age of the store's last answer at which a coordinator counts as cut off from the store. This coordinator
/// is not ready while it and all connected coordinators are cut off.
const READY_STORE_AGE_MS: u64 = 4_000;

impl<S> Coordinator<S>
where
    S: RowStore,
{
    /// Handles a tick that was sent at `sent_ms`.
    pub(super) fn on_tick(&mut self, sent_ms: u64) {
        self.ticks += 1;
        let now = self.now();
        self.record_timer_lag(now.steady_ms, sent_ms);
        if let Some(pause_ms) = self.service.shared.pause.tick(now.steady_ms) {
            log::warn!(pause_ms; "this process was paused; requests are refused until its directives are confirmed");
            self.service.metrics.count("process", "paused");
        }
        if self.service.shared.pause.needs_confirmation() {
            self.request_confirmation(now.steady_ms);
        }
        if let Some(answered_ms) = self.store().answered_ms() {
            self.election.store_answered(answered_ms);
        }
        self.election.set_store_failing(self.store().is_failing());
        match self.election.decide(now.steady_ms) {
            ElectionStep::Stay => {}
            ElectionStep::TakeOver => self.begin_takeover(),
            ElectionStep::StepDown(reason) => self.step_down(reason),
            ElectionStep::HandOver(decision) => self.hand_over(&decision),
        }
        if self.ticks.is_multiple_of(TICKS_PER_GOSSIP) {
            self.peers.send_to_all(&PeerMessage::Gossip(self.gossip()));
            self.update_readiness(now.steady_ms);
        }
        if self.ticks.is_multiple_of(TICKS_PER_LOAD) {
            self.publish_load();
            self.publish_speeds();
            self.announce_coordinators();
        }
        if self.ticks.is_multiple_of(TICKS_PER_TRAFFIC_REPORT) {
            self.report_traffic();
            self.report_speeds();
        }
        self.plan(&Input::Tick);
    }

    /// Records how late a tick is, if a leader that is too slow hands over.
    fn record_timer_lag(&mut self, now_ms: u64, sent_ms: u64) {
        self.election.on_tick(now_ms, sent_ms);
        if self.settings.machine.is_some() {
            let lag = self.election.timer_lag();
            let max_lag_ms = i64::try_from(lag.max_ms()).unwrap_or(i64::MAX);
            let late_ticks = i64::try_from(lag.late_ticks()).unwrap_or(i64::MAX);
            self.service.metrics.set("leadership", "timer_lag_ms", max_lag_ms);
            self.service.metrics.set("leadership", "late_ticks", late_ticks);
        }
    }

    fn update_readiness(&self, now_ms: u64) {
        let can_store = self.election.store_age_ms(now_ms) < READY_STORE_AGE_MS
            || self.peers.best_store_age_ms() < READY_STORE_AGE_MS;
        let is_ready = self.directives.rules.is_some() && can_store && self.ending.is_none();
        if is_ready != self.service.readiness.get() {
            log::info!(
                is_ready, directives = self.directives.as_of,
                store_age_ms = self.election.store_age_ms(now_ms);
                "readiness changed"
            );
            self.service.readiness.set(is_ready);
        }
    }
}
