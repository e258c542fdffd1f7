//! `[data-centre NAME]`.

use std::collections;

use pier_types::{ids, sizes};

use crate::documents;

/// One data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DataCentreSection {
    /// The region it belongs to.
    pub region: ids::RegionName,
    /// Whether it takes new work.
    pub state: documents::DataCentreState,
    /// Fixed number of slots for nodes; limits are split over it when nobody can be asked.
    pub entry_slots: sizes::VmCount,
    /// Replica groups of each model.
    pub replicas: collections::BTreeMap<ids::ModelName, documents::ReplicaCount>,
}
