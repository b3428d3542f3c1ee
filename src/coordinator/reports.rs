//! Reports of the load to other coordinators, and of the sent messages to operators.

use super::actor::Coordinator;
use super::message::PeerMessage;
use crate::admission::LoadSummary;
use crate::planner::SpeedReport;
use crate::prelude::*;
use crate::store::RowStore;

impl<S> Coordinator<S>
where
    S: RowStore,
{
    /// Publishes the load of the deployment, if this coordinator leads.
    pub(super) fn publish_load(&mut self) {
        let now = self.now();
        if let Some(leader_state) = &self.leader_state {
            let (epoch, load) = (leader_state.epoch(), leader_state.load(now));
            self.peers.send_to_all(&PeerMessage::Load { epoch, load: load.clone() });
            self.on_load(epoch, load);
        }
    }

    pub(super) fn on_load(&self, epoch: Epoch, load: LoadSummary) {
        let is_current = self.election.leadership().is_none_or(|known| known.epoch <= epoch);
        if is_current {
            self.service.shared.set_load(self.service.clock.now_ms(), load);
        }
    }

    /// Publishes the estimated speeds of workers that have changed, if this coordinator leads.
    pub(super) fn publish_speeds(&mut self) {
        let message =
            self.leader_state.as_mut().and_then(|leader_state| leader_state.changed_speeds());
        if let Some(message) = message {
            self.peers.send_to_all(&message);
        }
    }

    /// Keeps the speeds that a leader reports, so that they are known after a takeover by this coordinator.
    pub(super) fn on_speeds(&mut self, epoch: Epoch, speeds: &[SpeedReport]) {
        if self.election.leadership().is_none_or(|known| known.epoch <= epoch) {
            self.speeds.restore(speeds);
        }
    }

    /// Publishes how much the speeds of workers differ, if this coordinator leads.
    pub(super) fn report_speeds(&self) {
        let spreads =
            self.leader_state.iter().flat_map(|leader_state| leader_state.speed_spreads());
        for (service, spread_percent, is_used) in spreads {
            self.service.metrics.set("speed_spread_percent", service, i64::from(spread_percent));
            log::info!(service, spread_percent, is_used; "speeds of the workers compared");
        }
    }

    /// Publishes what was sent on connections to other processes, by kind of message.
    pub(super) fn report_traffic(&self) {
        let mut kinds = Vec::new();
        for (kind, sent) in self.links.traffic.totals() {
            let size_bytes = i64::try_from(sent.size_bytes).unwrap_or(i64::MAX);
            self.service.metrics.set("sent_bytes", kind, size_bytes);
            kinds.push(format!("{kind} {} in {}", sent.size_bytes, sent.count));
        }
        log::info!(kinds = kinds.join(", "); "bytes and messages sent since the start");
    }
}
