//! Rows, commits and errors of the platform's table, as they cross its HTTP interface.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The version of a row: 0 for a row that does not exist, then rising by one with each write.
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

/// Names one commit, so that its author recognises it after the answer was lost.
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
    /// The key.
    pub key: String,
    /// The version.
    pub version: RowVersion,
    /// The operation that wrote this version.
    pub operation: OperationId,
    /// The content; `null` for a deleted row, whose version goes on rising.
    pub value: serde_json::Value,
}

/// A condition of a commit: the row is at exactly this version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Condition {
    /// The key of the row.
    pub key: String,
    /// The version that it must have.
    pub version: RowVersion,
}

/// One write of a commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Write {
    /// The key of the row.
    pub key: String,
    /// The new content; `null` deletes the row.
    pub value: serde_json::Value,
}

/// A transaction: all writes are applied if all conditions hold, or none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Commit {
    /// The operation id, stored in each written row.
    pub operation: OperationId,
    /// The conditions. Each written row needs one, so that a repeated commit cannot take effect twice.
    pub conditions: Vec<Condition>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// The answer to a commit that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Committed {
    /// The new versions of the written rows, in the order of the writes.
    pub versions: Vec<RowVersion>,
}

/// Why a call of the platform's store failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A condition of the commit does not hold.
    #[snafu(display("row {:?} is at version {}, written by operation {:?}", row.key, row.version, row.operation.0))]
    Conflict {
        /// The first row whose version differs.
        row: Box<Row>,
    },
    /// The call certainly had no effect.
    #[snafu(display("the platform's store is unavailable: {reason}"))]
    Unavailable {
        /// Why.
        reason: String,
    },
    /// A write may have taken effect or may still do so.
    #[snafu(display("the result of a write is unknown: {reason}"))]
    UnknownResult {
        /// Why.
        reason: String,
    },
    /// The platform refused the call as malformed.
    #[snafu(display("the platform's store refused the call: {reason}"))]
    Refused {
        /// Why.
        reason: String,
    },
}

/// The result of a call of the platform's store.
pub type Result<T> = std::result::Result<T, Error>;
