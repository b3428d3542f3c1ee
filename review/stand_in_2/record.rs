//! What was sent, answered and run, written to a file as it happens.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

struct State {
    file: File,
    /// Start of each run, by task: time in milliseconds, runner and number.
    starts: BTreeMap<String, Vec<(u64, String, u32)>>,
    /// Ends `done` that were taken note of, by task, with the time.
    done: BTreeMap<String, u64>,
}

#[derive(Clone)]
pub struct Record {
    began: Instant,
    state: Arc<Mutex<State>>,
    is_detailed: bool,
}

impl Record {
    /// Creates the file. A record without details leaves out the lines of single tasks.
    pub fn create(path: &Path, is_detailed: bool) -> std::io::Result<Self> {
        let state =
            State { file: File::create(path)?, starts: BTreeMap::new(), done: BTreeMap::new() };
        Ok(Self { began: Instant::now(), state: Arc::new(Mutex::new(state)), is_detailed })
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let now_ms = self.now_ms();
        let mut state = self.state.lock().unwrap();
        let _ = writeln!(state.file, "{:>8.3} s  {}", now_ms as f64 / 1_000.0, line.as_ref());
    }

    pub fn started(&self, runner: &str, task: &str, run: u32) {
        if self.is_detailed {
            self.add(format!("runner {runner} starts {task} run {run}"));
        }
        let now_ms = self.now_ms();
        let mut state = self.state.lock().unwrap();
        let start = (now_ms, runner.to_owned(), run);
        state.starts.entry(task.to_owned()).or_default().push(start);
    }

    pub fn ended(&self, runner: &str, task: &str, run: u32, how: &str) {
        if self.is_detailed {
            self.add(format!("runner {runner} ends {task} run {run}: {how}"));
        }
    }

    pub fn acknowledged(&self, task: &str, run: u32, how: &str) {
        if self.is_detailed {
            self.add(format!("end of {task} run {run} ({how}) is taken note of"));
        }
        if how == "done" {
            let now_ms = self.now_ms();
            self.state.lock().unwrap().done.entry(task.to_owned()).or_insert(now_ms);
        }
    }

    /// Returns the number of tasks of a job that have started since a time.
    pub fn started_since(&self, job: &str, since_ms: u64) -> usize {
        let state = self.state.lock().unwrap();
        let has_started = |starts: &Vec<(u64, String, u32)>| starts.iter().any(|s| s.0 >= since_ms);
        let of_job = state.starts.iter().filter(|(task, _)| task.starts_with(job));
        of_job.filter(|(_, starts)| has_started(starts)).count()
    }

    /// Returns the number of tasks of a job whose end `done` was taken note of.
    pub fn done_of(&self, job: &str) -> usize {
        self.state.lock().unwrap().done.keys().filter(|task| task.starts_with(job)).count()
    }
}
