//! The machine of a coordinator, and how long a coordinator on a weak one waits before a takeover.

use serde::{Deserialize, Serialize};

/// Share of a core that a leader of 300 workers uses, in thousandths.
const LEADER_CPU_MILLI: u64 = 200;
/// Memory that a leader of 300 workers uses, in MB.
const LEADER_MEMORY_MB: u64 = 60;
/// Rate at which a leader of 300 workers sends, 285 kB/s, in kbit/s.
const LEADER_LINK_KBPS: u64 = 2_280;
/// Part of a leader's need that a strong machine has, in percent. A coordinator serves clients as well, and a takeover
/// reads all stored jobs at once.
const STRONG_PERCENT: u64 = 150;
/// Part of a leader's need that a medium machine has, in percent.
const MEDIUM_PERCENT: u64 = 100;

/// Additional wait of a candidate on a medium machine: as much as two ranks.
const MEDIUM_WAIT_MS: u64 = 500;
/// Additional wait of a candidate on a weak machine: as much as four ranks. If only weak ones are left, the replacement of
/// a silent leader takes about 2 s instead of 1 s.
const WEAK_WAIT_MS: u64 = 1_000;

/// Limits of the machine of a coordinator, as far as its settings state them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineLimits {
    /// Share of a core in thousandths.
    pub cpu_milli: Option<u64>,
    /// Memory in MB.
    pub memory_mb: Option<u64>,
    /// Rate of the link in kbit/s.
    pub link_kbps: Option<u64>,
}

/// Class of a coordinator's machine by what a leader needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineClass {
    /// Has less than a leader needs.
    Weak,
    /// Has what a leader needs, without a margin.
    Medium,
    /// Has what a leader needs, with a margin.
    Strong,
}

impl MachineLimits {
    /// Returns the class of the scarcest resource. A limit that is not stated counts as sufficient.
    pub fn class(&self) -> MachineClass {
        let resources = [
            (self.cpu_milli, LEADER_CPU_MILLI),
            (self.memory_mb, LEADER_MEMORY_MB),
            (self.link_kbps, LEADER_LINK_KBPS),
        ];
        let classes =
            resources.into_iter().filter_map(|(limit, need)| Some(class_of(limit?, need)));
        classes.min().unwrap_or(MachineClass::Strong)
    }
}

fn class_of(limit: u64, need: u64) -> MachineClass {
    match limit.saturating_mul(100) / need {
        STRONG_PERCENT.. => MachineClass::Strong,
        MEDIUM_PERCENT.. => MachineClass::Medium,
        _ => MachineClass::Weak,
    }
}

impl MachineClass {
    /// Returns the additional wait of a candidate on a machine of this class, in milliseconds, so that one on a stronger
    /// machine takes over first.
    ///
    /// Load pattern: the leader is lost while coordinators with 0.09 to 0.5 of a core are alive, and the one whose
    /// process id sorts first has too little CPU time to plan.
    pub fn takeover_wait_ms(self) -> u64 {
        match self {
            Self::Strong => 0,
            Self::Medium => MEDIUM_WAIT_MS,
            Self::Weak => WEAK_WAIT_MS,
        }
    }

    /// Returns the name of the class for log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Strong => "strong",
            Self::Medium => "medium",
            Self::Weak => "weak",
        }
    }
}
