//! Conversion of the scheduler's outputs to messages to members and changes of rows.

use rand::Rng;

use super::{JobChange, Leader};
use crate::membership::MembersInput;
use crate::prelude::*;
use crate::scheduler::{self, Output};
use crate::wire::LeaderMessage;

/// Time for which members hold a reservation, in milliseconds. It covers a slow write of the intent to the table.
const RESERVATION_HOLD_MS: u32 = 10_000;

impl Leader {
    /// Passes an input to the scheduler and applies its outputs.
    pub(super) fn schedule<R>(&mut self, now_ms: u64, input: &scheduler::Input, random: &mut R)
    where
        R: Rng,
    {
        for output in self.scheduler.handle(now_ms, input, random) {
            self.apply_scheduler_output(now_ms, output);
        }
    }

    fn apply_scheduler_output(&mut self, now_ms: u64, output: Output) {
        match output {
            Output::Reserve { gang, job, share } => {
                self.shares.add(&gang, &share.worker, &share.tasks);
                let worker = share.worker.clone();
                let message =
                    LeaderMessage::Reserve { gang, job, share, hold_ms: RESERVATION_HOLD_MS };
                self.outbox.add(now_ms, &worker, message, Vec::new());
            }
            Output::Release { gang, worker } => {
                self.outbox.add(now_ms, &worker, LeaderMessage::Release { gang }, Vec::new());
            }
            Output::WriteIntent { gang } => {
                self.changes.add(&gang.job, JobChange::Intent { attempt: gang.number });
            }
            Output::Start { gang, worker, saved_ms } => {
                let assigned =
                    MembersInput::GangAssigned { gang: gang.clone(), worker: worker.clone() };
                self.members.handle(now_ms, &assigned);
                // The permit is filled in each time the message is sent.
                let start = LeaderMessage::Start { gang, saved_ms, sequence: 0, permit_ms: 0 };
                self.outbox.add(now_ms, &worker, start, Vec::new());
            }
            Output::Checkpoint { gang, worker } => {
                self.outbox.add(now_ms, &worker, LeaderMessage::Checkpoint { gang }, Vec::new());
            }
            Output::Stop { gang, worker } => self.stop(now_ms, gang, &worker),
            Output::Fence { worker } => {
                self.outbox.remove_worker(&worker);
                self.members.handle(now_ms, &MembersInput::Fence { worker: worker.clone() });
                self.outbox.add(now_ms, &worker, LeaderMessage::Fence, Vec::new());
            }
            Output::Probe { worker } => {
                self.outbox.add(now_ms, &worker, LeaderMessage::Probe, Vec::new());
            }
            Output::WriteQueued { gang, saved_ms } => {
                let attempt = gang.number;
                self.changes.add(&gang.job, JobChange::Queued { attempt, saved_ms });
                self.close_gang(now_ms, gang);
            }
            Output::WriteEnd { job, end } => {
                for gang in self.shares.gangs_of(&job) {
                    self.close_gang(now_ms, gang);
                }
                self.changes.add(&job, JobChange::Ended { end });
            }
        }
    }

    pub(super) fn stop(&mut self, now_ms: u64, gang: GangId, worker: &WorkerId) {
        let tasks = self.shares.open_tasks(&gang, worker);
        self.outbox.add(now_ms, worker, LeaderMessage::Stop { gang }, tasks);
    }

    /// Removes the parts of a gang that has ended.
    fn close_gang(&mut self, now_ms: u64, gang: GangId) {
        self.shares.remove_gang(&gang);
        self.members.handle(now_ms, &MembersInput::GangEnded { gang });
    }
}
