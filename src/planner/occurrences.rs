//! Creates the tasks of the occurrences of a job.

use super::state::{Job, Occurrence, Task};

impl Job {
    /// Creates the tasks of occurrences that are due, the earliest first.
    ///
    /// An occurrence has a stored row only once one of its tasks was placed, and a later one may be placed before an
    /// earlier one. After a takeover all missing ones are therefore created, also those before the last that has a row.
    pub fn create_due_occurrences(&mut self, wall_ms: u64) {
        let spec = &self.record.spec;
        while self.next_occurrence < spec.occurrences()
            && spec.due_ms(self.next_occurrence) <= wall_ms
        {
            let tasks = || vec![Task::default(); spec.tasks_per_occurrence()];
            self.occurrences
                .entry(self.next_occurrence)
                .or_insert_with(|| Occurrence { tasks: tasks(), ..Occurrence::default() });
            self.next_occurrence += 1;
        }
    }
}
