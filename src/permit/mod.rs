//! States of data centres and permits to start work there. See docs/design.md, section 3.
//!
//! An entry reads the state of a data centre and may pass on for 2 s that starts are permitted. Leaders and agents hold
//! what they were granted in a [`Permit`]. An operator's [`DataCentreStateChange`] that takes a data centre out is
//! acknowledged when the row is durable and every permit is withdrawn or has run out. Only durations are compared, and
//! each holder allows for a clock that is wrong by up to [`DRIFT_PER_MILLE`].

mod change;
mod holder;
mod row;
#[cfg(test)]
mod tests;
mod view;

pub use change::{
    DATA_CENTRE_CHANGE_TIMEOUT_MS, DataCentreChangeError, DataCentreChangeResult,
    DataCentreStateChange, DataCentreStateChanged, Input, Output, WriteOutcome,
};
pub use holder::Permit;
pub use row::{DATA_CENTRE_ROW_PREFIX, DataCentreRow, data_centre_key, data_centre_of};
pub use view::{DataCentreStatus, DataCentreView, ObserveResult};

/// The time for which an entry's reading of a data centre's state permits starts, counted from when the read was sent.
pub const VIEW_MS: u64 = 2_000;
/// The greatest error of a clock's rate that the rules allow for, in thousandths.
pub const DRIFT_PER_MILLE: u64 = 10;

/// A duration between two readings of a clock in whole milliseconds is wrong by less than this.
const CLOCK_STEP_MS: u64 = 1;

/// Returns a time by this process's clock that certainly ends before `duration_ms` of true time have passed.
pub fn shorten_for_drift(duration_ms: u64) -> u64 {
    duration_ms.saturating_sub(drift_of(duration_ms) + CLOCK_STEP_MS)
}

/// Returns a time by this process's clock that certainly ends after `duration_ms` of true time have passed.
pub fn extend_for_drift(duration_ms: u64) -> u64 {
    duration_ms + drift_of(duration_ms) + CLOCK_STEP_MS
}

fn drift_of(duration_ms: u64) -> u64 {
    (duration_ms * DRIFT_PER_MILLE).div_ceil(1_000)
}
