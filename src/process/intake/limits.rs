//! Derives the bounds of a process from the limits of its machine.

use rustix::process::{Resource, getrlimit};
use tokio::sync::Semaphore;

use crate::settings;

/// Environment variable with the memory of the process's machine in whole MB.
const MEMORY_VARIABLE: &str = "TEASELHALL_MEMORY_LIMIT_MB";
/// Environment variable with the number of descriptors that the process may have.
const DESCRIPTOR_VARIABLE: &str = "TEASELHALL_DESCRIPTOR_LIMIT";
/// Memory that is assumed if none is stated and the machine has more: other processes may share the machine.
const DEFAULT_MEMORY_MB: u64 = 256;
/// Descriptors that are assumed if neither the environment nor the operating system states a limit.
const DEFAULT_DESCRIPTORS: u64 = 1_024;
/// File in which the kernel states the memory of the machine.
const MEMORY_FILE: &str = "/proc/meminfo";
/// Descriptors that are reserved for files and for connections that the process opens itself.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Size to which the kernel's receive buffer of a client connection is set; the kernel doubles it for its own overhead.
pub(super) const RECEIVE_BUFFER_BYTES: u32 = 32 * 1_024;
/// Size to which the kernel's receive buffer of a connection from another process is set: 10 MB/s at a round trip of 10 ms.
pub(super) const INNER_RECEIVE_BUFFER_BYTES: u32 = 128 * 1_024;
/// Memory of one client connection: its receive buffer in the kernel, its read buffer and its task.
const CONNECTION_BYTES: u64 = 2 * RECEIVE_BUFFER_BYTES as u64 + 20 * 1_024;
/// Part of the memory that clients may use. The rest is for the process's own work: a leader with many jobs needs 60 MB.
const CLIENT_SHARE: u64 = 2;
/// Parts of the process's own memory, of which messages between processes that wait may take one in each direction.
const OWN_PARTS: u64 = 8;
/// Reserved descriptors that calls to the store may use.
const STORE_DESCRIPTORS: u64 = 100;
/// Memory of reading a row, relative to the row: the answer in base64, the row, and its decoded content.
const READ_FACTOR: usize = 3;
/// Rows that may be read at once on any machine.
const MIN_READS: usize = 4;
/// Connections that are allowed on any machine.
const MIN_CONNECTIONS: u64 = 16;
/// Bytes of bodies or frames that are allowed on any machine: a frame may have 2 MiB.
const MIN_BYTES: u64 = 2 * 1_024 * 1_024;

/// Limits of the machine of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory in MB.
    pub memory_mb: u64,
    /// Descriptors of the process.
    pub descriptors: u64,
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self { memory_mb: DEFAULT_MEMORY_MB, descriptors: DEFAULT_DESCRIPTORS }
    }
}

impl MachineLimits {
    /// Returns the limits that the environment states. For one that is not stated, what the operating system reports
    /// counts, with at most 256 MB of memory. An empty variable states none.
    ///
    /// # Errors
    ///
    /// [`settings::Error::Field`] with the name of a variable whose value is not a positive whole number.
    pub fn from_environment() -> settings::Result<Self> {
        Self::from_variables(|name| {
            std::env::var_os(name).map(|value| value.to_string_lossy().into_owned())
        })
    }

    /// Returns the limits that variables state, like [`Self::from_environment`].
    ///
    /// # Errors
    ///
    /// [`settings::Error::Field`] with the name of a variable whose value is not a positive whole number.
    pub fn from_variables<F>(variable: F) -> settings::Result<Self>
    where
        F: Fn(&'static str) -> Option<String>,
    {
        let stated = |name| positive_number(name, variable(name));
        Ok(Self {
            memory_mb: stated(MEMORY_VARIABLE)?.unwrap_or_else(assumed_memory_mb),
            descriptors: stated(DESCRIPTOR_VARIABLE)?.unwrap_or_else(assumed_descriptors),
        })
    }
}

fn positive_number(name: &'static str, text: Option<String>) -> settings::Result<Option<u64>> {
    let Some(text) = text.filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    let number = text.parse().ok().filter(|number| *number > 0);
    let reason = || "must be a positive whole number".to_owned();
    number.map(Some).ok_or_else(|| settings::Error::Field { field: name, reason: reason() })
}

fn assumed_memory_mb() -> u64 {
    let text = std::fs::read_to_string(MEMORY_FILE).unwrap_or_default();
    parse_memory_mb(&text).map_or(DEFAULT_MEMORY_MB, |memory_mb| memory_mb.min(DEFAULT_MEMORY_MB))
}

/// Returns the memory of the machine that the kernel's file states, in MB.
pub(super) fn parse_memory_mb(text: &str) -> Option<u64> {
    let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let total_kb: u64 = total.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some((total_kb / 1_024).max(1))
}

fn assumed_descriptors() -> u64 {
    getrlimit(Resource::Nofile).current.unwrap_or(DEFAULT_DESCRIPTORS)
}

/// Bounds of what clients may occupy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntakeLimits {
    /// Connections of clients.
    pub connections: usize,
    /// Connections of other processes that have completed their handshake or have not.
    pub inner_connections: usize,
    /// Requests of clients in progress. Fewer than the connections, so that a connection can always be closed in favour
    /// of a new one.
    pub requests: usize,
    /// Bytes of heads that are incomplete.
    pub head_bytes: usize,
    /// Bytes of bodies that are being received.
    pub body_bytes: usize,
    /// Estimated bytes of requests that are being handled.
    pub handling_bytes: usize,
    /// Bytes of incomplete frames from other processes.
    pub frame_bytes: usize,
    /// Estimated bytes of messages from other processes that wait to be handled.
    pub message_bytes: usize,
    /// Bytes of messages to other processes that wait to be sent.
    pub queue_bytes: usize,
}

impl IntakeLimits {
    /// Derives the bounds.
    ///
    /// Half of the memory is for clients; of this, half is for connections with the kernel's buffers, and an eighth each
    /// for heads, bodies, handling and frames. Of the other half, an eighth each is for messages that wait to be handled
    /// and to be sent. Half of the free descriptors are for clients and a quarter for other processes; the last quarter
    /// and the reserved ones are for calls to the store, of which each request in progress makes one at a time.
    pub fn derive(machine: &MachineLimits) -> Self {
        let client_bytes = machine.memory_mb.saturating_mul(1 << 20) / CLIENT_SHARE;
        let descriptors = machine.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let connections =
            (descriptors / 2).min(client_bytes / 2 / CONNECTION_BYTES).max(MIN_CONNECTIONS);
        let share = to_usize((client_bytes / 8).max(MIN_BYTES));
        let own_bytes = machine.memory_mb.saturating_mul(1 << 20) - client_bytes;
        let own_share = to_usize((own_bytes / OWN_PARTS).max(MIN_BYTES));
        Self {
            connections: to_usize(connections),
            inner_connections: to_usize((descriptors / 4).max(MIN_CONNECTIONS)),
            requests: to_usize((connections / 4 * 3).min(descriptors / 4 + STORE_DESCRIPTORS)),
            head_bytes: share,
            body_bytes: share,
            handling_bytes: share,
            frame_bytes: share,
            message_bytes: own_share,
            queue_bytes: own_share,
        }
    }

    /// Returns how many rows of at most `row_bytes` may be read for clients at once: their memory is that of requests
    /// that are being handled, whose bodies are empty.
    pub fn reads(&self, row_bytes: usize) -> usize {
        (self.handling_bytes / row_bytes.max(1) / READ_FACTOR).max(MIN_READS)
    }

    /// Returns the memory for requests that are being handled in KiB, as the number of permits of a semaphore.
    pub(super) fn handling_kib(&self) -> usize {
        (self.handling_bytes / 1_024).min(Semaphore::MAX_PERMITS)
    }
}

fn to_usize(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}
