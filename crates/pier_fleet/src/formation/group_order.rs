//! Orders to members.

use pier_types::{epochs, ids};

/// What a VM is told to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Take a place in a group, loading the model if need be.
    Join {
        /// The model of the group.
        model: ids::ModelName,
        /// All members; the first one takes the requests.
        members: Vec<ids::VmName>,
        /// Whether the weights come from the shared store.
        needs_load: bool,
    },
    /// Start to take requests.
    Open,
    /// End the membership at once.
    Leave,
}

impl OrderKind {
    /// Returns the word for logs.
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
    /// The VM.
    pub vm: ids::VmName,
    /// The start of the VM that is meant.
    pub born: epochs::VmIncarnation,
    /// The count of orders that the VM must have taken; any other count voids the order.
    pub expected_orders: u64,
    /// The group.
    pub group: ids::GroupName,
    /// The generation of its members.
    pub generation: epochs::GroupGeneration,
    /// What to do.
    pub kind: OrderKind,
}
