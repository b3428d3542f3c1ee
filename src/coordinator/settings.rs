//! The settings of a coordinator.

use std::net::SocketAddr;

use crate::election::ElectionSettings;
use crate::planner::PlannerSettings;
use crate::prelude::*;
use crate::wire::{FrameKey, LinkSettings};

/// How long a worker's lease lasts after the leader renewed it. It outlasts the restart of an agent (about 4 s) and most
/// partitions, and stays below the platform's limit of 10 s.
pub const WORKER_LEASE_MS: u64 = 9_000;
/// What the lease may last longer on a clock that is 2 % slow, and what messages take.
const LEASE_MARGIN_MS: u64 = 500;
/// How long a leader renews leases without knowing from the store that it still leads.
pub const RENEW_HORIZON_MS: u64 = 4_000;
/// How long a leader that the store answers may not know that it was replaced: a call that waits for that news, and its
/// time-out.
const REPLACED_NOTICE_MS: u64 = 2_000;
/// The silence after which a connection between processes counts as lost.
const LINK_IDLE_MS: u64 = 1_500;

/// The settings of a coordinator.
#[derive(Clone, Debug)]
pub struct CoordinatorSettings {
    /// Its name.
    pub process: ProcessId,
    /// Where it accepts connections of other processes of the system.
    pub inner_address: SocketAddr,
    /// Addresses of coordinators that may exist.
    pub seeds: Vec<SocketAddr>,
    /// The key of the connections between processes.
    pub frame_key: [u8; 32],
}

impl CoordinatorSettings {
    /// Returns the limits of connections.
    pub fn links(&self) -> LinkSettings {
        LinkSettings { idle_ms: LINK_IDLE_MS, ..LinkSettings::new(FrameKey::new(self.frame_key)) }
    }

    /// Returns the times of the planner.
    pub fn planner(&self) -> PlannerSettings {
        let lease_expiry_ms = WORKER_LEASE_MS + LEASE_MARGIN_MS;
        PlannerSettings {
            lease_expiry_ms,
            takeover_lease_expiry_ms: lease_expiry_ms + RENEW_HORIZON_MS + REPLACED_NOTICE_MS,
        }
    }

    /// Returns the times of the election. Clients' rules have windows of 2 to 4 s, so a takeover takes about one.
    pub fn election(&self) -> ElectionSettings {
        ElectionSettings {
            silence_ms: 900,
            stagger_ms: 250,
            store_silence_ms: 1_700,
            store_failing_ms: 600,
            retry_ms: 500,
        }
    }
}
