//! Rows and commits of the platform's table in the form of its HTTP interface, and errors of its calls.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Version of a row: 0 for a row that does not exist; each write increases it by one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct RowVersion(pub u64);

impl RowVersion {
    /// The version of a row that does not exist.
    pub const ABSENT: Self = Self(0);
}

/// Id of one commit, by which its writer recognises it in a row after the answer was lost.
#[derive(Clone, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OperationId(pub String);

impl OperationId {
    /// Returns a new operation id that no other process uses.
    pub fn random<R>(random: &mut R) -> Self
    where
        R: rand::Rng,
    {
        Self(format!("{:016x}{:016x}", random.next_u64(), random.next_u64()))
    }
}

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Version of the row.
    pub version: RowVersion,
    /// Operation that wrote this version.
    pub operation: OperationId,
    /// Content of the row; `null` for a deleted row, whose version keeps increasing.
    pub value: serde_json::Value,
}

/// Condition of a commit: a row has exactly the given version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Required version of the row.
    pub version: RowVersion,
}

/// One write of a commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New content of the row; `null` deletes it.
    pub value: serde_json::Value,
}

/// A transaction: all writes are applied if all conditions hold, or none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Commit {
    /// Id of the operation, which is stored in each written row.
    pub operation: OperationId,
    /// Conditions of the commit. Each written row needs one, so that a repeated commit cannot take effect twice.
    pub conditions: Vec<Condition>,
    /// Writes of the commit.
    pub writes: Vec<Write>,
}

/// Answer to a commit that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Committed {
    /// New versions of the written rows, in the order of the writes.
    pub versions: Vec<RowVersion>,
}

/// Error of a call to the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A condition of the commit does not hold.
    #[snafu(display("row {:?} is at version {}, written by operation {:?}", row.key, row.version, row.operation.0))]
    Conflict {
        /// The first row whose version differs.
        row: Box<Row>,
    },
    /// The call is guaranteed to have had no effect.
    #[snafu(display("the platform's store is unavailable; nothing was changed: {reason}"))]
    Unavailable {
        /// Reason reported by the store or the connection.
        reason: String,
    },
    /// A write may have taken effect or may still do so.
    #[snafu(display("the result of a write is unknown; it may still take effect: {reason}"))]
    UnknownResult {
        /// Reason reported by the store or the connection.
        reason: String,
    },
    /// The platform rejected the call as malformed.
    #[snafu(display("the platform's store refused the call: {reason}"))]
    Refused {
        /// Reason reported by the store.
        reason: String,
    },
}

/// Result of a call to the platform's store.
pub type Result<T> = std::result::Result<T, Error>;
