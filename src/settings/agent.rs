//! Settings of `teaselhall-agent`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{
    Result, TrustedPartner, ValidateSettings, check_partners, check_url, decode_frame_key, field,
};
use crate::bundle::WorkerShape;
use crate::prelude::*;

/// Settings of an agent process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The name of the process, unique among agents.
    pub process: ProcessId,
    /// The data centre in which it runs.
    pub data_centre: DataCentreId,
    /// The address for health, metrics, dumps, and the endpoint's announcement.
    pub http_address: SocketAddr,
    /// The TCP addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// The base URL of the platform's table and object store.
    pub platform_url: String,
    /// The key that authenticates frames between processes: 32 bytes in hexadecimal.
    pub frame_key: String,
    /// The partners whose signatures count.
    pub partners: Vec<TrustedPartner>,
    /// The role of the agent, by what it runs beside.
    pub beside: AgentRole,
}

/// The role of an agent, by what it runs beside.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum AgentRole {
    /// A worker.
    Worker {
        /// The worker.
        worker: WorkerId,
        /// Its rack.
        rack: RackId,
        /// What it has.
        shape: WorkerShape,
        /// The base URL of the worker's own interface.
        worker_url: String,
        /// The UDP address for the members and the leader of the group.
        udp_address: SocketAddr,
        /// The interval of heartbeats.
        #[serde(default = "default_heartbeat_ms")]
        heartbeat_ms: u32,
        /// The lease of a gang on a member.
        #[serde(default = "default_gang_lease_ms")]
        gang_lease_ms: u32,
        /// The lease of the group's leader.
        #[serde(default = "default_leader_lease_ms")]
        leader_lease_ms: u32,
    },
    /// An endpoint, which announces itself to the agent's HTTP address.
    Endpoint {
        /// The endpoint.
        endpoint: EndpointId,
    },
}

fn default_heartbeat_ms() -> u32 {
    1_000
}

fn default_gang_lease_ms() -> u32 {
    10_000
}

fn default_leader_lease_ms() -> u32 {
    // A successor must be found within the lease of the gangs, or a leader that fails ends them all.
    5_000
}

impl ValidateSettings for AgentSettings {
    fn check(&self) -> Result<()> {
        check_url("platform_url", &self.platform_url)?;
        decode_frame_key(&self.frame_key)?;
        check_partners(&self.partners)?;
        if self.entries.is_empty() {
            return field("entries", "must name at least one entry");
        }
        self.beside.check()
    }
}

impl ValidateSettings for AgentRole {
    fn check(&self) -> Result<()> {
        let Self::Worker {
            worker_url, shape, heartbeat_ms, gang_lease_ms, leader_lease_ms, ..
        } = self
        else {
            return Ok(());
        };
        check_url("worker_url", worker_url)?;
        if shape.cores == 0 || shape.memory_mb == 0 {
            return field("shape", "must have cores and memory");
        }
        if shape.accelerators > u64::BITS
            || (shape.accelerators > 0 && !shape.accelerators.is_power_of_two())
        {
            return field("shape", "must have a power of two of accelerators, at most 64");
        }
        if *heartbeat_ms == 0 {
            return field("heartbeat_ms", "must be at least 1");
        }
        if *gang_lease_ms < heartbeat_ms.saturating_mul(4) {
            return field(
                "gang_lease_ms",
                "must be at least four times heartbeat_ms, or one lost datagram ends gangs",
            );
        }
        if *leader_lease_ms < 1_000 {
            return field("leader_lease_ms", "must be at least 1000");
        }
        if *gang_lease_ms < leader_lease_ms.saturating_mul(2) {
            return field(
                "gang_lease_ms",
                "must be at least twice leader_lease_ms, or a leader that fails ends gangs",
            );
        }
        Ok(())
    }
}
