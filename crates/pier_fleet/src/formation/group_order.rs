//! Orders that the planner sends to VMs.

use pier_types::{epochs, ids};

/// The action that a VM is ordered to take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Join a group, loading the model if necessary.
    Join {
        /// The model of the group.
        model: ids::ModelName,
        /// All members; the first one receives the requests.
        members: Vec<ids::VmName>,
        /// Whether the VM has to load the weights from the shared store.
        needs_load: bool,
    },
    /// Start to accept requests.
    Open,
    /// Leave the group immediately.
    Leave,
}

impl OrderKind {
    /// Returns the label used in logs.
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Join { .. } => "join",
            Self::Open => "open",
            Self::Leave => "leave",
        }
    }
}

/// One order to one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupOrder {
    /// The VM that the order is for.
    pub vm: ids::VmName,
    /// Incarnation of the VM that the order is for.
    pub born: epochs::VmIncarnation,
    /// Number of orders that the VM must have taken; with any other number the order has no
    /// effect.
    pub expected_orders: u64,
    /// The group that the order concerns.
    pub group: ids::GroupName,
    /// The generation of the group's member list.
    pub generation: epochs::GroupGeneration,
    /// The action to take.
    pub kind: OrderKind,
}
