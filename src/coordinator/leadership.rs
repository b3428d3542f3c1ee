//! Takes over the leadership, and gives it up.

use super::actor::Coordinator;
use super::message::PeerMessage;
use super::restoring::Restoring;
use super::takeover::{Candidate, Claim, Takeover, TakeoverError};
use crate::election::{ElectionRole, HandOver, Leadership};
use crate::store::RowStore;

impl<S> Coordinator<S>
where
    S: RowStore,
{
    pub(super) fn begin_takeover(&mut self) {
        let last_leadership = self.election.leadership().cloned();
        log::info!(
            known_epoch = last_leadership.as_ref().map_or(0, |known| known.epoch.0),
            machine_wait_ms = self.election.machine_wait_ms(self.service.clock.now_ms());
            "trying to take over the leadership"
        );
        let candidate = Candidate {
            process: self.settings.process.clone(),
            address: self.settings.inner_address,
            incarnation: self.incarnation,
        };
        self.claim_began_ms = self.service.clock.now_ms();
        self.restoring = Some(Restoring::begin(
            self.store().clone(),
            candidate,
            last_leadership,
            self.events.clone(),
        ));
    }

    /// Announces a leadership that is durable before the stored jobs are read: reading them takes longer than the
    /// silence after which other coordinators would replace a leader.
    pub(super) fn on_claimed(&mut self, result: Result<Claim, TakeoverError>) {
        let now = self.now();
        let leadership = match result {
            Ok(claim) => claim.head.leadership,
            Err(TakeoverError::Lost(current)) => {
                log::info!(
                    epoch = current.as_ref().map_or(0, |current| current.epoch.0);
                    "takeover failed: another coordinator leads"
                );
                self.abandon_takeover(current.as_ref());
                return;
            }
            Err(TakeoverError::Store(error)) => {
                log::warn!(
                    "takeover failed; retried after a pause if no leader is observed: {error}"
                );
                self.abandon_takeover(None);
                return;
            }
        };
        let is_outdated =
            self.election.leadership().is_some_and(|known| known.epoch > leadership.epoch);
        if is_outdated || self.ending.is_some() {
            self.abandon_takeover(None);
            return;
        }
        log::info!(epoch = leadership.epoch.0; "leadership claimed; reading the stored jobs");
        self.election.on_elected(now.steady_ms, leadership);
        self.election.confirm_leadership(self.claim_began_ms);
        self.election.store_answered(now.steady_ms);
        self.peers.send_to_all(&PeerMessage::Gossip(self.gossip()));
    }

    fn abandon_takeover(&mut self, current: Option<&Leadership>) {
        self.restoring = None;
        self.election.on_takeover_failed(self.service.clock.now_ms(), current);
    }

    pub(super) fn on_taken_over(&mut self, takeover: Takeover) {
        let epoch = takeover.claim.head.leadership.epoch;
        let is_current = self.election.role() == ElectionRole::Leader
            && self.election.leadership().is_some_and(|known| known.epoch == epoch);
        let Some(restoring) = self.restoring.take_if(|_| is_current) else {
            return;
        };
        self.service.metrics.count("leadership", "taken");
        log::info!(
            epoch = epoch.0, jobs = takeover.jobs.len(), jobs_version = takeover.jobs_version;
            "this coordinator leads now"
        );
        self.lead(self.now(), takeover);
        self.election.on_restored(self.service.clock.now_ms());
        for (connection, (worker, sender)) in restoring.into_hosts() {
            self.on_host_connected(connection, worker, sender);
        }
    }

    /// Gives up the leadership because this coordinator is too slow, so that the others elect a leader.
    pub(super) fn hand_over(&mut self, decision: &HandOver) {
        let HandOver { late_ticks, max_lag_ms, successors } = *decision;
        let epoch = self.election.leadership().map_or(0, |known| known.epoch.0);
        log::warn!(
            epoch, late_ticks, max_lag_ms, successors;
            "this leader is too slow and hands over"
        );
        self.service.metrics.count("leadership", "handed_over");
        self.election.mark_slow(self.service.clock.now_ms());
        self.step_down("this coordinator is too slow for the work of a leader");
    }

    pub(super) fn step_down(&mut self, reason: &str) {
        let now_ms = self.service.clock.now_ms();
        if let Some(leader_state) = self.leader_state.take() {
            self.speeds.restore(&leader_state.speed_reports());
            leader_state.redirect_hosts(self.election.leadership().cloned());
            log::warn!(reason; "this coordinator no longer leads");
            self.service.metrics.count("leadership", "given_up");
        }
        if self.restoring.take().is_some() {
            log::warn!(reason; "takeover abandoned before the stored jobs were read");
        }
        self.host_workers.clear();
        if self.election.role() == ElectionRole::Leader {
            self.election.step_down(now_ms);
            // The gossip lets the other coordinators elect a leader without waiting for the silence limit.
            self.peers.send_to_all(&PeerMessage::Gossip(self.gossip()));
        }
    }

    /// Steps down if the election has observed a newer leadership.
    pub(super) fn on_leadership_changed(&mut self) {
        let has_led = self.leader_state.is_some() || self.restoring.is_some();
        if has_led && self.election.role() == ElectionRole::Follower {
            self.step_down("another coordinator leads");
        }
    }
}
