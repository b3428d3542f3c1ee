//! Identifiers of the things that teaselhall schedules and of the processes that do it.

use derive_more::{Display, From, FromStr};
use serde::{Deserialize, Serialize};

/// Declares a string identifier, so that identifiers of different things cannot be confused.
macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Default, Display, From, FromStr, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }
    };
}

/// Declares a number that only ever rises, such as an epoch or a version.
macro_rules! counter_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, From, FromStr, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the following number.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

string_id!(
    /// A region, which holds one or more data centres.
    RegionId
);
string_id!(
    /// A data centre; operators take it out of service and bring it back as a whole.
    DataCentreId
);
string_id!(
    /// A rack of workers in a data centre.
    RackId
);
string_id!(
    /// A worker: a machine with processors, memory and accelerators.
    WorkerId
);
string_id!(
    /// A capacity group: the workers of some whole racks of one data centre, led by one agent.
    GroupId
);
string_id!(
    /// An organisation, which holds a guaranteed shape and submits work.
    OrganisationId
);
string_id!(
    /// A kind of work, for which the bundle gives rules.
    KindId
);
string_id!(
    /// An endpoint: a back end that answers requests.
    EndpointId
);
string_id!(
    /// A gang job.
    JobId
);
string_id!(
    /// A partner, whose signature a bundle needs.
    PartnerId
);
string_id!(
    /// A process of the system, named in its settings.
    ProcessId
);
counter_id!(
    /// Distinguishes a process from an earlier process on the same address.
    Incarnation
);
counter_id!(
    /// The fencing epoch of a group's leader.
    Epoch
);
counter_id!(
    /// The version of a bundle.
    BundleVersion
);

/// Names one attempt to start a gang job; a later attempt has a higher number.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[display("{job}#{number}")]
pub struct GangId {
    /// The job.
    pub job: JobId,
    /// The number of the attempt, from 1.
    pub number: u32,
}

/// Names one attempt to run a request, so that a late or crossed answer is never given to another caller.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
#[display("{incarnation}-{request}-{number}")]
pub struct AttemptId {
    /// The incarnation of the entry that sent the attempt.
    pub incarnation: Incarnation,
    /// The number of the request in that entry.
    pub request: u64,
    /// The number of the attempt, from 1.
    pub number: u32,
}
