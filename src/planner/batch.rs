//! Decides what is written to the store, and in which transactions.

use std::collections::BTreeSet;

use super::Planner;
use super::message::{
    AttemptEnd, Batch, JobProgress, Output, PlannerTime, RecordChange, WorkerOrder,
};
use super::state::Job;
use crate::prelude::*;
use crate::workflow::{TaskId, part_of};

/// Maximum number of rows that one batch writes or removes. The platform allows at most 100 entries per transaction.
const MAX_BATCH_ROWS: usize = 80;
/// Maximum size of the records in one batch, in bytes. The platform allows at most 1 MB per transaction, in which a
/// record takes a third more than its size.
const MAX_BATCH_BYTES: usize = 700_000;
/// Time after which the state of a job that the store refused is written again. The store may have refused it for a
/// reason that has passed.
const RETRY_WITHHELD_MS: u64 = 10_000;

/// Number of rows and bytes of a batch.
#[derive(Clone, Copy, Debug, Default)]
struct BatchSize {
    rows: usize,
    bytes: usize,
}

impl BatchSize {
    fn of(change: &RecordChange) -> Self {
        match change {
            RecordChange::Occurrence { record, obsolete_parts, .. } => {
                Self { rows: 1 + obsolete_parts.len(), bytes: record.len() }
            }
            RecordChange::Remove { occurrences, parts, .. } => {
                Self { rows: occurrences.len() * usize::from(*parts), bytes: 0 }
            }
        }
    }

    fn plus(self, other: Self) -> Self {
        Self { rows: self.rows + other.rows, bytes: self.bytes + other.bytes }
    }

    fn is_allowed(self) -> bool {
        self.rows <= MAX_BATCH_ROWS && self.bytes <= MAX_BATCH_BYTES
    }
}

impl Planner {
    /// Marks the state of a task as changed.
    pub(super) fn mark_changed(&mut self, task: &TaskId) {
        if let Some(position) = self.jobs.get(&task.job).and_then(|job| job.position(task)) {
            self.mark_part_changed(&task.job, task.occurrence, part_of(position));
        }
    }

    /// Marks the states of all members of a task's gang as changed.
    pub(super) fn mark_gang_changed(&mut self, task: &TaskId) {
        let members = self.jobs.get(&task.job).map(|job| job.members(task)).unwrap_or_default();
        for member in &members {
            self.mark_changed(member);
        }
    }

    pub(super) fn mark_part_changed(&mut self, job: &JobId, occurrence: u32, part: u16) {
        if !self.is_withheld(job) {
            self.changed.insert((job.clone(), occurrence, part));
        }
    }

    /// Marks the states of all tasks of an occurrence as changed.
    pub fn rewrite(&mut self, job: &JobId, occurrence: u32) {
        let parts = self.jobs.get(job).map_or(0, |state| state.part_count());
        for part in 0..parts {
            self.mark_part_changed(job, occurrence, part);
        }
    }

    /// Returns whether the store refused the state of a job, so that nothing that depends on it takes effect.
    pub(super) fn is_withheld(&self, job: &JobId) -> bool {
        self.jobs.get(job).is_some_and(|state| state.withheld_until_ms.is_some())
    }

    /// Returns the next changes to make durable, together with the effects that depend on them. Returns `None` if there
    /// is neither a change nor an effect.
    ///
    /// All changed parts of an occurrence are in one batch. Otherwise a new leader could read that one part of a gang is
    /// done and another one is not.
    pub fn take_batch(&mut self) -> Option<Batch> {
        let mut batch = Batch::default();
        let mut size = BatchSize::default();
        while let Some((job, occurrence, _)) = self.changed.first().cloned() {
            let is_alone = self.refused.contains(&(job.clone(), occurrence));
            if is_alone && !batch.changes.is_empty() {
                break;
            }
            let parts = self.changed_parts(&job, occurrence);
            let (changes, omitted) = self.changes_of(&job, occurrence, &parts);
            let added = changes.iter().map(BatchSize::of).fold(size, BatchSize::plus);
            if !batch.changes.is_empty() && !added.is_allowed() {
                break;
            }
            size = added;
            batch.changes.extend(changes);
            batch.omitted_checkpoints += omitted;
            for part in parts {
                self.changed.remove(&(job.clone(), occurrence, part));
            }
            if is_alone {
                self.refused.remove(&(job, occurrence));
                break;
            }
        }
        if batch.changes.is_empty() {
            batch.changes.extend(self.next_removal());
        }
        if self.changed.is_empty() {
            batch.effects = std::mem::take(&mut self.effects);
        }
        (!batch.changes.is_empty() || !batch.effects.is_empty()).then_some(batch)
    }

    fn changed_parts(&self, job: &JobId, occurrence: u32) -> Vec<u16> {
        let parts = (job.clone(), occurrence, 0)..=(job.clone(), occurrence, u16::MAX);
        self.changed.range(parts).map(|(_, _, part)| *part).collect()
    }

    /// Returns the changes that write parts of an occurrence, and the number of checkpoints that do not fit.
    fn changes_of(&self, id: &JobId, occurrence: u32, parts: &[u16]) -> (Vec<RecordChange>, usize) {
        let Some(job) = self.jobs.get(id) else {
            return (Vec::new(), 0);
        };
        let has_tasks =
            job.occurrences.get(&occurrence).is_some_and(|state| !state.tasks.is_empty());
        let mut omitted = 0;
        let mut changes = Vec::new();
        for part in parts {
            let is_first = *part == 0;
            if !has_tasks && !is_first {
                continue;
            }
            let (record, omitted_here) =
                job.record_of(occurrence, *part).encode_within(self.settings.record_limit_bytes);
            omitted += omitted_here;
            let obsolete_parts = if has_tasks { 0..0 } else { 1..job.part_count() };
            changes.push(RecordChange::Occurrence {
                job: id.clone(),
                occurrence,
                part: *part,
                record,
                obsolete_parts,
            });
        }
        (changes, omitted)
    }

    fn next_removal(&mut self) -> Option<RecordChange> {
        let (job, removal) =
            self.forgotten.iter_mut().find(|(_, removal)| removal.occurrences > 0)?;
        // The rows of the job and of its result are removed last, so that a new leader repeats an interrupted removal.
        let limit = (MAX_BATCH_ROWS / usize::from(removal.parts)).max(1) as u32;
        let first = removal.occurrences.saturating_sub(limit);
        let occurrences = first..std::mem::replace(&mut removal.occurrences, first);
        let is_complete = first == 0;
        let (job, parts) = (job.clone(), removal.parts);
        if is_complete {
            // A client that asks for a job which is in no coordinator's view reads its row, as that of a pending job.
            let queue = removal.queue.clone();
            self.effects.push(Output::Progress { job: job.clone(), queue, progress: None });
        }
        Some(RecordChange::Remove { job, occurrences, parts, is_complete })
    }

    /// Takes back a batch that the store has refused and would refuse again, such as one with a row that is too large.
    /// The changes of several occurrences are then tried one by one. A job whose own change is refused is withheld: it
    /// starts nothing, its result is not shown, and its ends are not acknowledged until the store accepts its state. All
    /// other jobs go on.
    ///
    /// Returns the job that is withheld now, if any, and outputs that need no durable change.
    pub fn take_back_refused(
        &mut self,
        now: PlannerTime,
        batch: Batch,
    ) -> (Option<JobId>, Vec<Output>) {
        let mut effects = batch.effects;
        effects.append(&mut self.effects);
        self.effects = effects;
        let mut occurrences = BTreeSet::new();
        for change in &batch.changes {
            match change {
                RecordChange::Occurrence { job, occurrence, part, .. } => {
                    self.changed.insert((job.clone(), *occurrence, *part));
                    occurrences.insert((job.clone(), *occurrence));
                }
                // The rows remain until the next leader removes them, and the job remains visible as long.
                RecordChange::Remove { job, .. } => {
                    self.forgotten.remove(job);
                    self.effects.retain(|effect| !effect.is_progress_of(job));
                }
            }
        }
        if occurrences.len() > 1 {
            self.refused.extend(occurrences);
            return (None, Vec::new());
        }
        let mut out = Vec::new();
        let job = occurrences.into_iter().next().map(|(job, _)| job);
        if let Some(job) = &job {
            self.withhold(now, job, &mut out);
        }
        (job, out)
    }

    fn withhold(&mut self, now: PlannerTime, id: &JobId, out: &mut Vec<Output>) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.withheld_until_ms = Some(now.steady_ms + RETRY_WITHHELD_MS);
        }
        self.changed.retain(|(job, _, _)| job != id);
        for effect in std::mem::take(&mut self.effects) {
            match effect {
                Output::Order(WorkerOrder::Start(order)) if order.task.job == *id => {
                    let attempt = (&order.task, order.attempt);
                    let incarnation = &order.incarnation;
                    self.attempt_ended(now, incarnation, attempt, AttemptEnd::Stopped, None, out);
                }
                effect if effect.is_progress_of(id) => {}
                // It may acknowledge ends of the job. It is repeated as far as it does not.
                Output::Order(WorkerOrder::AcknowledgeEnds { .. }) => {}
                other => self.effects.push(other),
            }
        }
    }

    /// Writes the states of withheld jobs again after a pause.
    pub(super) fn retry_withheld(&mut self, now: PlannerTime) {
        let is_due = |(_, job): &(&JobId, &Job)| {
            job.withheld_until_ms.is_some_and(|until_ms| now.steady_ms >= until_ms)
        };
        let due: Vec<JobId> = self.jobs.iter().filter(is_due).map(|(id, _)| id.clone()).collect();
        for id in due {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.withheld_until_ms = None;
            let occurrences: Vec<u32> = job.occurrences.keys().copied().collect();
            if let Some(result) = job.result {
                let (job, queue) = (id.clone(), job.record.queue.clone());
                let progress = Some(JobProgress::Finished(result));
                self.effects.push(Output::Progress { job, queue, progress });
            }
            for occurrence in occurrences {
                self.rewrite(&id, occurrence);
            }
        }
    }
}
