//! The stored form of a placement, before validation.

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
    /// The counters for group numbers and generations.
    pub counters: placements::PlacementCounters,
    /// The groups by number.
    pub groups: collections::BTreeMap<u64, placements::GroupPlacement>,
}
