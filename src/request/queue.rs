//! Requests that wait for a slot.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::pairs;
use crate::prelude::*;

/// Requests that wait together, since the same endpoints can take them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct Lane {
    pub(super) class: Class,
    pub(super) organisation: OrganisationId,
    pub(super) kind: KindId,
}

/// All waiting requests. Removal takes logarithmic time, so that waves of cancellations are cheap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Queue {
    #[serde(with = "pairs")]
    lanes: BTreeMap<Lane, BTreeSet<u64>>,
}

impl Queue {
    pub(super) fn insert(&mut self, lane: Lane, request: u64) {
        self.lanes.entry(lane).or_default().insert(request);
    }

    pub(super) fn remove(&mut self, lane: &Lane, request: u64) {
        if let Some(requests) = self.lanes.get_mut(lane) {
            requests.remove(&request);
            if requests.is_empty() {
                self.lanes.remove(lane);
            }
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// Returns the request that is next: the highest class, then the organisation with the least running, then age.
    ///
    /// Kinds in `blocked` have no endpoint with a free slot.
    pub(super) fn next(
        &self,
        running: &BTreeMap<OrganisationId, u32>,
        blocked: &BTreeSet<KindId>,
    ) -> Option<(&Lane, u64)> {
        let free = self.lanes.iter().filter(|(lane, _)| !blocked.contains(&lane.kind));
        let heads = free.filter_map(|(lane, requests)| Some((lane, *requests.first()?)));
        heads.min_by_key(|(lane, request)| {
            let running = running.get(&lane.organisation).copied().unwrap_or_default();
            (lane.class, running, *request)
        })
    }
}
