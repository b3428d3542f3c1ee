//! Tests of jobs of steps.

use proptest::prelude::*;
use test_case::test_case;

use super::*;
use crate::prelude::*;

fn spec(steps: Vec<StepSpec>) -> WorkflowSpec {
    WorkflowSpec { payload: String::new(), steps, schedule: None }
}

fn step(tasks: u32, after: &[u16]) -> StepSpec {
    StepSpec { tasks, after: after.to_vec(), ..StepSpec::default() }
}

/// Guards against jobs that could never be done or whose state does not fit a row.
#[test_case(spec(vec![]); "no step")]
#[test_case(spec(vec![step(0, &[])]); "step without tasks")]
#[test_case(spec(vec![step(1, &[0])]); "step that waits for itself")]
#[test_case(spec(vec![step(1, &[1]), step(1, &[])]); "step that waits for a later one")]
#[test_case(spec(vec![step(MAX_TASKS as u32, &[]), step(1, &[0])]); "too many tasks")]
#[test_case(spec(vec![step(1, &[]); MAX_STEPS + 1]); "too many steps")]
#[test_case(
    WorkflowSpec {
        schedule: Some(Schedule { first_due_ms: 0, interval_ms: 1, occurrences: MAX_OCCURRENCES + 1 }),
        ..spec(vec![step(1, &[])])
    };
    "too many occurrences"
)]
fn a_job_that_cannot_be_run_is_refused(spec: WorkflowSpec) {
    assert!(spec.check().is_err());
}

/// Guards against a state that grows beyond the platform's rows of 64 KiB.
#[test]
fn the_largest_state_fits_a_row() {
    let incarnation = WorkerIncarnation {
        worker: WorkerId::from("w".repeat(40).as_str()),
        born_ms: u64::MAX / 2,
    };
    let task = TaskRecord {
        attempt: 1_000,
        failures: 1_000,
        phase: TaskPhase::Placed(incarnation),
        checkpoint: None,
    };
    let record = OccurrenceRecord { tasks: vec![task; MAX_TASKS], ..OccurrenceRecord::default() };

    assert!(encode(&record).len() <= 64 * 1_024);
}

/// Guards against a ratio by zero and against a task that fits with one resource missing.
#[test]
fn a_need_fits_as_often_as_its_scarcest_resource_allows() {
    let room = Resources { cores_milli: 8_000, memory_mb: 100, accelerators: 2 };
    let need = Resources { cores_milli: 2_000, memory_mb: 10, accelerators: 0 };

    assert_eq!(room.times(&need), 4);
    assert_eq!(room.times(&Resources { accelerators: 3, ..need }), 0);
    assert_eq!(room.times(&Resources::default()), u32::MAX);
}

proptest! {
    /// Guards against names of tasks that are read as those of other tasks.
    #[test]
    fn a_task_is_read_as_it_is_written(
        job in "[0-9a-f]{16}", occurrence: u32, step: u16, index: u32,
    ) {
        let task = TaskId { job: JobId::from(job.as_str()), occurrence, step, index };

        prop_assert_eq!(task.to_string().parse::<TaskId>(), Ok(task));
    }

    /// Guards against texts and bytes from outside that end the process.
    #[test]
    fn anything_else_is_refused(text: String, bytes: Vec<u8>) {
        let _ = text.parse::<TaskId>();
        let _ = decode::<JobRecord>(&bytes);
        let _ = decode::<OccurrenceRecord>(&bytes);
    }
}
