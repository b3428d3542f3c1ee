//! Identifiers and job types that most modules import.

pub use crate::id::{
    AttemptId, BundleVersion, DataCentreId, EndpointId, Epoch, GangId, GroupId, Incarnation, JobId,
    KindId, OrganisationId, PartnerId, ProcessId, RackId, RegionId, WorkerId,
};
pub use crate::job::{Adjacency, Class, JobEnd, JobSpec, JobState, Outcome, Repeat, TaskSpec};
