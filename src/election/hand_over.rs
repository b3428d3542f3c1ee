//! Decides whether a leader that is too slow for its work hands over.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// Interval of the coordinator's timer, in milliseconds.
pub const TICK_MS: u64 = 150;
/// Number of latest ticks by which a leader is judged.
const WINDOW_TICKS: usize = 10;
/// Number of late ticks in the window from which on a leader is too slow. A single pause of the process delays one tick.
const MIN_LATE_TICKS: usize = 8;
/// Lag from which on a tick is late, in milliseconds. A process that is limited to a share of a core may wait almost
/// 100 ms for its next share. From a lag of 300 ms on, gossip is so rare that the silence limit of the election may pass.
const LATE_TICK_MS: u64 = 150;
/// Time after the restoration in which a leader does not hand over, in milliseconds: the first plan and the connections
/// of all hosts are a burst of work for any leader.
const MIN_PLANNING_MS: u64 = 5_000;
/// Minimum time after a leader stepped down before another one hands over, in milliseconds, so that a load that is too
/// high for every coordinator does not change the leader all the time.
pub const HAND_OVER_INTERVAL_MS: u64 = 30_000;
/// Maximum age of the store's last answer to a coordinator that may succeed, in milliseconds. An idle coordinator has an
/// answer each second.
const MAX_SUCCESSOR_STORE_AGE_MS: u64 = 2_500;
/// Additional wait of a coordinator that handed over, in milliseconds. It is longer than that of a weak machine, so that
/// the others try first.
pub const SLOW_LEADER_WAIT_MS: u64 = 2_000;

/// Lags of the latest ticks of a coordinator's timer against its own clock.
///
/// The lag counts from the time at which the tick was due until it is handled, so it grows if the process gets too little
/// CPU time and if the queue of events is long. Slow answers of the store don't delay ticks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimerLag {
    lags_ms: VecDeque<u64>,
    last_sent_ms: Option<u64>,
}

impl TimerLag {
    /// Records a tick that was sent at `sent_ms` and is handled now. The timer sends each tick [`TICK_MS`] after the one
    /// before it.
    pub fn record(&mut self, now_ms: u64, sent_ms: u64) {
        let Some(last_sent_ms) = self.last_sent_ms.replace(sent_ms) else {
            return;
        };
        if self.lags_ms.len() == WINDOW_TICKS {
            self.lags_ms.pop_front();
        }
        self.lags_ms.push_back(now_ms.saturating_sub(last_sent_ms + TICK_MS));
    }

    /// Returns the number of late ticks among the latest ones.
    pub fn late_ticks(&self) -> usize {
        self.lags_ms.iter().filter(|lag_ms| **lag_ms >= LATE_TICK_MS).count()
    }

    /// Returns the longest lag of the latest ticks, in milliseconds.
    pub fn max_ms(&self) -> u64 {
        self.lags_ms.iter().copied().max().unwrap_or_default()
    }
}

/// A live coordinator that may succeed a leader.
#[derive(Clone, Copy, Debug)]
pub struct Successor {
    /// Time since the store last answered it, in milliseconds.
    pub store_age_ms: u64,
}

/// Values by which a leader decided to hand over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOver {
    /// Number of late ticks among the latest ones.
    pub late_ticks: usize,
    /// Longest lag of the latest ticks, in milliseconds.
    pub max_lag_ms: u64,
    /// Number of live coordinators that the store answers.
    pub successors: usize,
}

/// Decides whether a leader, which plans since `plans_since_ms`, hands over. `stepped_down_ms` is the last time at which
/// it or another leader stepped down, as far as it knows. Coordinators elect the successor as after a failure.
///
/// Load pattern: a leader on a machine with too little CPU time gets to its timer, and so to its orders, hundreds of
/// milliseconds late for as long as the load lasts, while other coordinators are idle.
pub fn decide_hand_over<I>(
    now_ms: u64,
    plans_since_ms: u64,
    stepped_down_ms: Option<u64>,
    lag: &TimerLag,
    live: I,
) -> Option<HandOver>
where
    I: Iterator<Item = Successor>,
{
    let elapsed_ms = |since_ms: u64| now_ms.saturating_sub(since_ms);
    let is_settled = elapsed_ms(plans_since_ms) >= MIN_PLANNING_MS;
    let is_first = stepped_down_ms.is_none_or(|at_ms| elapsed_ms(at_ms) >= HAND_OVER_INTERVAL_MS);
    let late_ticks = lag.late_ticks();
    if !is_settled || !is_first || late_ticks < MIN_LATE_TICKS {
        return None;
    }
    let has_answers = |successor: &Successor| successor.store_age_ms < MAX_SUCCESSOR_STORE_AGE_MS;
    let successors = live.filter(has_answers).count();
    (successors > 0).then(|| HandOver { late_ticks, max_lag_ms: lag.max_ms(), successors })
}
