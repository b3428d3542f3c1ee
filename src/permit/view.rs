//! What an entry knows of the states of data centres, and the permits that it grants.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{VIEW_MS, extend_for_drift, shorten_for_drift};
use crate::prelude::*;
use crate::store::RowVersion;
use crate::wire::DataCentreState;

/// The states of data centres as an entry last read them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DataCentreView {
    centres: BTreeMap<DataCentreId, Centre>,
}

#[derive(Clone, Debug, Serialize)]
struct Centre {
    state: DataCentreState,
    version: RowVersion,
    /// When the last read that confirmed this version was sent.
    read_sent_at_ms: u64,
    /// The time until which a permit that was granted may be used somewhere.
    passed_until_ms: u64,
    /// The version on whose condition a write was sent whose result is unknown.
    held_after: Option<RowVersion>,
}

/// What a reading changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ObserveResult {
    /// The state has a higher version than before.
    New,
    /// The state is as it was.
    Same,
    /// The reading is stale and was ignored.
    Stale,
}

/// The state of a data centre, for operators and for other processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreStatus {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Its state.
    pub state: DataCentreState,
    /// The version of its state.
    pub version: u64,
    /// The time for which starts are permitted, in milliseconds; zero if they are not.
    pub permit_ms: u64,
}

impl DataCentreView {
    /// Takes a reading whose request was sent at `read_sent_at_ms`. A version never goes back.
    pub fn observe(
        &mut self,
        data_centre: &DataCentreId,
        version: RowVersion,
        state: DataCentreState,
        read_sent_at_ms: u64,
    ) -> ObserveResult {
        let Some(centre) = self.centres.get_mut(data_centre) else {
            let centre =
                Centre { state, version, read_sent_at_ms, passed_until_ms: 0, held_after: None };
            self.centres.insert(data_centre.clone(), centre);
            return ObserveResult::New;
        };
        if version < centre.version {
            return ObserveResult::Stale;
        }
        if version == centre.version {
            centre.read_sent_at_ms = centre.read_sent_at_ms.max(read_sent_at_ms);
            return ObserveResult::Same;
        }
        centre.state = state;
        centre.version = version;
        centre.read_sent_at_ms = read_sent_at_ms;
        // A higher version than the condition's proves that the write took effect or never will.
        centre.held_after.take_if(|held_after| version > *held_after);
        ObserveResult::New
    }

    /// Permits no starts until a higher version shows the result of a write that was sent on condition of a version.
    pub fn hold(&mut self, data_centre: &DataCentreId, condition: RowVersion) {
        let unread = || Centre::new(DataCentreState::In, RowVersion::ABSENT, 0);
        let centre = self.centres.entry(data_centre.clone()).or_insert_with(unread);
        if condition >= centre.version {
            centre.held_after = Some(condition);
        }
    }

    /// Returns the state of a data centre and its version, if it was ever read.
    pub fn state(&self, data_centre: &DataCentreId) -> Option<(DataCentreState, RowVersion)> {
        self.centres.get(data_centre).map(|centre| (centre.state, centre.version))
    }

    /// Grants the remaining time of the permit for a data centre to a process that asked for it before `now_ms`, and
    /// remembers the grant. Zero means that starts are not permitted.
    pub fn grant_permit(&mut self, now_ms: u64, data_centre: &DataCentreId) -> u64 {
        let Some(centre) = self.centres.get_mut(data_centre) else { return 0 };
        let permit_ms = centre.permit_ms(now_ms);
        if permit_ms > 0 {
            let until_ms = now_ms + extend_for_drift(permit_ms);
            centre.passed_until_ms = centre.passed_until_ms.max(until_ms);
        }
        permit_ms
    }

    /// Returns the data centres that are out and for which no permit that this entry granted can be in use, each with
    /// the version of its state.
    pub fn withdrawn(&self, now_ms: u64) -> BTreeMap<DataCentreId, u64> {
        let withdrawn = self
            .centres
            .iter()
            .filter(|(_, c)| c.state == DataCentreState::Out && now_ms >= c.passed_until_ms);
        withdrawn.map(|(id, centre)| (id.clone(), centre.version.0)).collect()
    }

    /// Returns the states of all data centres that were ever read.
    pub fn statuses(&self, now_ms: u64) -> Vec<DataCentreStatus> {
        let status = |(id, centre): (&DataCentreId, &Centre)| DataCentreStatus {
            data_centre: id.clone(),
            state: centre.state,
            version: centre.version.0,
            permit_ms: centre.permit_ms(now_ms),
        };
        self.centres.iter().map(status).collect()
    }
}

impl Centre {
    fn new(state: DataCentreState, version: RowVersion, read_sent_at_ms: u64) -> Self {
        Self { state, version, read_sent_at_ms, passed_until_ms: 0, held_after: None }
    }

    fn permit_ms(&self, now_ms: u64) -> u64 {
        if self.state == DataCentreState::Out || self.held_after.is_some() {
            return 0;
        }
        (self.read_sent_at_ms + shorten_for_drift(VIEW_MS)).saturating_sub(now_ms)
    }
}
