//! Decides which coordinator leads, without a coordination service of its own.
//!
//! One row of the store names the leader and its epoch. A coordinator that has not heard of a live leader for a while
//! replaces the row under the condition that it is unchanged, so of two candidates one wins. Each transaction of a
//! leader has the same condition, so a leader that was replaced can write nothing more.
//!
//! Here the coordinators elect one of themselves; the agents of a capacity group elect theirs by
//! [`crate::membership::LeaderLease`].

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// How much later an answer of the store has to be to show that it answers one coordinator and not another.
const LATER_MS: u64 = 700;

/// How long an imbalance has to last; a coordinator without an answer tries again each quarter of a second.
const IMBALANCE_MS: u64 = 400;

/// Who leads, and since which epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leadership {
    /// The epoch, which is also the fencing token of its orders.
    pub epoch: Epoch,
    /// The leader.
    pub leader: ProcessId,
    /// Where it accepts connections of the system.
    pub address: std::net::SocketAddr,
}

/// What coordinators tell each other at intervals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender.
    pub process: ProcessId,
    /// Where the sender accepts connections of the system.
    pub address: std::net::SocketAddr,
    /// The newest leadership that the sender knows.
    pub leadership: Option<Leadership>,
    /// How long ago that leader was alive, as far as the sender knows.
    pub leader_heard_age_ms: u64,
    /// How long ago the store answered that leader, as far as the sender knows.
    pub leader_store_age_ms: u64,
    /// How long ago the sender had an answer of the store.
    pub store_age_ms: u64,
    /// The store did not answer the sender's last call.
    pub store_is_failing: bool,
    /// The version of the directives that the sender has.
    pub directives_as_of: u64,
    /// The sender is ending and will not lead.
    pub is_ending: bool,
    /// The sender leads.
    pub leads: bool,
}

/// The times of the election.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ElectionSettings {
    /// A leader that was not heard for this time is replaced.
    pub silence_ms: u64,
    /// How much longer each later candidate waits, so that candidates do not compete.
    pub stagger_ms: u64,
    /// A leader whom the store did not answer for this time gives up, if it answered another coordinator since.
    pub store_silence_ms: u64,
    /// The same for a leader whose calls the store refuses or breaks off.
    pub store_failing_ms: u64,
    /// The pause after an attempt that failed.
    pub retry_ms: u64,
}

/// What a coordinator knows of another.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Peer {
    heard_ms: u64,
    store_age_ms: u64,
    is_ending: bool,
}

/// The role of a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ElectionRole {
    /// It follows the leader that it knows, if any.
    Follower,
    /// It is trying to replace the leader.
    Candidate,
    /// It leads.
    Leader,
}

/// What a coordinator should do now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ElectionStep {
    /// Nothing.
    Stay,
    /// Try to replace the leader in the store.
    TakeOver,
    /// Stop leading.
    StepDown(&'static str),
}

/// The election as one coordinator sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaderElection {
    #[serde(rename = "own")]
    process: ProcessId,
    settings: ElectionSettings,
    #[serde(rename = "part")]
    role: ElectionRole,
    leadership: Option<Leadership>,
    /// When the leader was last known to be alive.
    leader_heard_ms: u64,
    /// When the store last answered the leader, as far as is known.
    leader_store_ms: u64,
    /// When the store last answered this coordinator.
    store_answered_ms: Option<u64>,
    /// The store refused or broke off the last call.
    store_is_failing: bool,
    /// Since when the store has answered this follower and not the leader, or another coordinator and not this leader.
    imbalance_since_ms: Option<u64>,
    retry_at_ms: u64,
    peers: BTreeMap<ProcessId, Peer>,
    is_ending: bool,
}

impl LeaderElection {
    /// Creates the view of a coordinator that knows of no leader.
    pub fn new(process: ProcessId, settings: ElectionSettings, now_ms: u64) -> Self {
        Self {
            process,
            settings,
            role: ElectionRole::Follower,
            leadership: None,
            leader_heard_ms: now_ms,
            leader_store_ms: now_ms,
            store_answered_ms: None,
            store_is_failing: false,
            imbalance_since_ms: None,
            retry_at_ms: 0,
            peers: BTreeMap::new(),
            is_ending: false,
        }
    }

    /// Returns the role of this coordinator.
    pub fn role(&self) -> ElectionRole {
        self.role
    }

    /// Returns the newest leadership known.
    pub fn leadership(&self) -> Option<&Leadership> {
        self.leadership.as_ref()
    }

    /// Returns how long ago the store answered this coordinator.
    pub fn store_age_ms(&self, now_ms: u64) -> u64 {
        self.store_answered_ms.map_or(u64::MAX, |at| now_ms.saturating_sub(at))
    }

    /// Returns how long ago the leader was alive, and how long ago the store answered it.
    pub fn leader_ages_ms(&self, now_ms: u64) -> (u64, u64) {
        match self.role {
            ElectionRole::Leader => (0, self.store_age_ms(now_ms)),
            ElectionRole::Follower | ElectionRole::Candidate => (
                now_ms.saturating_sub(self.leader_heard_ms),
                now_ms.saturating_sub(self.leader_store_ms),
            ),
        }
    }

    /// The store has answered a call that was sent at `sent_ms`.
    pub fn store_answered(&mut self, sent_ms: u64) {
        self.store_answered_ms = Some(self.store_answered_ms.map_or(sent_ms, |at| at.max(sent_ms)));
    }

    /// Notes whether the last call of the store failed.
    pub fn set_store_failing(&mut self, is_failing: bool) {
        self.store_is_failing = is_failing;
    }

    /// This coordinator will not lead any more.
    pub fn stop_candidacy(&mut self) {
        self.is_ending = true;
    }

    /// Takes in what another coordinator says. Returns true if a newer leadership became known.
    pub fn on_gossip(&mut self, now_ms: u64, gossip: &Gossip) -> bool {
        let peer = Peer {
            heard_ms: now_ms,
            store_age_ms: gossip.store_age_ms,
            is_ending: gossip.is_ending,
        };
        self.peers.insert(gossip.process.clone(), peer);
        let Some(leadership) = &gossip.leadership else {
            return false;
        };
        let is_newer = self.observe_leadership(now_ms, leadership);
        if self.leadership.as_ref() != Some(leadership) {
            return is_newer;
        }
        if leadership.leader == gossip.process && !gossip.leads {
            // It was asked to end, or the store turns it away.
            self.leader_heard_ms = now_ms.saturating_sub(self.settings.silence_ms);
            return is_newer;
        }
        let heard_ms = now_ms.saturating_sub(gossip.leader_heard_age_ms);
        self.leader_heard_ms = self.leader_heard_ms.max(heard_ms);
        let store_ms = now_ms.saturating_sub(gossip.leader_store_age_ms);
        self.leader_store_ms = self.leader_store_ms.max(store_ms);
        is_newer
    }

    /// Takes in a leadership that the store or another process names. Returns true if it is newer.
    pub fn observe_leadership(&mut self, now_ms: u64, leadership: &Leadership) -> bool {
        if self.leadership.as_ref().is_some_and(|known| known.epoch >= leadership.epoch) {
            return false;
        }
        self.leadership = Some(leadership.clone());
        (self.leader_heard_ms, self.leader_store_ms) = (now_ms, now_ms);
        if self.role == ElectionRole::Leader && leadership.leader != self.process {
            self.role = ElectionRole::Follower;
        }
        true
    }

    /// The connection to a coordinator was closed by its end or could not be made.
    pub fn on_peer_disconnected(&mut self, now_ms: u64, peer: &ProcessId) {
        self.peers.remove(peer);
        let is_leader = self.leadership.as_ref().is_some_and(|known| known.leader == *peer);
        if is_leader && self.role == ElectionRole::Follower {
            // A closed connection is a sign of death, but a reset of connections alone is not: one gossip interval
            // more.
            let at_most = now_ms.saturating_sub(self.settings.silence_ms * 2 / 3);
            self.leader_heard_ms = self.leader_heard_ms.min(at_most);
        }
    }

    /// This coordinator has replaced the leader.
    pub fn on_elected(&mut self, now_ms: u64, leadership: Leadership) {
        self.role = ElectionRole::Leader;
        self.leadership = Some(leadership);
        self.leader_heard_ms = now_ms;
        self.leader_store_ms = now_ms;
    }

    /// An attempt to replace the leader failed; `current` is who leads instead, if that is known.
    pub fn on_takeover_failed(&mut self, now_ms: u64, current: Option<&Leadership>) {
        self.role = ElectionRole::Follower;
        self.retry_at_ms = now_ms + self.settings.retry_ms;
        if let Some(current) = current {
            self.observe_leadership(now_ms, current);
        }
    }

    /// This coordinator leads no longer.
    pub fn step_down(&mut self, now_ms: u64) {
        self.role = ElectionRole::Follower;
        self.leader_heard_ms = now_ms;
        self.leader_store_ms = now_ms;
        self.retry_at_ms = now_ms + self.settings.silence_ms;
    }

    /// Decides what to do.
    pub fn decide(&mut self, now_ms: u64) -> ElectionStep {
        match self.role {
            ElectionRole::Candidate => ElectionStep::Stay,
            ElectionRole::Leader if self.is_ending => {
                ElectionStep::StepDown("the process is ending")
            }
            ElectionRole::Leader => {
                let limit_ms = match self.store_is_failing {
                    true => self.settings.store_failing_ms,
                    false => self.settings.store_silence_ms,
                };
                let silent = self.store_age_ms(now_ms) >= limit_ms;
                let is_cut_off = silent && self.store_answered_another();
                if self.imbalance_persisted(now_ms, is_cut_off) {
                    return ElectionStep::StepDown(
                        "the store does not answer here, and answers another front",
                    );
                }
                ElectionStep::Stay
            }
            ElectionRole::Follower => self.decide_as_follower(now_ms),
        }
    }

    fn decide_as_follower(&mut self, now_ms: u64) -> ElectionStep {
        // Until the store has said who leads, this coordinator may be one that was just restarted beside a live leader.
        if self.is_ending || now_ms < self.retry_at_ms || self.store_answered_ms.is_none() {
            return ElectionStep::Stay;
        }
        // A process that was restarted under its own name has lost its leadership.
        let was_this_process =
            self.leadership.as_ref().is_some_and(|known| known.leader == self.process);
        let known_gone = self.leadership.is_none() || was_this_process;
        let turn_ms = self.rank(now_ms) * self.settings.stagger_ms;
        let silence_ms = if known_gone { 0 } else { self.settings.silence_ms };
        let is_silent = now_ms.saturating_sub(self.leader_heard_ms) >= silence_ms + turn_ms;
        let is_cut_off = now_ms.saturating_sub(self.leader_store_ms)
            >= self.settings.store_silence_ms + turn_ms
            && self.store_answered_ms.is_some_and(|at_ms| at_ms > self.leader_store_ms + LATER_MS);
        let is_cut_off = self.imbalance_persisted(now_ms, is_cut_off);
        if !is_silent && !is_cut_off {
            return ElectionStep::Stay;
        }
        self.role = ElectionRole::Candidate;
        self.imbalance_since_ms = None;
        ElectionStep::TakeOver
    }

    /// Returns whether an imbalance has lasted. After an outage for all, coordinators reach the store again one after
    /// the other.
    fn imbalance_persisted(&mut self, now_ms: u64, is_imbalanced: bool) -> bool {
        if !is_imbalanced {
            self.imbalance_since_ms = None;
            return false;
        }
        let since_ms = *self.imbalance_since_ms.get_or_insert(now_ms);
        now_ms.saturating_sub(since_ms) >= IMBALANCE_MS
    }

    /// Returns whether the store has answered another coordinator clearly later than this one.
    fn store_answered_another(&self) -> bool {
        let this_store_ms = self.store_answered_ms.unwrap_or_default();
        self.peers.values().any(|peer| {
            let answered_ms = peer.heard_ms.saturating_sub(peer.store_age_ms);
            answered_ms > this_store_ms + LATER_MS && !peer.is_ending
        })
    }

    /// Counts the live coordinators, other than the leader, that come before this one.
    fn rank(&self, now_ms: u64) -> u64 {
        let leader = self.leadership.as_ref().map(|known| &known.leader);
        let alive = |peer: &&Peer| {
            now_ms.saturating_sub(peer.heard_ms) < self.settings.silence_ms && !peer.is_ending
        };
        let before = self.peers.iter().filter(|(id, _)| **id < self.process && Some(*id) != leader);
        before.filter(|(_, peer)| alive(peer)).count() as u64
    }
}
