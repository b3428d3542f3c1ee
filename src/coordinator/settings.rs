//! The settings of a coordinator.

use std::net::SocketAddr;

use crate::election::{ElectionSettings, MachineLimits};
use crate::planner::{CostSettings, PlannerSettings};
use crate::prelude::*;
use crate::wire::{FrameKey, LinkSettings};
use crate::workflow::MAX_PART_BYTES;

/// The longest lease of a worker after a renewal by the leader, while its host is awake and extends it, and the longest one
/// if workers set no limit. It is longer than most partitions.
pub const MAX_WORKER_LEASE_MS: u64 = 9_000;
/// The lease of a worker after a renewal by the leader, without further extensions by its host. Work survives a host that is
/// down for about 4 s.
pub const UNATTENDED_LEASE_MS: u64 = 4_500;
/// The shortest lease of a worker: a takeover with lost messages and the reconnection of a host take up to 3 s.
pub const MIN_WORKER_LEASE_MS: u64 = 4_000;
/// The allowance for a lease that lasts longer on a clock that is 2 % slow, and for the transit of messages.
const LEASE_MARGIN_MS: u64 = 500;
/// The time for which a machine may be suspended in all during one unattended lease. The worker's clock does not count it, so
/// the lease lasts that much longer for a leader that hears nothing from the machine. Lost work has to start again within 13 s
/// (docs/incidents/2026-12-07-suspended-machine.md).
pub const SUSPENSION_ALLOWANCE_MS: u64 = 8_000;
/// The allowance for an unattended lease on a clock that is 2 % slow.
const UNATTENDED_MARGIN_MS: u64 = 200;
/// The time since a call that showed that a leader was not replaced after which it renews no more leases.
pub const MAX_RENEWAL_CONFIRMATION_AGE_MS: u64 = 4_000;
/// The maximum size of a row in bytes if the settings do not state it.
pub const DEFAULT_ROW_LIMIT_BYTES: usize = 65_536;
/// The smallest limit of rows that the coordinators accept: that of a job whose payload has the maximum size, 4,000 bytes.
pub const MIN_ROW_LIMIT_BYTES: usize = 8_192;
/// The silence after which a connection between processes counts as lost.
const LINK_IDLE_MS: u64 = 1_500;

/// The settings of a coordinator.
#[derive(Clone, Debug)]
pub struct CoordinatorSettings {
    /// The name of the process.
    pub process: ProcessId,
    /// The address that accepts connections of other processes of the system.
    pub inner_address: SocketAddr,
    /// The addresses at which other coordinators may be reached at the start.
    pub seeds: Vec<SocketAddr>,
    /// The key of the frames on connections between processes.
    pub frame_key: [u8; 32],
    /// The duration of a worker's lease after a renewal by the leader, in milliseconds.
    pub worker_lease_ms: u64,
    /// The maximum size of a row of the store in bytes.
    pub row_limit_bytes: usize,
    /// The ratio of the speeds of workers, in percent, from which on placement takes their speed into account; `None`
    /// switches that off.
    pub speed_spread_percent: Option<u32>,
    /// The times from which the costs of stops follow; without them, costs are not taken into account.
    pub cost: Option<CostSettings>,
    /// The limits of the machine, if they are known. Without them the coordinator competes for the leadership as one on a
    /// strong machine and keeps it however slow it is.
    pub machine: Option<MachineLimits>,
}

/// Returns the duration of a worker's lease if workers shorten longer leases to `limit_ms`. A leader that counts on a
/// longer lease than the worker grants would wait longer than necessary before it restarts lost work.
pub fn worker_lease_ms(limit_ms: Option<u64>) -> u64 {
    limit_ms.map_or(MAX_WORKER_LEASE_MS, |limit_ms| limit_ms.min(MAX_WORKER_LEASE_MS))
}

impl CoordinatorSettings {
    /// Returns the settings of connections to other processes.
    pub fn links(&self) -> LinkSettings {
        LinkSettings { idle_ms: LINK_IDLE_MS, ..LinkSettings::new(FrameKey::new(self.frame_key)) }
    }

    /// Returns the settings of the planner.
    pub fn planner(&self) -> PlannerSettings {
        let unattended_ms = self.worker_lease_ms.min(UNATTENDED_LEASE_MS)
            + SUSPENSION_ALLOWANCE_MS
            + UNATTENDED_MARGIN_MS;
        let lease_expiry_ms = unattended_ms.max(self.worker_lease_ms + LEASE_MARGIN_MS);
        PlannerSettings {
            lease_expiry_ms,
            takeover_lease_expiry_ms: lease_expiry_ms + MAX_RENEWAL_CONFIRMATION_AGE_MS,
            // The limit holds whether the store counts the bytes of a row or their base64 text.
            record_limit_bytes: MAX_PART_BYTES.min(self.row_limit_bytes / 4 * 3),
            speed_spread_percent: self.speed_spread_percent,
            cost: self.cost,
        }
    }

    /// Returns the settings of the election. With them a takeover takes about 1 s, well within the windows of 2 to 4 s
    /// of the clients' rules, and about 2 s if only coordinators on weak machines are left.
    pub fn election(&self) -> ElectionSettings {
        ElectionSettings {
            silence_ms: 900,
            stagger_ms: 250,
            store_silence_ms: 1_700,
            store_failing_ms: 600,
            retry_ms: 500,
            machine_wait_ms: self.machine.map_or(0, |machine| machine.class().takeover_wait_ms()),
            has_uneven_machines: self.machine.is_some(),
        }
    }
}
