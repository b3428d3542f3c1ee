//! Describes jobs for the log.

use crate::workflow::{JobRecord, StepSpec};

/// Maximum number of steps of a job that its log line describes, which bounds the length of the line.
const MAX_DESCRIBED_STEPS: usize = 6;

/// Describes the requirements of a job for the log.
pub(super) fn describe(record: &JobRecord) -> String {
    let step = |step: &StepSpec| {
        let mut text = format!(
            "{} tasks of {} millicores, {} MB, {} accelerators, about {} ms",
            step.tasks,
            step.need.cores_milli,
            step.need.memory_mb,
            step.need.accelerators,
            step.estimate_ms
        );
        for (applies, what) in [
            (step.gang, "gang"),
            (step.same_rack, "same rack"),
            (step.data_rack.is_some(), "data in a rack"),
            (step.checkpointable, "checkpointable"),
            (step.speculative, "speculative"),
        ] {
            if applies {
                text.push_str(", ");
                text.push_str(what);
            }
        }
        text
    };
    let mut texts: Vec<String> =
        record.spec.steps.iter().take(MAX_DESCRIBED_STEPS).map(step).collect();
    if let Some(schedule) = record.spec.schedule {
        texts.push(format!(
            "{} occurrences, one every {} ms",
            schedule.occurrences, schedule.interval_ms
        ));
    }
    texts.join("; ")
}
