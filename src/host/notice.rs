//! Decides whether a notice of the end of the worker's program belongs to the current incarnation.
//!
//! The notice names the worker by the identifier that all its incarnations share, and it may arrive seconds after its sender
//! has ended (docs/incidents/2026-12-07-late-notice-and-refusals.md).

/// The time after the first heartbeat of an incarnation for which a notice may be a late one of an earlier incarnation, in
/// milliseconds. Calls arrive seconds late at most, after partitions of up to 12 s.
const LATE_NOTICE_MS: u64 = 30_000;
/// The time after its notice for which a program may still answer, in milliseconds. One that answers later has not sent the
/// notice, or lives on for want of a confirmation.
const ANNOUNCED_END_MS: u64 = 1_000;

/// The notice of the end of the current incarnation. A refused connection after it proves that the incarnation has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndNotice {
    first_heartbeat_ms: u64,
    announced_ms: Option<u64>,
}

impl EndNotice {
    /// Begins an incarnation whose first heartbeat arrived at `now_ms`.
    pub fn new(now_ms: u64) -> Self {
        Self { first_heartbeat_ms: now_ms, announced_ms: None }
    }

    /// Records a notice. It counts only if the current incarnation must have sent it: one that drains, and that is older than
    /// any late notice of an earlier one. A notice that arrives while connections are refused does not count, since a
    /// firewall may refuse them.
    pub fn record_notice(&mut self, now_ms: u64, is_draining: bool, is_refused: bool) {
        let age_ms = now_ms.saturating_sub(self.first_heartbeat_ms);
        if is_draining && !is_refused && age_ms >= LATE_NOTICE_MS {
            self.announced_ms = Some(now_ms);
        }
    }

    /// Records an answer of the current incarnation. Returns whether it shows that the notice proves nothing.
    pub fn record_answer(&mut self, now_ms: u64) -> bool {
        let is_outdated = |announced_ms: &mut u64| now_ms >= *announced_ms + ANNOUNCED_END_MS;
        self.announced_ms.take_if(is_outdated).is_some()
    }

    /// Withdraws the notice, because the current incarnation has reported itself as ready.
    pub fn withdraw(&mut self) {
        self.announced_ms = None;
    }

    /// Returns whether a refused connection proves that the current incarnation has ended.
    pub fn is_announced(&self) -> bool {
        self.announced_ms.is_some()
    }
}
