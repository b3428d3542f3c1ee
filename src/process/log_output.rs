//! Writes log lines to standard output at a limited rate and without blocking; drops lines that cannot be written.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;
use rustix::event::{PollFd, PollFlags, poll};

/// Largest size of a line in bytes, `PIPE_BUF`: a pipe that polls as writable accepts this much without blocking.
const MAX_LINE_BYTES: usize = 4_096;
/// Sustained rate of log lines per second.
const LINES_PER_S: f64 = 400.0;
/// Largest number of log lines in a burst.
const BURST_LINES: f64 = 2_000.0;

/// Number of log lines that this process dropped since its start.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of log lines that this process dropped since its start.
pub fn dropped_log_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Log writer that drops a line if the rate limit is reached or standard output is not writable.
#[derive(Debug)]
pub struct LogOutput {
    budget: Mutex<LineBudget>,
}

/// Token bucket for log lines, with a count of dropped lines.
#[derive(Debug)]
pub struct LineBudget {
    available_lines: f64,
    refilled_at: Instant,
    /// Dropped lines that no log line has reported yet.
    unreported_drops: u64,
}

impl LineBudget {
    /// Creates a full budget.
    pub fn new(now: Instant) -> Self {
        Self { available_lines: BURST_LINES, refilled_at: now, unreported_drops: 0 }
    }

    /// Returns whether a line may be written, and counts it as written or dropped.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        let elapsed_s = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.available_lines = (self.available_lines + elapsed_s * LINES_PER_S).min(BURST_LINES);
        self.refilled_at = now;
        if self.available_lines < 1.0 {
            self.record_drop();
            return false;
        }
        self.available_lines -= 1.0;
        true
    }

    /// Counts a dropped line.
    pub fn record_drop(&mut self) {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        self.unreported_drops += 1;
    }

    /// Adds dropped lines whose report could not be written, so that a later line reports them.
    pub fn restore_unreported_drops(&mut self, dropped: u64) {
        self.unreported_drops += dropped;
    }

    /// Returns the number of unreported dropped lines and resets it.
    pub fn take_unreported_drops(&mut self) -> u64 {
        std::mem::take(&mut self.unreported_drops)
    }
}

impl Default for LogOutput {
    fn default() -> Self {
        Self { budget: Mutex::new(LineBudget::new(Instant::now())) }
    }
}

impl LogOutput {
    /// Writes a line if standard output is writable, and returns whether all of it was written.
    fn write_line(&self, line: &[u8]) -> bool {
        let stdout = rustix::stdio::stdout();
        let mut output = [PollFd::new(&stdout, PollFlags::OUT)];
        let no_wait = rustix::time::Timespec { tv_sec: 0, tv_nsec: 0 };
        let is_writable = poll(&mut output, Some(&no_wait)).is_ok_and(|ready| ready > 0)
            && output[0].revents().contains(PollFlags::OUT);
        is_writable && rustix::io::write(stdout, line).is_ok_and(|written| written == line.len())
    }
}

impl LogWriter for LogOutput {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if !budget.try_acquire(Instant::now()) {
            return Ok(());
        }
        let mut line = Vec::with_capacity(512);
        flexi_logger::json_format(&mut line, now, record)?;
        line.push(b'\n');
        let dropped = budget.take_unreported_drops();
        if dropped > 0 {
            let report = format!(
                "{{\"level\":\"WARN\",\"text\":\"log lines dropped\",\"kv\":{{\"lines\":{dropped}}}}}\n"
            );
            line.extend_from_slice(report.as_bytes());
        }
        if line.len() > MAX_LINE_BYTES || !self.write_line(&line) {
            budget.restore_unreported_drops(dropped);
            budget.record_drop();
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}
