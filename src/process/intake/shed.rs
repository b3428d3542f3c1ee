//! Selects what is given up when a bound is exceeded.

use std::cmp::Reverse;

/// Age from which on slowness counts. A younger request may just not have arrived yet.
pub const SETTLED_MS: u64 = 500;
/// Time that a connection has for its first bytes or the rest of a head before it is closed in favour of newer ones.
pub const NEWCOMER_MS: u64 = 1_000;

/// Denominator of the part that newcomers may take of the connections without a request.
pub const NEWCOMER_SHARE: usize = 4;

/// Progress of a body or frame that is being received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// When its first bytes were expected, in milliseconds.
    pub started_ms: u64,
    /// Bytes received so far.
    pub received_bytes: usize,
    /// Memory that is held for it in bytes.
    pub held_bytes: usize,
}

impl Progress {
    fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.started_ms)
    }
}

/// Returns the key of the body that is given up first, or `None` if there is no body.
///
/// Among the bodies older than [`SETTLED_MS`] it is the one with the least progress for its age. If all are younger, the
/// one that holds the most memory, and of several the newest: a small body of an ordinary caller stays.
///
/// Load pattern: hundreds of bodies of the largest legal size that stop just short of their end and stay open, while
/// ordinary callers send small bodies that arrive at once.
pub fn select_body<K, I>(now_ms: u64, bodies: I) -> Option<K>
where
    K: Copy,
    I: IntoIterator<Item = (K, Progress)>,
{
    let urgency = |progress: &Progress| {
        let age_ms = progress.age_ms(now_ms);
        match age_ms >= SETTLED_MS {
            true => (0, Reverse(0), progress.received_bytes as u64 * 1_000 / age_ms.max(1), age_ms),
            false => (1, Reverse(progress.held_bytes), age_ms, 0),
        }
    };
    bodies.into_iter().min_by_key(|(_, progress)| urgency(progress)).map(|(key, _)| key)
}

/// Phase of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing was received yet.
    New,
    /// Part of a request's head was received.
    Head,
    /// The body of a request is being received.
    Body,
    /// A request waits for its turn, since it arrived before the answer to the previous one.
    Queued,
    /// A request is being handled.
    Handling,
    /// The answer to a request is being sent.
    Answering,
    /// The last request was answered, and the next one has not begun.
    Idle,
}

/// State of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionState {
    /// Phase of the connection.
    pub phase: Phase,
    /// Start of the phase, in milliseconds.
    pub since_ms: u64,
    /// Bytes received in this phase.
    pub received_bytes: usize,
    /// When the client stopped reading, if bytes for it wait since then, in milliseconds.
    pub blocked_since_ms: Option<u64>,
}

impl ConnectionState {
    /// Returns the time for which bytes have waited for the client, or `None` if none wait.
    pub fn blocked_ms(&self, now_ms: u64) -> Option<u64> {
        self.blocked_since_ms.map(|since_ms| now_ms.saturating_sub(since_ms))
    }
}

/// Returns the key of the connection that is closed first if there are too many, or `None` if all of them have a request
/// that is being handled.
///
/// The order: connections that sent nothing or part of a head for [`NEWCOMER_MS`], the oldest first; those whose client
/// has read nothing for as long, though an answer waits; bodies that take as long, the slowest first. Of the others, the
/// newest connection without a request goes first while there are too many of them for [`NEWCOMER_SHARE`], otherwise the
/// one that has been idle for the longest time.
///
/// Load patterns: more connections than the process has descriptors, which send nothing, part of a head or part of a body
/// and stay open, while ordinary callers connect anew or keep their connections for the next request; connections that
/// stay open after their requests were answered, which would keep out all newer ones.
pub fn select_connection<K, I>(now_ms: u64, connections: I) -> Option<K>
where
    K: Copy,
    I: IntoIterator<Item = (K, ConnectionState)>,
{
    let connections: Vec<(K, ConnectionState)> = connections.into_iter().collect();
    let is_newcomer = |state: &ConnectionState| {
        let age_ms = now_ms.saturating_sub(state.since_ms);
        matches!(state.phase, Phase::New | Phase::Head | Phase::Body) && age_ms < NEWCOMER_MS
    };
    let newcomers = connections.iter().filter(|(_, state)| is_newcomer(state)).count();
    let idle = connections.iter().filter(|(_, state)| state.phase == Phase::Idle).count();
    let is_crowded = newcomers * NEWCOMER_SHARE > newcomers + idle;
    let (newcomer_rank, idle_rank) = if is_crowded { (3, 4) } else { (4, 3) };
    let urgency = |state: &ConnectionState| {
        let age_ms = now_ms.saturating_sub(state.since_ms);
        let is_settled = age_ms >= NEWCOMER_MS;
        let bytes_per_s = state.received_bytes as u64 * 1_000 / age_ms.max(1);
        let is_blocked =
            state.blocked_ms(now_ms).is_some_and(|blocked_ms| blocked_ms >= NEWCOMER_MS);
        match state.phase {
            Phase::Handling => None,
            Phase::Answering if !is_blocked => None,
            Phase::New | Phase::Head if is_settled => Some((0, state.since_ms)),
            _ if is_blocked => Some((1, state.blocked_since_ms.unwrap_or_default())),
            Phase::Body if is_settled => Some((2, bytes_per_s)),
            Phase::Idle => Some((idle_rank, state.since_ms)),
            _ => Some((newcomer_rank, age_ms)),
        }
    };
    let ranked = connections.into_iter().filter_map(|(key, state)| Some((key, urgency(&state)?)));
    ranked.min_by_key(|(_, urgency)| *urgency).map(|(key, _)| key)
}
