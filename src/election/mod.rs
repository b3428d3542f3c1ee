//! Leader election among the coordinators, without a separate coordination service.
//!
//! One row of the store names the leader and its epoch. A coordinator that has received no sign of a live leader for
//! [`ElectionSettings::silence_ms`] replaces the row on condition that it is unchanged, so at most one of several
//! candidates succeeds. Each transaction of a leader has the same condition, so a replaced leader can no longer write.
//!
//! This module elects among the coordinators; the agents of a capacity group elect their leader with
//! [`crate::membership::LeaderLease`].

mod hand_over;
mod machine;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use hand_over::{HAND_OVER_INTERVAL_MS, SLOW_LEADER_WAIT_MS, Successor, decide_hand_over};
pub use hand_over::{HandOver, TICK_MS, TimerLag};
pub use machine::{MachineClass, MachineLimits};

/// Minimum time between the last store answers to two coordinators, in milliseconds, from which the store counts as
/// answering only the coordinator with the later answer.
const STORE_ANSWER_LEAD_MS: u64 = 700;

/// Minimum duration of an imbalance in store answers before it has an effect, in milliseconds. A coordinator without
/// an answer tries again every 250 ms.
const MIN_IMBALANCE_MS: u64 = 400;

/// A leader of the coordinators and its epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leadership {
    /// Epoch of the leadership, which is also the fencing token of the leader's orders.
    pub epoch: Epoch,
    /// Process that leads.
    pub leader: ProcessId,
    /// Address at which the leader accepts connections from other processes of the system.
    pub address: std::net::SocketAddr,
}

/// Periodic message from a coordinator to all other coordinators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Process that sends the message.
    pub process: ProcessId,
    /// Address at which the sender accepts connections from other processes of the system.
    pub address: std::net::SocketAddr,
    /// Newest leadership recorded by the sender.
    pub leadership: Option<Leadership>,
    /// Time since the last sign of life of that leader, from the sender's records, in milliseconds.
    #[serde(rename = "leader_heard_age_ms")]
    pub leader_contact_age_ms: u64,
    /// Time since the store last answered that leader, from the sender's records, in milliseconds.
    pub leader_store_age_ms: u64,
    /// Time since the store last answered the sender, in milliseconds.
    pub store_age_ms: u64,
    /// Whether the sender's last store call failed.
    pub store_is_failing: bool,
    /// Version of the directives that the sender has.
    pub directives_as_of: u64,
    /// Whether the sender is shutting down and will not lead.
    pub is_ending: bool,
    /// Whether the sender leads.
    pub leads: bool,
}

/// Timeouts and delays of the election.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ElectionSettings {
    /// Time without a sign of life after which a leader is replaced, in milliseconds.
    pub silence_ms: u64,
    /// Additional wait of each candidate per live coordinator ranked before it, in milliseconds, so that candidates do
    /// not compete.
    pub stagger_ms: u64,
    /// Time without a store answer after which a leader steps down, in milliseconds, if the store answered another
    /// coordinator in the meantime.
    pub store_silence_ms: u64,
    /// Limit that replaces `store_silence_ms` for a leader whose store calls are refused or aborted, in milliseconds.
    pub store_failing_ms: u64,
    /// Delay after a failed takeover attempt, in milliseconds.
    pub retry_ms: u64,
    /// Additional wait of a candidate on a machine that is weaker than a leader needs, in milliseconds
    /// ([`MachineClass::takeover_wait_ms`]).
    pub machine_wait_ms: u64,
    /// Whether the machines of coordinators differ. A leader that is too slow for its work then hands over, and waits after
    /// a leader stepped down count from its first gossip that says so: they may be longer than the interval of gossip.
    pub has_uneven_machines: bool,
}

/// Last state received from another coordinator.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Peer {
    #[serde(rename = "heard_ms")]
    last_contact_ms: u64,
    store_age_ms: u64,
    store_is_failing: bool,
    is_ending: bool,
}

/// Role of a coordinator in the election.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ElectionRole {
    /// Follows the recorded leader, if any.
    Follower,
    /// Is trying to replace the leader.
    Candidate,
    /// Leads the coordinators.
    Leader,
}

/// Next action of a coordinator in the election.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ElectionStep {
    /// Keep the current role.
    Stay,
    /// Try to replace the leader in the store.
    TakeOver,
    /// Stop leading, for the stated reason.
    StepDown(&'static str),
    /// Stop leading, because this coordinator is too slow and another one can lead.
    HandOver(HandOver),
}

/// State of the election at one coordinator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaderElection {
    #[serde(rename = "own")]
    process: ProcessId,
    settings: ElectionSettings,
    #[serde(rename = "part")]
    role: ElectionRole,
    leadership: Option<Leadership>,
    /// Time of the leader's last recorded sign of life.
    #[serde(rename = "leader_heard_ms")]
    leader_contact_ms: u64,
    /// Time of the last recorded answer of the store to the leader.
    leader_store_ms: u64,
    /// Send time of this coordinator's latest answered store call.
    store_answered_ms: Option<u64>,
    /// Send time of the latest call whose answer showed that no other coordinator had replaced this leader.
    confirmed_ms: Option<u64>,
    /// Whether the store refused or aborted the last call.
    store_is_failing: bool,
    /// Start of the period in which the store answers this follower but not the leader, or another coordinator but not
    /// this leader.
    imbalance_since_ms: Option<u64>,
    retry_at_ms: u64,
    peers: BTreeMap<ProcessId, Peer>,
    is_ending: bool,
    timer_lag: TimerLag,
    /// Time at which this leader began to plan, if it does.
    plans_since_ms: Option<u64>,
    /// Time at which this coordinator last stepped down or observed that a leader did.
    stepped_down_ms: Option<u64>,
    /// Epoch of the latest leadership of another coordinator that is known to have stepped down.
    stepped_down_epoch: Option<Epoch>,
    /// Time up to which this coordinator waits longer before a takeover, because it was too slow as the leader.
    slow_until_ms: u64,
}

impl LeaderElection {
    /// Creates the election state of a follower without a recorded leader.
    pub fn new(process: ProcessId, settings: ElectionSettings, now_ms: u64) -> Self {
        Self {
            process,
            settings,
            role: ElectionRole::Follower,
            leadership: None,
            leader_contact_ms: now_ms,
            leader_store_ms: now_ms,
            store_answered_ms: None,
            confirmed_ms: None,
            store_is_failing: false,
            imbalance_since_ms: None,
            retry_at_ms: 0,
            peers: BTreeMap::new(),
            is_ending: false,
            timer_lag: TimerLag::default(),
            plans_since_ms: None,
            stepped_down_ms: None,
            stepped_down_epoch: None,
            slow_until_ms: 0,
        }
    }

    /// Returns the role of this coordinator.
    pub fn role(&self) -> ElectionRole {
        self.role
    }

    /// Returns the newest recorded leadership.
    pub fn leadership(&self) -> Option<&Leadership> {
        self.leadership.as_ref()
    }

    /// Returns the time since the store last answered this coordinator, or `u64::MAX` if it never did.
    pub fn store_age_ms(&self, now_ms: u64) -> u64 {
        self.store_answered_ms.map_or(u64::MAX, |at| now_ms.saturating_sub(at))
    }

    /// Returns the time since the leader's last sign of life and the time since the store last answered it.
    pub fn leader_ages_ms(&self, now_ms: u64) -> (u64, u64) {
        match self.role {
            ElectionRole::Leader => (0, self.store_age_ms(now_ms)),
            ElectionRole::Follower | ElectionRole::Candidate => (
                now_ms.saturating_sub(self.leader_contact_ms),
                now_ms.saturating_sub(self.leader_store_ms),
            ),
        }
    }

    /// Records that the store answered a call that was sent at `sent_ms`.
    pub fn store_answered(&mut self, sent_ms: u64) {
        self.store_answered_ms = Some(self.store_answered_ms.map_or(sent_ms, |at| at.max(sent_ms)));
    }

    /// Records that the answer to a call that was sent at `sent_ms` showed no newer leadership than the recorded one. The
    /// answer may have waited in a socket while the machine was suspended, so only the send time counts.
    pub fn confirm_leadership(&mut self, sent_ms: u64) {
        self.confirmed_ms = self.confirmed_ms.max(Some(sent_ms));
    }

    /// Returns the time since this leader was certainly not replaced, or `u64::MAX` if it does not lead.
    pub fn confirmation_age_ms(&self, now_ms: u64) -> u64 {
        let confirmed_ms = self.confirmed_ms.filter(|_| self.role == ElectionRole::Leader);
        confirmed_ms.map_or(u64::MAX, |at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Records whether the last store call failed.
    pub fn set_store_failing(&mut self, is_failing: bool) {
        self.store_is_failing = is_failing;
    }

    /// Records a tick of this coordinator's timer, which was sent at `sent_ms` and is handled now.
    pub fn on_tick(&mut self, now_ms: u64, sent_ms: u64) {
        self.timer_lag.record(now_ms, sent_ms);
    }

    /// Returns how late the latest ticks of this coordinator's timer were.
    pub fn timer_lag(&self) -> &TimerLag {
        &self.timer_lag
    }

    /// Records that this leader has restored its state and begins to plan.
    pub fn on_restored(&mut self, now_ms: u64) {
        self.plans_since_ms = Some(now_ms);
    }

    /// Withdraws this coordinator from the election because its process is ending.
    pub fn stop_candidacy(&mut self) {
        self.is_ending = true;
    }

    /// Records the gossip of another coordinator. Returns true if it contains a newer leadership.
    pub fn on_gossip(&mut self, now_ms: u64, gossip: &Gossip) -> bool {
        let peer = Peer {
            last_contact_ms: now_ms,
            store_age_ms: gossip.store_age_ms,
            store_is_failing: gossip.store_is_failing,
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
            // The leader stepped down because its process is ending or too slow, or the store refuses its calls.
            let is_first = self.stepped_down_epoch != Some(leadership.epoch);
            if is_first || !self.settings.has_uneven_machines {
                self.leader_contact_ms = now_ms.saturating_sub(self.settings.silence_ms);
            }
            if is_first {
                (self.stepped_down_epoch, self.stepped_down_ms) =
                    (Some(leadership.epoch), Some(now_ms));
            }
            return is_newer;
        }
        let has_stepped_down =
            self.settings.has_uneven_machines && self.stepped_down_epoch == Some(leadership.epoch);
        if !has_stepped_down {
            let contact_ms = now_ms.saturating_sub(gossip.leader_contact_age_ms);
            self.leader_contact_ms = self.leader_contact_ms.max(contact_ms);
        }
        let store_ms = now_ms.saturating_sub(gossip.leader_store_age_ms);
        self.leader_store_ms = self.leader_store_ms.max(store_ms);
        is_newer
    }

    /// Records a leadership reported by the store or another process. Returns true if it is newer than the last one.
    pub fn observe_leadership(&mut self, now_ms: u64, leadership: &Leadership) -> bool {
        if self.leadership.as_ref().is_some_and(|current| current.epoch >= leadership.epoch) {
            return false;
        }
        self.leadership = Some(leadership.clone());
        (self.leader_contact_ms, self.leader_store_ms) = (now_ms, now_ms);
        if self.role == ElectionRole::Leader && leadership.leader != self.process {
            self.role = ElectionRole::Follower;
        }
        true
    }

    /// Records that the connection to a coordinator was closed by the peer or could not be established.
    pub fn on_peer_disconnected(&mut self, now_ms: u64, peer: &ProcessId) {
        self.peers.remove(peer);
        let is_leader = self.leadership.as_ref().is_some_and(|current| current.leader == *peer);
        if is_leader && self.role == ElectionRole::Follower {
            // A closed connection suggests that the leader died, but it may also have been reset. The leader gets a
            // third of the silence limit, one gossip interval, to report itself.
            let latest_contact_ms = now_ms.saturating_sub(self.settings.silence_ms * 2 / 3);
            self.leader_contact_ms = self.leader_contact_ms.min(latest_contact_ms);
        }
    }

    /// Records that this coordinator has replaced the leader.
    pub fn on_elected(&mut self, now_ms: u64, leadership: Leadership) {
        self.role = ElectionRole::Leader;
        self.leadership = Some(leadership);
        self.leader_contact_ms = now_ms;
        self.leader_store_ms = now_ms;
        self.plans_since_ms = None;
        self.confirmed_ms = None;
    }

    /// Records a failed attempt to replace the leader. `current` is the leadership found in the store, if it was read.
    pub fn on_takeover_failed(&mut self, now_ms: u64, current: Option<&Leadership>) {
        self.role = ElectionRole::Follower;
        self.retry_at_ms = now_ms + self.settings.retry_ms;
        if let Some(current) = current {
            self.observe_leadership(now_ms, current);
        }
    }

    /// Makes this coordinator a follower that waits for `silence_ms` before it tries to lead again.
    pub fn step_down(&mut self, now_ms: u64) {
        self.role = ElectionRole::Follower;
        self.leader_contact_ms = now_ms;
        self.leader_store_ms = now_ms;
        self.retry_at_ms = now_ms + self.settings.silence_ms;
        self.stepped_down_ms = Some(now_ms);
    }

    /// Makes this coordinator wait longer than others before its next takeover, because it was too slow as the leader.
    pub fn mark_slow(&mut self, now_ms: u64) {
        self.slow_until_ms = now_ms + HAND_OVER_INTERVAL_MS;
    }

    /// Returns the next action of this coordinator.
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
                let is_store_silent = self.store_age_ms(now_ms) >= limit_ms;
                let is_cut_off = is_store_silent && self.store_answered_another();
                if self.imbalance_persisted(now_ms, is_cut_off) {
                    return ElectionStep::StepDown(
                        "the store answers another coordinator but not this one",
                    );
                }
                self.decide_hand_over(now_ms).map_or(ElectionStep::Stay, ElectionStep::HandOver)
            }
            ElectionRole::Follower => self.decide_as_follower(now_ms),
        }
    }

    fn decide_as_follower(&mut self, now_ms: u64) -> ElectionStep {
        // Before the first store answer, a coordinator that was just restarted cannot rule out a live leader.
        if self.is_ending || now_ms < self.retry_at_ms || self.store_answered_ms.is_none() {
            return ElectionStep::Stay;
        }
        // A leader that was restarted under the same process id has lost its leadership.
        let was_this_process =
            self.leadership.as_ref().is_some_and(|current| current.leader == self.process);
        let has_no_leader = self.leadership.is_none() || was_this_process;
        let stagger_ms =
            self.rank(now_ms) * self.settings.stagger_ms + self.machine_wait_ms(now_ms);
        let silence_ms = if has_no_leader { 0 } else { self.settings.silence_ms };
        let is_silent = now_ms.saturating_sub(self.leader_contact_ms) >= silence_ms + stagger_ms;
        let is_cut_off = now_ms.saturating_sub(self.leader_store_ms)
            >= self.settings.store_silence_ms + stagger_ms
            && self
                .store_answered_ms
                .is_some_and(|at_ms| at_ms > self.leader_store_ms + STORE_ANSWER_LEAD_MS);
        let is_cut_off = self.imbalance_persisted(now_ms, is_cut_off);
        if !is_silent && !is_cut_off {
            return ElectionStep::Stay;
        }
        self.role = ElectionRole::Candidate;
        self.imbalance_since_ms = None;
        ElectionStep::TakeOver
    }

    /// Returns the additional wait of this candidate because of its machine, or because it was too slow as the leader.
    pub fn machine_wait_ms(&self, now_ms: u64) -> u64 {
        match now_ms < self.slow_until_ms {
            true => self.settings.machine_wait_ms.max(SLOW_LEADER_WAIT_MS),
            false => self.settings.machine_wait_ms,
        }
    }

    fn decide_hand_over(&self, now_ms: u64) -> Option<HandOver> {
        let plans_since_ms = self.plans_since_ms.filter(|_| self.settings.has_uneven_machines)?;
        let is_live = |peer: &&Peer| {
            now_ms.saturating_sub(peer.last_contact_ms) < self.settings.silence_ms
                && !peer.is_ending
                && !peer.store_is_failing
        };
        let successors = self.peers.values().filter(is_live).map(|peer| Successor {
            store_age_ms: now_ms
                .saturating_sub(peer.last_contact_ms)
                .saturating_add(peer.store_age_ms),
        });
        decide_hand_over(now_ms, plans_since_ms, self.stepped_down_ms, &self.timer_lag, successors)
    }

    /// Returns whether an imbalance has persisted for [`MIN_IMBALANCE_MS`]. A short one is normal: after an outage for
    /// all coordinators, they reach the store again one after another.
    fn imbalance_persisted(&mut self, now_ms: u64, is_imbalanced: bool) -> bool {
        if !is_imbalanced {
            self.imbalance_since_ms = None;
            return false;
        }
        let since_ms = *self.imbalance_since_ms.get_or_insert(now_ms);
        now_ms.saturating_sub(since_ms) >= MIN_IMBALANCE_MS
    }

    /// Returns whether the store answered another coordinator more than [`STORE_ANSWER_LEAD_MS`] later than this one.
    fn store_answered_another(&self) -> bool {
        let this_store_ms = self.store_answered_ms.unwrap_or_default();
        self.peers.values().any(|peer| {
            let answered_ms = peer.last_contact_ms.saturating_sub(peer.store_age_ms);
            answered_ms > this_store_ms + STORE_ANSWER_LEAD_MS && !peer.is_ending
        })
    }

    /// Counts the live coordinators, other than the leader, whose process id sorts before this one's.
    fn rank(&self, now_ms: u64) -> u64 {
        let leader = self.leadership.as_ref().map(|current| &current.leader);
        let is_alive = |peer: &&Peer| {
            now_ms.saturating_sub(peer.last_contact_ms) < self.settings.silence_ms
                && !peer.is_ending
        };
        let earlier =
            self.peers.iter().filter(|(id, _)| **id < self.process && Some(*id) != leader);
        earlier.filter(|(_, peer)| is_alive(peer)).count() as u64
    }
}
