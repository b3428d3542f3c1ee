//! Protection against clients that send more, or more slowly, than the machine can carry.
//!
//! All bounds are derived from the stated memory and descriptors of the machine ([`IntakeLimits`]). Over a bound, the
//! slowest of the crowd goes first ([`shed`]). See docs/design/uncontrolled-clients.md.

mod answer;
mod bodies;
mod connections;
mod inner;
mod limits;
mod links;
mod reading;
mod report;
mod server;
pub mod shed;
mod stream;
#[cfg(test)]
mod tests;

pub use bodies::{ByteBudget, ByteClaim, Shed};
pub use connections::RequestGuard;
pub use inner::{InnerConnection, InnerConnections};
pub use limits::{IntakeLimits, MachineLimits};
pub use links::{HeldMemory, LinkBounds, MessageBudget, QueueBudget, QueueClaim, QueuedBytes};
pub use reading::{Body, BodyError, BodyLimits, body};
pub use report::{IntakeReport, Reason};
pub use server::{ListenerKind, bind, bind_inner};

use std::sync::Arc;

use tokio::sync::Semaphore;

use super::Metrics;

/// Bounds of a process and what is in progress under them. Clones share their state.
#[derive(Clone, Debug)]
pub struct Intake {
    /// Bounds that are derived from the machine.
    pub limits: IntakeLimits,
    /// Bytes of request bodies that are being received.
    pub bodies: ByteBudget,
    /// Bounds of the connections between this process and others.
    pub links: LinkBounds,
    /// Counters, and the log line of rejections.
    pub report: IntakeReport,
    /// Memory of requests that are being handled, in KiB.
    handling_kib: Arc<Semaphore>,
}

impl Intake {
    /// Creates the bounds of a process on a machine.
    pub fn new(machine: &MachineLimits, metrics: &Metrics) -> Self {
        let limits = IntakeLimits::derive(machine);
        Self {
            bodies: ByteBudget::new(limits.body_bytes),
            links: LinkBounds::new(&limits),
            report: IntakeReport::new(metrics.clone()),
            handling_kib: Arc::new(Semaphore::new(limits.handling_kib())),
            limits,
        }
    }
}
