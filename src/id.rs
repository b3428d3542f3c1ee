//! Identifiers of scheduled objects, such as workers, jobs and organisations, and of the processes of the system.

use derive_more::{Display, From, FromStr};
use serde::{Deserialize, Serialize};

/// Declares a string identifier as a type of its own, so that identifiers of different kinds cannot be mixed up.
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

/// Declares a number that only increases, such as an epoch or a version.
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
    /// Identifier of a region, which contains one or more data centres.
    RegionId
);
string_id!(
    /// Identifier of a data centre; operators take it out of service and bring it back as a whole.
    DataCentreId
);
string_id!(
    /// Identifier of a rack of workers in a data centre.
    RackId
);
string_id!(
    /// Identifier of a worker: a machine with processors, memory and accelerators.
    WorkerId
);
string_id!(
    /// Identifier of a capacity group: the workers of some whole racks of one data centre, led by one agent.
    GroupId
);
string_id!(
    /// Identifier of an organisation, which holds a guaranteed shape and submits work.
    OrganisationId
);
string_id!(
    /// Identifier of a kind of work, for which the bundle defines rules.
    KindId
);
string_id!(
    /// Identifier of an endpoint: a back end that answers requests.
    EndpointId
);
string_id!(
    /// Identifier of a gang job or of a job of steps.
    JobId
);
string_id!(
    /// Identifier of a partner, who signs bundles.
    PartnerId
);
string_id!(
    /// Identifier of a process of the system, from its settings.
    ProcessId
);
counter_id!(
    /// Incarnation of a process, which distinguishes it from an earlier process on the same address.
    Incarnation
);
counter_id!(
    /// Fencing epoch of a group's leader.
    Epoch
);
counter_id!(
    /// Version of a bundle.
    BundleVersion
);

/// Identifier of one attempt to start a gang job; later attempts have higher numbers.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[display("{job}#{number}")]
pub struct GangId {
    /// Job of the attempt.
    pub job: JobId,
    /// Number of the attempt, from 1.
    pub number: u32,
}

/// Identifier of one attempt to run a request, so that a late or mismatched answer never reaches another caller.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
#[display("{incarnation}-{request}-{number}")]
pub struct AttemptId {
    /// Incarnation of the entry that sent the attempt.
    pub incarnation: Incarnation,
    /// Number of the request in that entry.
    pub request: u64,
    /// Number of the attempt, from 1.
    pub number: u32,
}
