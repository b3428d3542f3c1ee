//! Writes log lines to standard output, bounded and without ever blocking.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;
use rustix::event::{PollFd, PollFlags, poll};

/// The longest line. A pipe that reports room takes this much (`PIPE_BUF`) without blocking.
const MAX_LINE_BYTES: usize = 4_096;
/// The lines a second that a process writes for a long time.
const LINES_PER_S: f64 = 400.0;
/// The lines that a process writes at once.
const BURST_LINES: f64 = 2_000.0;

/// The lines that this process left out since its start.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// Returns the number of log lines that this process left out since its start.
pub fn log_lines_left_out() -> u64 {
    LEFT_OUT.load(Ordering::Relaxed)
}

/// A log writer that leaves lines out rather than wait.
#[derive(Debug)]
pub struct LogOutput {
    budget: Mutex<LineBudget>,
}

/// How many lines may be written.
#[derive(Debug)]
pub struct LineBudget {
    lines: f64,
    counted_at: Instant,
    left_out: u64,
}

impl LineBudget {
    /// Creates a full budget.
    pub fn new(now: Instant) -> Self {
        Self { lines: BURST_LINES, counted_at: now, left_out: 0 }
    }

    /// Returns whether a line may be written, and counts it.
    pub fn take(&mut self, now: Instant) -> bool {
        let elapsed_s = now.saturating_duration_since(self.counted_at).as_secs_f64();
        self.lines = (self.lines + elapsed_s * LINES_PER_S).min(BURST_LINES);
        self.counted_at = now;
        if self.lines < 1.0 {
            self.leave_out();
            return false;
        }
        self.lines -= 1.0;
        true
    }

    /// Counts a line that could not be written.
    pub fn leave_out(&mut self) {
        LEFT_OUT.fetch_add(1, Ordering::Relaxed);
        self.left_out += 1;
    }

    /// Keeps lines that were left out for a later note.
    pub fn put_back(&mut self, left_out: u64) {
        self.left_out += left_out;
    }

    /// Returns the lines that were left out since the last call.
    pub fn take_left_out(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}

impl Default for LogOutput {
    fn default() -> Self {
        Self { budget: Mutex::new(LineBudget::new(Instant::now())) }
    }
}

impl LogOutput {
    fn write_line(&self, line: &[u8]) -> bool {
        let stdout = rustix::stdio::stdout();
        let mut output = [PollFd::new(&stdout, PollFlags::OUT)];
        let now = rustix::time::Timespec { tv_sec: 0, tv_nsec: 0 };
        let has_room = poll(&mut output, Some(&now)).is_ok_and(|ready| ready > 0)
            && output[0].revents().contains(PollFlags::OUT);
        has_room && rustix::io::write(stdout, line).is_ok_and(|written| written == line.len())
    }
}

impl LogWriter for LogOutput {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if !budget.take(Instant::now()) {
            return Ok(());
        }
        let mut line = Vec::with_capacity(512);
        flexi_logger::json_format(&mut line, now, record)?;
        line.push(b'\n');
        let left_out = budget.take_left_out();
        if left_out > 0 {
            let note = format!(
                "{{\"level\":\"WARN\",\"text\":\"log lines left out\",\"kv\":{{\"lines\":{left_out}}}}}\n"
            );
            line.extend_from_slice(note.as_bytes());
        }
        if line.len() > MAX_LINE_BYTES || !self.write_line(&line) {
            budget.put_back(left_out);
            budget.leave_out();
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}
