//! The state that one tick of the control loop works on.

use std::{collections, sync};

use pier_control::{health, placements, planning};
use pier_types::ids;

/// The groups and VMs of the data centre with their health at one point in time.
#[derive(Debug)]
pub(super) struct ControlView {
    /// The placement in force, if one was read.
    pub(super) placement: Option<placements::DataCentrePlacement>,
    /// The newest evidence of each VM.
    pub(super) evidence: sync::Arc<collections::BTreeMap<ids::VmName, health::VmEvidence>>,
    /// The health of the groups.
    pub(super) health: health::HealthView,
    /// What each VM can be used for.
    pub(super) conditions: collections::BTreeMap<ids::VmName, planning::VmCondition>,
}
