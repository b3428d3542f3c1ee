//! States of data centres as read by an entry, and the start permits that it grants from them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{PERMIT_VALIDITY_MS, extend_for_drift, shorten_for_drift};
use crate::prelude::*;
use crate::store::RowVersion;
use crate::wire::DataCentreState;

/// States of data centres as last read by an entry.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DataCentreView {
    centres: BTreeMap<DataCentreId, Centre>,
}

#[derive(Clone, Debug, Serialize)]
struct Centre {
    state: DataCentreState,
    version: RowVersion,
    /// Send time of the last read that confirmed this version.
    read_sent_at_ms: u64,
    /// Time by which every granted permit has expired at its holder, with the clock drift bound included.
    passed_until_ms: u64,
    /// Version on whose condition a write with an unknown result was sent.
    held_after: Option<RowVersion>,
}

/// Effect of a read on a [`DataCentreView`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ObserveResult {
    /// The state has a higher version than before.
    New,
    /// The version of the state is unchanged.
    Same,
    /// The read returned an older version and was ignored.
    Stale,
}

/// State of a data centre as reported to operators and other processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreStatus {
    /// Data centre to which the status belongs.
    pub data_centre: DataCentreId,
    /// State of the data centre.
    pub state: DataCentreState,
    /// Version of the state.
    pub version: u64,
    /// Time for which starts are still permitted, in milliseconds; zero if they are not.
    pub permit_ms: u64,
}

impl DataCentreView {
    /// Records the result of a read that was sent at `read_sent_at_ms`. Older versions than the recorded one are
    /// ignored.
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
        // Once the version is higher than the write's condition, the write has either taken effect or never will.
        centre.held_after.take_if(|held_after| version > *held_after);
        ObserveResult::New
    }

    /// Permits no starts until the row has a higher version than `condition`, which shows the result of the write that
    /// was sent on condition of that version.
    pub fn hold(&mut self, data_centre: &DataCentreId, condition: RowVersion) {
        let new_centre = || Centre::new(DataCentreState::In, RowVersion::ABSENT, 0);
        let centre = self.centres.entry(data_centre.clone()).or_insert_with(new_centre);
        if condition >= centre.version {
            centre.held_after = Some(condition);
        }
    }

    /// Returns the recorded state of a data centre and its version, if any.
    pub fn state(&self, data_centre: &DataCentreId) -> Option<(DataCentreState, RowVersion)> {
        self.centres.get(data_centre).map(|centre| (centre.state, centre.version))
    }

    /// Grants the remaining permit time for a data centre to a process that sent its request before `now_ms`, and
    /// records when the grant expires. Returns zero if starts are not permitted.
    pub fn grant_permit(&mut self, now_ms: u64, data_centre: &DataCentreId) -> u64 {
        let Some(centre) = self.centres.get_mut(data_centre) else { return 0 };
        let permit_ms = centre.permit_ms(now_ms);
        if permit_ms > 0 {
            let until_ms = now_ms + extend_for_drift(permit_ms);
            centre.passed_until_ms = centre.passed_until_ms.max(until_ms);
        }
        permit_ms
    }

    /// Returns the data centres that are out of service and for which every permit granted by this entry has expired,
    /// each with the version of its state.
    pub fn withdrawn(&self, now_ms: u64) -> BTreeMap<DataCentreId, u64> {
        let withdrawn = self
            .centres
            .iter()
            .filter(|(_, c)| c.state == DataCentreState::Out && now_ms >= c.passed_until_ms);
        withdrawn.map(|(id, centre)| (id.clone(), centre.version.0)).collect()
    }

    /// Returns the status of every recorded data centre.
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
        (self.read_sent_at_ms + shorten_for_drift(PERMIT_VALIDITY_MS)).saturating_sub(now_ms)
    }
}
