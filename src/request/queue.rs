//! Queue of the requests that wait for a slot.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::pairs;
use crate::prelude::*;

/// Key of a queue lane. The same endpoints are eligible for all requests of a lane.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct Lane {
    pub(super) class: Class,
    pub(super) organisation: OrganisationId,
    pub(super) kind: KindId,
}

/// All waiting requests. Removal takes logarithmic time, so that many cancellations at once are cheap.
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

    /// Returns the next request to send: that of the highest class, then of the organisation with the fewest running
    /// attempts, then the oldest.
    ///
    /// Skips the kinds in `blocked`, for which no endpoint has a free slot.
    pub(super) fn next(
        &self,
        running: &BTreeMap<OrganisationId, u32>,
        blocked: &BTreeSet<KindId>,
    ) -> Option<(&Lane, u64)> {
        let eligible = self.lanes.iter().filter(|(lane, _)| !blocked.contains(&lane.kind));
        let heads = eligible.filter_map(|(lane, requests)| Some((lane, *requests.first()?)));
        heads.min_by_key(|(lane, request)| {
            let running = running.get(&lane.organisation).copied().unwrap_or_default();
            (lane.class, running, *request)
        })
    }
}
