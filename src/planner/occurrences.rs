//! Creates the tasks of the occurrences of a job.

use super::state::{Job, Occurrence, Task};
use crate::workflow::MAX_TASKS;

impl Job {
    /// Creates the tasks of occurrences that are due, the earliest first, as long as those that are not done have at most
    /// [`MAX_TASKS`] tasks or there is none. All of 10,000 occurrences may be due at once, and their tasks would exceed the
    /// memory of each coordinator that leads (docs/incidents/2026-12-05-large-schedule.md).
    ///
    /// An occurrence has a stored row only once one of its tasks was placed, and a later one may be placed before an
    /// earlier one. After a takeover all missing ones are therefore created, also those before the last that has a row.
    pub fn create_due_occurrences(&mut self, wall_ms: u64) {
        let spec = &self.record.spec;
        let is_due = |number| number < spec.occurrences() && spec.due_ms(number) <= wall_ms;
        if !is_due(self.next_occurrence) {
            return;
        }
        let tasks = spec.tasks_per_occurrence();
        let unfinished = self.occurrences.values().filter(|occurrence| !occurrence.done);
        let mut unfinished_tasks: usize = unfinished.map(|occurrence| occurrence.tasks.len()).sum();
        while is_due(self.next_occurrence) {
            if !self.occurrences.contains_key(&self.next_occurrence) {
                if unfinished_tasks > 0 && unfinished_tasks + tasks > MAX_TASKS {
                    return;
                }
                let tasks = vec![Task::default(); tasks];
                unfinished_tasks += tasks.len();
                let occurrence = Occurrence { tasks, ..Occurrence::default() };
                self.occurrences.insert(self.next_occurrence, occurrence);
            }
            self.next_occurrence += 1;
        }
    }
}
