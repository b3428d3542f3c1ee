//! The record of a run: what was sent, answered and run, with the time in seconds.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
    violations: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default(), violations: Arc::default() }
    }

    pub fn add(&self, line: &str) {
        let at_s = self.started.elapsed().as_secs_f64();
        self.lines.lock().unwrap().push(format!("{at_s:8.3} {line}"));
    }

    /// Adds a line that says that a rule was broken.
    pub fn broken(&self, line: &str) {
        self.add(&format!("BROKEN {line}"));
        self.violations.lock().unwrap().push(line.to_owned());
    }

    pub fn violations(&self) -> Vec<String> {
        self.violations.lock().unwrap().clone()
    }

    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        std::fs::write(path, self.lines.lock().unwrap().join("\n") + "\n")
    }
}
