//! Inputs, outputs and answers of a change of the row `config/bundle`.

use serde::Serialize;
use snafu::Snafu;

use crate::bundle::{Bundle, BundleRow, Digest, Signature, SignedBundle};
use crate::prelude::*;
use crate::registration::EntryRow;
use crate::store::RowVersion;

/// What a partner asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "action")]
pub enum Action {
    /// Propose a bundle that the proposer signed.
    Propose {
        /// The bundle.
        signed: Box<SignedBundle>,
    },
    /// Add a signature to the proposal.
    Approve(SignedBundleAction),
    /// Put the proposal in force.
    RollOut(SignedBundleAction),
}

/// An action on a bundle that the row already names, with the signature of the partner that asks for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SignedBundleAction {
    /// The version.
    pub version: BundleVersion,
    /// The digest.
    pub digest: Digest,
    /// The signature, of [`Purpose::Accept`] for an approval and of [`Purpose::RollOut`] for a rollout.
    pub signature: Signature,
}

/// What happens to a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "input")]
pub enum Input {
    /// The row was read.
    Row {
        /// Its version.
        version: RowVersion,
        /// Its content.
        row: Box<BundleRow>,
    },
    /// The body of the proposal was stored.
    BodyStored,
    /// The body of the proposal was read.
    Body {
        /// The content, if the object exists.
        bundle: Option<Box<Bundle>>,
    },
    /// A read or the writing of a body failed; nothing was changed.
    StoreFailed {
        /// Why.
        reason: String,
    },
    /// The result of [`Output::WriteRow`].
    Written {
        /// The result.
        result: WriteOutcome,
    },
    /// The registered entries were read.
    Entries {
        /// Their rows.
        entries: Vec<EntryRow>,
    },
    /// Time passed.
    Tick,
}

/// The result of a conditional write of the row, after repetitions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum WriteOutcome {
    /// The write took effect.
    Durable,
    /// Another write was first.
    Conflict {
        /// The version of the row as the other write left it.
        version: RowVersion,
        /// The row as the other write left it.
        row: Box<BundleRow>,
    },
    /// The write certainly had no effect.
    NotApplied {
        /// Why.
        reason: String,
    },
    /// The write may have taken effect, or may still do so.
    Unknown {
        /// Why.
        reason: String,
    },
}

/// What a change wants done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "output")]
pub enum Output {
    /// Read the row.
    ReadRow,
    /// Store the body of a bundle.
    StoreBody {
        /// The key of the object.
        key: String,
        /// The canonical form of the bundle.
        content: Vec<u8>,
    },
    /// Read the body of a bundle.
    ReadBody {
        /// The key of the object.
        key: String,
    },
    /// Write the row on condition of its version.
    WriteRow {
        /// The version that the row must have.
        condition: RowVersion,
        /// The new content.
        row: Box<BundleRow>,
    },
    /// Read the registered entries now and then until the change is at its end.
    WatchEntries,
    /// The change is at its end.
    Answer(BundleChangeResult),
}

/// The end of a change.
pub type BundleChangeResult = Result<BundleChangeApplied, BundleChangeError>;

/// A change that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BundleChangeApplied {
    /// The version.
    pub version: BundleVersion,
    /// The digest.
    pub digest: Digest,
    /// The entries that confirmed a rollout.
    pub confirmed_by: Vec<ProcessId>,
}

/// Why a change did not take effect, or is not known to have taken effect everywhere.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Snafu)]
#[serde(rename_all = "snake_case", tag = "refusal")]
pub enum BundleChangeError {
    /// The bundle or a signature is not acceptable; nothing was changed.
    #[snafu(display("{reason}"))]
    Invalid {
        /// Why.
        reason: String,
    },
    /// Another change was first; nothing was changed.
    #[snafu(display("version {winner} won: {reason}"))]
    Conflict {
        /// The version that won.
        winner: BundleVersion,
        /// Why.
        reason: String,
    },
    /// The store is unavailable; nothing was changed.
    #[snafu(display("nothing was changed: {reason}"))]
    Unavailable {
        /// Why.
        reason: String,
    },
    /// The change may have taken effect, or is not yet in force everywhere.
    #[snafu(display("version {version}: {reason}"))]
    Unknown {
        /// The version.
        version: BundleVersion,
        /// Why.
        reason: String,
    },
}
