//! Inputs, outputs and results of a change of the row `config/bundle`.

use serde::Serialize;
use snafu::Snafu;

use crate::bundle::{Bundle, BundleRow, Digest, Signature, SignedBundle};
use crate::prelude::*;
use crate::registration::EntryRow;
use crate::store::RowVersion;

/// Change of the bundle that a partner requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "action")]
pub enum Action {
    /// Propose a bundle that the proposer has signed.
    Propose {
        /// The bundle with the proposer's signature.
        signed: Box<SignedBundle>,
    },
    /// Add a signature to the proposal.
    Approve(SignedBundleAction),
    /// Activate the proposed bundle.
    RollOut(SignedBundleAction),
}

/// Action on a bundle that the row already contains, with the signature of the partner that requests it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SignedBundleAction {
    /// Version of the bundle.
    pub version: BundleVersion,
    /// Digest of the bundle.
    pub digest: Digest,
    /// Signature of the partner, of [`Purpose::Accept`] for an approval and of [`Purpose::RollOut`] for a rollout.
    pub signature: Signature,
}

/// Event that a change handles.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "input")]
pub enum Input {
    /// The row was read.
    Row {
        /// Version of the row.
        version: RowVersion,
        /// Content of the row.
        row: Box<BundleRow>,
    },
    /// The body of the proposal was stored.
    BodyStored,
    /// The body of the proposal was read.
    Body {
        /// Content of the object, or `None` if it does not exist.
        bundle: Option<Box<Bundle>>,
    },
    /// Reading the row or a body, or storing a body, failed; the row was not changed.
    StoreFailed {
        /// Reason reported by the store.
        reason: String,
    },
    /// [`Output::WriteRow`] ended.
    Written {
        /// Result of the write.
        result: WriteOutcome,
    },
    /// The registered entries were read.
    Entries {
        /// Rows of the registered entries.
        entries: Vec<EntryRow>,
    },
    /// Time passed; deadlines are checked.
    Tick,
}

/// Result of a conditional write of the row, after all retries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum WriteOutcome {
    /// The write took effect.
    Durable,
    /// The write was not applied, because another write had changed the row's version.
    Conflict {
        /// Version of the row after the other write.
        version: RowVersion,
        /// Content of the row after the other write.
        row: Box<BundleRow>,
    },
    /// The write is guaranteed not to have been applied, and not to be applied later.
    NotApplied {
        /// Reason reported by the store.
        reason: String,
    },
    /// The write may have been applied, or may be applied later.
    Unknown {
        /// Reason reported by the store.
        reason: String,
    },
}

/// Operation that a change requests from its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "output")]
pub enum Output {
    /// Read the row.
    ReadRow,
    /// Store the body of a bundle.
    StoreBody {
        /// Key of the object.
        key: String,
        /// Canonical form of the bundle.
        content: Vec<u8>,
    },
    /// Read the body of a bundle.
    ReadBody {
        /// Key of the object.
        key: String,
    },
    /// Write the row if it still has the given version.
    WriteRow {
        /// Version that the row must have.
        condition: RowVersion,
        /// New content of the row.
        row: Box<BundleRow>,
    },
    /// Read the registered entries periodically until the change has ended.
    WatchEntries,
    /// The change has ended with this result.
    Answer(BundleChangeResult),
}

/// Result of a change.
pub type BundleChangeResult = Result<BundleChangeApplied, BundleChangeError>;

/// A change that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BundleChangeApplied {
    /// Version of the bundle.
    pub version: BundleVersion,
    /// Digest of the bundle.
    pub digest: Digest,
    /// Entries that confirmed a rollout; empty for a proposal and an approval.
    pub confirmed_by: Vec<ProcessId>,
}

/// Reason why a change did not take effect, or is not confirmed to be active at every entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Snafu)]
#[serde(rename_all = "snake_case", tag = "refusal")]
pub enum BundleChangeError {
    /// The bundle or a signature is not acceptable; nothing was changed.
    #[snafu(display("{reason}"))]
    Invalid {
        /// Why the bundle or the signature is refused.
        reason: String,
    },
    /// The change contradicts the row or lost a race against another change; nothing was changed.
    #[snafu(display("version {winner} won: {reason}"))]
    Conflict {
        /// Version that is active or proposed instead.
        winner: BundleVersion,
        /// Why the change is refused.
        reason: String,
    },
    /// The store is unavailable; the row was not changed.
    #[snafu(display("nothing was changed: {reason}"))]
    Unavailable {
        /// Reason reported by the store.
        reason: String,
    },
    /// The change may have taken effect, or is not yet confirmed by every entry.
    #[snafu(display("version {version}: {reason}"))]
    Unknown {
        /// Version of the bundle.
        version: BundleVersion,
        /// Why the result is unknown, with the entries that have not confirmed a rollout.
        reason: String,
    },
}
