//! States of data centres and permits to start work there. See docs/design.md, section 3.
//!
//! An entry reads the state of a data centre and may grant start permits for 2 s after the read. Leaders and agents
//! keep the granted time in a [`Permit`]. An operator's [`DataCentreStateChange`] that takes a data centre out of
//! service is acknowledged when the row is durable and every permit is withdrawn or has expired. Only durations are
//! compared, and each holder allows for a clock rate error of up to [`DRIFT_PER_MILLE`].

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

/// Time for which an entry's read of a data centre's state permits starts, in milliseconds after the read was sent.
pub const PERMIT_VALIDITY_MS: u64 = 2_000;
/// Clock drift bound: the maximum error of a clock's rate, in thousandths.
pub const DRIFT_PER_MILLE: u64 = 10;

/// Upper bound on the rounding error of a duration between two clock reads in whole milliseconds.
const CLOCK_STEP_MS: u64 = 1;

/// Returns a duration on this process's clock that, within the clock drift bound, ends before `duration_ms` of true
/// time have passed.
pub fn shorten_for_drift(duration_ms: u64) -> u64 {
    duration_ms.saturating_sub(max_drift_ms(duration_ms) + CLOCK_STEP_MS)
}

/// Returns a duration on this process's clock that, within the clock drift bound, ends after `duration_ms` of true time
/// have passed.
pub fn extend_for_drift(duration_ms: u64) -> u64 {
    duration_ms + max_drift_ms(duration_ms) + CLOCK_STEP_MS
}

/// Returns the maximum drift of a clock during `duration_ms`, rounded up to whole milliseconds.
fn max_drift_ms(duration_ms: u64) -> u64 {
    (duration_ms * DRIFT_PER_MILLE).div_ceil(1_000)
}
