//! Outbox of a leader, which repeats messages until a member answers.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::wire::{LeaderMessage, MemberMessage};

/// Delay in ms before the first repetition of an unanswered message; it doubles with each further one.
const INITIAL_REPEAT_DELAY_MS: u64 = 250;
/// Longest delay in ms between two repetitions.
const MAX_REPEAT_DELAY_MS: u64 = 2_000;

/// Unanswered messages of a leader.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outbox {
    pending: Vec<PendingMessage>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct PendingMessage {
    worker: WorkerId,
    message: LeaderMessage,
    /// Tasks that have not ended yet; a stop counts as answered once it is empty.
    tasks: Vec<u32>,
    next_ms: u64,
    delay_ms: u64,
    until_ms: Option<u64>,
}

impl Outbox {
    /// Adds a message. It replaces unanswered messages that it makes obsolete, such as a start that is followed by a
    /// stop.
    pub fn add(&mut self, now_ms: u64, worker: &WorkerId, message: LeaderMessage, tasks: Vec<u32>) {
        self.pending.retain(|p| &p.worker != worker || !replaces(&message, &p.message));
        let until_ms = match &message {
            LeaderMessage::Reserve { hold_ms, .. } => Some(now_ms + u64::from(*hold_ms)),
            _ => None,
        };
        let worker = worker.clone();
        let delay_ms = INITIAL_REPEAT_DELAY_MS;
        self.pending.push(PendingMessage {
            worker,
            message,
            tasks,
            next_ms: now_ms,
            delay_ms,
            until_ms,
        });
    }

    /// Removes the messages to which `answer` is the answer of a member.
    pub fn remove_answered(&mut self, worker: &WorkerId, answer: &MemberMessage) {
        for pending in self.pending.iter_mut().filter(|pending| &pending.worker == worker) {
            if let MemberMessage::TaskEnded { gang, task, .. } = answer
                && gang_of(&pending.message) == Some(gang)
            {
                pending.tasks.retain(|pending_task| pending_task != task);
            }
        }
        self.pending.retain(|pending| &pending.worker != worker || !pending.is_answered(answer));
    }

    /// Removes all messages to a member that was lost or has a new incarnation.
    pub fn remove_worker(&mut self, worker: &WorkerId) {
        self.pending.retain(|pending| &pending.worker != worker);
    }

    /// Returns the messages that are due, and schedules their next repetition.
    pub fn due(&mut self, now_ms: u64) -> Vec<(WorkerId, LeaderMessage)> {
        self.pending.retain(|pending| pending.until_ms.is_none_or(|until_ms| now_ms < until_ms));
        let mut due = Vec::new();
        for pending in self.pending.iter_mut().filter(|pending| pending.next_ms <= now_ms) {
            pending.next_ms = now_ms + pending.delay_ms;
            pending.delay_ms = (pending.delay_ms * 2).min(MAX_REPEAT_DELAY_MS);
            due.push((pending.worker.clone(), pending.message.clone()));
        }
        due
    }

    /// Returns the number of unanswered messages.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether all messages were answered.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

impl PendingMessage {
    fn is_answered(&self, answer: &MemberMessage) -> bool {
        let gang = gang_of(&self.message);
        match (&self.message, answer) {
            (LeaderMessage::Reserve { .. }, MemberMessage::Reserved { gang: id, .. })
            | (LeaderMessage::Release { .. }, MemberMessage::Released { gang: id, .. })
            | (LeaderMessage::Start { .. }, MemberMessage::Started { gang: id, .. })
            | (LeaderMessage::Checkpoint { .. }, MemberMessage::Checkpointed { gang: id, .. }) => {
                gang == Some(id)
            }
            (LeaderMessage::Probe, MemberMessage::Probed { .. }) => true,
            (LeaderMessage::Stop { .. }, MemberMessage::TaskEnded { gang: id, .. }) => {
                gang == Some(id) && self.tasks.is_empty()
            }
            (
                LeaderMessage::Release { .. }
                | LeaderMessage::Start { .. }
                | LeaderMessage::Checkpoint { .. },
                MemberMessage::TaskEnded { gang: id, .. },
            )
            | (_, MemberMessage::NotStarted { gang: id, .. }) => gang == Some(id),
            _ => false,
        }
    }
}

fn gang_of(message: &LeaderMessage) -> Option<&GangId> {
    match message {
        LeaderMessage::Reserve { gang, .. }
        | LeaderMessage::Release { gang }
        | LeaderMessage::Start { gang, .. }
        | LeaderMessage::Checkpoint { gang }
        | LeaderMessage::Stop { gang } => Some(gang),
        _ => None,
    }
}

/// Returns whether a new message makes an unanswered message to the same member obsolete.
fn replaces(new: &LeaderMessage, old: &LeaderMessage) -> bool {
    match (new, old) {
        (LeaderMessage::Probe, LeaderMessage::Probe) => true,
        (LeaderMessage::Checkpoint { gang }, LeaderMessage::Checkpoint { gang: other }) => {
            gang == other
        }
        (LeaderMessage::Checkpoint { .. }, _) => false,
        _ => gang_of(new).is_some() && gang_of(new) == gang_of(old),
    }
}
