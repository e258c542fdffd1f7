//! A placement as it is written, before its rules are checked.

use std::collections;

use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

use crate::placements;

/// The JSON of a placement.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct RawPlacement {
    /// The data centre.
    pub data_centre: ids::DataCentreName,
    /// The term of the lease under which it was written.
    pub lease_term: epochs::LeaseTerm,
    /// Numbers given out.
    pub counters: placements::PlacementCounters,
    /// The groups by number.
    pub groups: collections::BTreeMap<u64, placements::GroupPlacement>,
}
