//! Derives the bounds of a process from the limits of its machine.

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
/// Connections that are allowed on any machine.
const MIN_CONNECTIONS: u64 = 16;
/// Bytes of bodies or frames that are allowed on any machine: a frame may have 2 MiB.
const MIN_BYTES: u64 = 2 * 1_024 * 1_024;
/// Permits of a semaphore that stand for an unbounded amount.
const UNBOUNDED_KIB: usize = u32::MAX as usize;

/// Limits of the machine of a process, as the environment states them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory in MB; `None` if it is not stated.
    pub memory_mb: Option<u64>,
    /// Descriptors of the process; `None` if they are not stated.
    pub descriptors: Option<u64>,
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
}

impl IntakeLimits {
    /// Derives the bounds, or returns `None` if the machine states no limits. A limit that is not stated bounds nothing.
    ///
    /// Half of the memory is for clients; of this, half is for connections with the kernel's buffers, and an eighth each
    /// for heads, bodies, handling and frames. Half of the free descriptors are for clients and a quarter for other
    /// processes.
    pub fn derive(machine: &MachineLimits) -> Option<Self> {
        if *machine == MachineLimits::default() {
            return None;
        }
        let client_bytes = machine
            .memory_mb
            .map_or(u64::MAX, |memory_mb| memory_mb.saturating_mul(1 << 20) / CLIENT_SHARE);
        let descriptors = machine
            .descriptors
            .map_or(u64::MAX, |descriptors| descriptors.saturating_sub(RESERVED_DESCRIPTORS));
        let connections =
            (descriptors / 2).min(client_bytes / 2 / CONNECTION_BYTES).max(MIN_CONNECTIONS);
        let share = to_usize((client_bytes / 8).max(MIN_BYTES));
        Some(Self {
            connections: to_usize(connections),
            inner_connections: to_usize((descriptors / 4).max(MIN_CONNECTIONS)),
            requests: to_usize(connections / 4 * 3),
            head_bytes: share,
            body_bytes: share,
            handling_bytes: share,
            frame_bytes: share,
        })
    }

    /// Returns the memory for requests that are being handled in KiB, as the number of permits of a semaphore.
    pub(super) fn handling_kib(&self) -> usize {
        (self.handling_bytes / 1_024).min(UNBOUNDED_KIB)
    }
}

fn to_usize(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}
