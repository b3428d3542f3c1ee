//! Attributes the failure or stall of a gang to its members' workers.

use super::record::FULL_WEIGHT;
use crate::prelude::*;

/// Worker of a member of a gang that failed or stalled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    pub worker: WorkerId,
    /// Work of other jobs runs well on the worker.
    pub is_proven: bool,
    /// Weight of the incidents of other jobs on the worker.
    pub other_weight: u32,
}

/// Returns the workers to blame, each with its share. Returns none if all are proven: then the job may be at fault.
///
/// Load pattern: 8 of 70 workers fail or stall everything, and gangs of 5 to 7 members over several workers hit one of
/// them nearly always. The members wait for each other, so a stall shows on all of them. Blame goes to the members whose
/// workers have the most incidents with other jobs; without such incidents, the workers that are not proven share it.
pub fn attribute(suspects: &[Suspect]) -> Vec<(WorkerId, u32)> {
    let open = || suspects.iter().filter(|suspect| !suspect.is_proven);
    let Some(most) = open().map(|suspect| suspect.other_weight).max() else {
        return Vec::new();
    };
    let blamed: Vec<&Suspect> = open().filter(|suspect| suspect.other_weight == most).collect();
    let share = FULL_WEIGHT / blamed.len() as u32;
    blamed.into_iter().map(|suspect| (suspect.worker.clone(), share)).collect()
}
