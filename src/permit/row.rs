//! The rows `config/datacentre/{id}`. The version of a data centre's state is the version of its row.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::wire::DataCentreState;

/// The beginning of the keys of all rows of data centres.
pub const DATA_CENTRE_ROW_PREFIX: &str = "config/datacentre/";

/// The content of the row of a data centre. A data centre without a row is in service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreRow {
    /// The state.
    pub state: DataCentreState,
    /// The operator that changed it.
    pub changed_by: String,
    /// The entry that wrote the row.
    pub entry: ProcessId,
}

/// Returns the key of the row of a data centre.
pub fn data_centre_key(data_centre: &DataCentreId) -> String {
    format!("{DATA_CENTRE_ROW_PREFIX}{data_centre}")
}

/// Returns the data centre to whose row a key belongs.
pub fn data_centre_of(key: &str) -> Option<DataCentreId> {
    key.strip_prefix(DATA_CENTRE_ROW_PREFIX).map(DataCentreId::from)
}
