//! Divides the workers of a service into slow ones and others.

use serde::{Deserialize, Serialize};

/// Part of the ratio from which a division is used, in percent, below which it is no longer used. Estimates vary, and
/// placement should not change back and forth.
const KEEP_PERCENT: u32 = 80;
/// Minimum number of workers with an estimate before the workers of a service are divided.
const MIN_WORKERS: usize = 8;

/// Class of a worker by its speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpeedClass {
    /// The worker is in the faster class of its service, or its service is not divided.
    Usual,
    /// The worker was not observed yet.
    Unknown,
    /// The worker is in the slower class of its service.
    Slow,
}

/// Division of the workers of a service by speed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SpeedSplit {
    /// Logarithm of the speed below which a worker is slow.
    threshold: f64,
    /// Logarithm of the speed of the slow class.
    slow: f64,
    /// Logarithm of the speed of the fast class.
    fast: f64,
    /// The classes differ enough for placement to use them.
    is_used: bool,
}

impl SpeedSplit {
    /// Returns the division of workers with these logarithms of their speeds, or `None` if there are too few. The
    /// quartiles decide, so that a few workers that are slow for a while have no effect. Placement uses the division from
    /// the ratio `min_spread_percent` on, or from a lower one if it `was_used` before.
    pub fn of(mut log_speeds: Vec<f64>, min_spread_percent: u32, was_used: bool) -> Option<Self> {
        if log_speeds.len() < MIN_WORKERS {
            return None;
        }
        log_speeds.sort_by(f64::total_cmp);
        let quartile = log_speeds.len() / 4;
        let (slow, fast) = (log_speeds[quartile], log_speeds[log_speeds.len() - 1 - quartile]);
        let threshold = (slow + fast) / 2.0;
        let mut split = Self { threshold, slow, fast, is_used: false };
        let limit_percent = match was_used {
            true => min_spread_percent * KEEP_PERCENT / 100,
            false => min_spread_percent,
        };
        split.is_used = split.spread_percent() >= limit_percent;
        Some(split)
    }

    /// Returns whether the classes differ enough for placement to use them.
    pub fn is_used(&self) -> bool {
        self.is_used
    }

    /// Returns the class of a worker with this logarithm of its speed.
    pub fn class_of(&self, log_speed: f64) -> SpeedClass {
        if log_speed < self.threshold { SpeedClass::Slow } else { SpeedClass::Usual }
    }

    /// Returns by how much work takes longer on a slow worker than on one of mean speed.
    pub fn slow_factor(&self) -> f64 {
        (-self.slow).exp()
    }

    /// Returns the ratio of the speeds of the two classes, in percent.
    pub fn spread_percent(&self) -> u32 {
        ((self.fast - self.slow).exp() * 100.0) as u32
    }
}
