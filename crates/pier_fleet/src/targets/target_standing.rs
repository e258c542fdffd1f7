//! What a VM says of itself.

use pier_types::{epochs, ids};

use crate::targets;

/// A VM's own word on its start, its weights and its group.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TargetStanding {
    /// Tells starts under one name apart; rises with each start.
    pub born: epochs::VmIncarnation,
    /// Orders that began something since that start.
    pub orders: u64,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Fabric domain, for VMs that form groups.
    pub domain: Option<ids::DomainName>,
    /// Models whose weights lie on the host.
    pub staged: Vec<ids::ModelName>,
    /// Model that the VM runs now.
    pub running: Option<ids::ModelName>,
    /// The group that the VM belongs to.
    pub membership: Option<targets::GroupMembership>,
}

impl TargetStanding {
    /// Tells whether another word of the same VM is newer than this one.
    pub fn is_older_than(&self, other: &Self) -> bool {
        (self.born, self.orders) < (other.born, other.orders)
    }

    /// Tells whether both words are of the same start and order.
    pub fn is_as_old_as(&self, other: &Self) -> bool {
        (self.born, self.orders) == (other.born, other.orders)
    }
}
