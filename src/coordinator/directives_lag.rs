//! Decides when a coordinator requests directives from another one.

/// The time for which a coordinator waits for newer directives from its own watch of the store.
const STORE_LEAD_MS: u64 = 300;
/// The minimum time between two requests.
const REQUEST_INTERVAL_MS: u64 = 300;

/// The lag of a coordinator behind the newest directives that others have reported. A coordinator requests directives
/// instead of receiving them from each of the others, so that a change costs one message each at most.
#[derive(Debug, Default)]
pub struct DirectivesLag {
    /// The version at which the coordinator lags, and the time since when.
    since: Option<(u64, u64)>,
    requested_ms: u64,
}

impl DirectivesLag {
    /// Returns whether to request directives of version `reported_as_of` from the coordinator that reported it, while the
    /// own ones are of version `as_of`.
    pub fn should_request(&mut self, now_ms: u64, as_of: u64, reported_as_of: u64) -> bool {
        if reported_as_of <= as_of {
            return false;
        }
        let since_ms = match self.since {
            Some((version, since_ms)) if version == as_of => since_ms,
            _ => {
                self.since = Some((as_of, now_ms));
                now_ms
            }
        };
        let is_due =
            now_ms >= since_ms + STORE_LEAD_MS && now_ms >= self.requested_ms + REQUEST_INTERVAL_MS;
        if is_due {
            self.requested_ms = now_ms;
        }
        is_due
    }
}
