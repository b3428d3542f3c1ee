//! Election of the leader of a capacity group, and liveness of its members. See docs/design.md, section 3.
//!
//! [`LeaderLease`] decides when an agent may lead its group; coordinators are elected in [`crate::election`].
//! [`Members`] tracks the members for the leader, and [`Outbox`] repeats the leader's messages until they are answered.

mod gangs;
mod leader_lease;
mod members;
mod message;
mod outbox;
mod rendezvous;
#[cfg(test)]
mod tests;

pub use leader_lease::LeaderLease;
pub use members::Members;
pub use message::{
    EpochRow, JoinedMember, LeaseConfig, LeaseInput, LeaseOutput, LeaseRow, MembersConfig,
    MembersInput, MembersOutput, VersionedRow, epoch_key, lease_key,
};
pub use outbox::Outbox;
