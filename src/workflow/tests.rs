//! Tests of job specifications, durable records and identifiers of tasks.

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

/// Guards against jobs that can never finish, and against jobs whose state does not fit into a row.
#[test_case(spec(vec![]); "no step")]
#[test_case(spec(vec![step(0, &[])]); "step without tasks")]
#[test_case(spec(vec![step(1, &[0])]); "step that depends on itself")]
#[test_case(spec(vec![step(1, &[1]), step(1, &[])]); "step that depends on a later one")]
#[test_case(spec(vec![step(MAX_TASKS as u32, &[]), step(1, &[0])]); "too many tasks")]
#[test_case(spec(vec![step(1, &[]); MAX_STEPS + 1]); "too many steps")]
#[test_case(
    WorkflowSpec {
        schedule: Some(Schedule { first_due_ms: 0, interval_ms: 1, occurrences: MAX_OCCURRENCES + 1 }),
        ..spec(vec![step(1, &[])])
    };
    "too many occurrences"
)]
fn spec_with_a_size_or_dependency_out_of_bounds_is_refused(spec: WorkflowSpec) {
    assert!(spec.check().is_err());
}

/// Guards against a state that exceeds the platform's maximum row size of 64 KiB.
#[test]
fn record_with_the_maximum_number_of_tasks_fits_a_row() {
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
    let record = OccurrenceRecord {
        tasks: vec![task; MAX_TASKS],
        failed_attempts: vec![1_000; MAX_TASKS],
        ..OccurrenceRecord::default()
    };

    assert!(record.encode().len() <= 64 * 1_024);
}

/// Guards against rows that processes of an earlier version wrote, or have to read, and that cannot be decoded.
#[test]
fn record_without_failed_attempts_has_the_earlier_format() {
    let mut record =
        OccurrenceRecord { tasks: vec![TaskRecord::default()], ..OccurrenceRecord::default() };
    assert_eq!(record.encode(), encode(&record));
    assert_eq!(OccurrenceRecord::decode(&encode(&record)).expect("a record"), record);

    record.failed_attempts = vec![3];
    let bytes = record.encode();

    assert_eq!(OccurrenceRecord::decode(&bytes).expect("a record"), record);
    let earlier: OccurrenceRecord = decode(&bytes).expect("the earlier version reads it too");
    assert_eq!(earlier.tasks, record.tasks);
}

/// Guards against a division by zero, and against a task that is counted as fitting although one resource is too small.
#[test]
fn fit_count_is_limited_by_the_scarcest_needed_resource() {
    let available = Resources { cores_milli: 8_000, memory_mb: 100, accelerators: 2 };
    let need = Resources { cores_milli: 2_000, memory_mb: 10, accelerators: 0 };

    assert_eq!(available.fit_count(&need), 4);
    assert_eq!(available.fit_count(&Resources { accelerators: 3, ..need }), 0);
    assert_eq!(available.fit_count(&Resources::default()), u32::MAX);
}

proptest! {
    /// Guards against a task identifier that is parsed as the identifier of another task.
    #[test]
    fn task_id_round_trips_through_its_text(
        job in "[0-9a-f]{16}", occurrence: u32, step: u16, index: u32,
    ) {
        let task = TaskId { job: JobId::from(job.as_str()), occurrence, step, index };

        prop_assert_eq!(task.to_string().parse::<TaskId>(), Ok(task));
    }

    /// Guards against a panic on malformed text or bytes from other processes.
    #[test]
    fn arbitrary_text_and_bytes_do_not_panic(text: String, bytes: Vec<u8>) {
        let _ = text.parse::<TaskId>();
        let _ = decode::<JobRecord>(&bytes);
        let _ = OccurrenceRecord::decode(&bytes);
    }
}
