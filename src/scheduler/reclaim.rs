//! Cells that gangs give back before their work is done.

use super::message::Output;
use super::state::Scheduler;
use super::work::{Leave, ShareState, Stage};
use crate::placement::JobKey;

/// The time that a task has to stop if no bundle says how long.
const DEFAULT_STOP_MS: u64 = 1_000;
/// The time that a task has to write a checkpoint if no bundle says how long.
const DEFAULT_CHECKPOINT_MS: u64 = 1_000;

impl Scheduler {
    /// Returns the time that a task has to stop.
    pub(crate) fn stop_ms(&self) -> u64 {
        self.limits().map_or(DEFAULT_STOP_MS, |limits| limits.reclaim_stop_ms)
    }

    /// Makes a gang leave its cells, after a checkpoint if it can write one.
    pub(crate) fn vacate(&mut self, now_ms: u64, key: JobKey, why: Leave, out: &mut Vec<Output>) {
        let checkpoint_ms =
            self.limits().map_or(DEFAULT_CHECKPOINT_MS, |limits| limits.reclaim_checkpoint_ms);
        let can_checkpoint = self.jobs[&key].spec.can_checkpoint;
        let gang = self.gang_mut(key);
        if gang.stage == Stage::Checkpointing {
            return;
        }
        if !can_checkpoint || !matches!(gang.stage, Stage::Running | Stage::Adopting) {
            self.leave(now_ms, key, why, out);
            return;
        }
        gang.leaves = gang.leaves.or(Some(why));
        gang.stage = Stage::Checkpointing;
        gang.deadline_ms = now_ms + checkpoint_ms;
        for share in gang.shares.iter_mut() {
            if share.state != ShareState::Ended {
                share.saved_ms = None;
            }
        }
        let gang = gang.clone();
        for share in gang.shares.iter().filter(|share| share.state != ShareState::Ended) {
            out.push(Output::Checkpoint {
                gang: gang.id.clone(),
                worker: self.worker_id(share.worker),
            });
        }
    }
}
