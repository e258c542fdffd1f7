//! The section `[data-centre NAME]`.

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
    /// Number of slots for nodes. Each slot owns a fixed part of every in-flight limit, which a
    /// node may use even when it can reach no other node.
    pub entry_slots: sizes::VmCount,
    /// Number of replica groups of each model.
    pub replicas: collections::BTreeMap<ids::ModelName, documents::ReplicaCount>,
}
