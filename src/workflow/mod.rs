//! Jobs that consist of steps of equal tasks, and the identifiers of their tasks. See docs/platform-deployment.md.

mod parts;
mod record;
mod spec;
mod task;
#[cfg(test)]
mod tests;

pub use parts::{AssembledRecord, MAX_PART_BYTES, StoredParts, part_count, part_of, part_range};
pub use record::{
    DecodeError, JobRecord, JobResult, OccurrenceRecord, TaskPhase, TaskRecord, decode, encode,
};
pub use spec::{
    MAX_OCCURRENCES, MAX_STEPS, MAX_TASKS, Resources, Schedule, SpecError, StepSpec, WorkflowSpec,
};
pub use task::{TaskId, TaskIdError, WorkerIncarnation};
