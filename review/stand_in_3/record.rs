//! The record of a run: what was sent, answered and run, with the time since the start.

use std::collections::BTreeSet;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<std::fs::File>>,
    began: Instant,
    /// Tasks with a run that ended `done` and whose end was taken note of.
    noted: Arc<Mutex<BTreeSet<String>>>,
    /// Starts of such tasks.
    repeated: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = std::fs::File::create(path).expect("the record can be written");
        let file = Arc::new(Mutex::new(file));
        Self { file, began: Instant::now(), noted: Arc::default(), repeated: Arc::default() }
    }

    pub fn line(&self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {line}");
    }

    /// Notes that the end `done` of a task is taken note of.
    pub fn note_done(&self, task: &str) {
        self.noted.lock().unwrap().insert(task.to_owned());
    }

    /// Notes a start, and whether the task was done before.
    pub fn note_start(&self, task: &str, run: u32, runner: &str) {
        if self.noted.lock().unwrap().contains(task) {
            let repeated = format!("task {task} run {run} on runner {runner}");
            self.repeated.lock().unwrap().push(repeated);
        }
    }

    /// Returns the starts of tasks that were done before.
    pub fn repeated(&self) -> Vec<String> {
        self.repeated.lock().unwrap().clone()
    }
}
