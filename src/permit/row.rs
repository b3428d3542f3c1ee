//! Rows `config/datacentre/{id}` of the table. The version of a data centre's state is the version of its row.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::wire::DataCentreState;

/// Key prefix of the rows of data centres.
pub const DATA_CENTRE_ROW_PREFIX: &str = "config/datacentre/";

/// Content of the row of a data centre. A data centre without a row is in service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreRow {
    /// State of the data centre.
    pub state: DataCentreState,
    /// Operator that set the state.
    pub changed_by: String,
    /// Entry that wrote the row.
    pub entry: ProcessId,
}

/// Returns the key of the row of a data centre.
pub fn data_centre_key(data_centre: &DataCentreId) -> String {
    format!("{DATA_CENTRE_ROW_PREFIX}{data_centre}")
}

/// Returns the data centre of a row key, or `None` if the key belongs to another kind of row.
pub fn data_centre_of(key: &str) -> Option<DataCentreId> {
    key.strip_prefix(DATA_CENTRE_ROW_PREFIX).map(DataCentreId::from)
}
