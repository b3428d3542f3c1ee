//! The record of a run: what was sent, answered and run, with the time since the start.

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<std::fs::File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = std::fs::File::create(path).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn line(&self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {line}");
    }
}
