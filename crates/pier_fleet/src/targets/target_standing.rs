//! The status that a VM reports.

use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

use crate::targets;

/// Status that a VM reports: its incarnation, weights and group.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TargetStanding {
    /// Incarnation of the VM; rises with each start under the same name.
    pub born: epochs::VmIncarnation,
    /// Orders that started an action in this incarnation; reported only in answers to queries, not
    /// in registrations.
    pub orders: u64,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Fabric domain; set for VMs that form groups.
    pub domain: Option<ids::DomainName>,
    /// Models whose weights are staged on the host.
    pub staged: Vec<ids::ModelName>,
    /// Model that the VM is running.
    pub running: Option<ids::ModelName>,
    /// The group that the VM belongs to.
    pub membership: Option<targets::GroupMembership>,
}

impl TargetStanding {
    /// Merges this status, read from a registration, with the one known before.
    ///
    /// Registrations do not include the number of orders, and may be older than a status that the
    /// VM returned to a query or an order. Within one incarnation the generation of a VM's group
    /// only rises, and so does its phase within one generation.
    #[must_use]
    pub fn merge_known(mut self, known: &Self) -> Self {
        if self.born < known.born {
            return known.clone();
        }
        if self.born > known.born {
            return self;
        }
        self.orders = known.orders;
        if self.progress() < known.progress() {
            self.membership.clone_from(&known.membership);
            self.running.clone_from(&known.running);
        }
        self
    }

    /// Returns a key that orders the statuses of one incarnation by age.
    fn progress(&self) -> Option<(epochs::GroupGeneration, targets::GroupPhase)> {
        let membership = self.membership.as_ref()?;
        Some((membership.generation, membership.phase))
    }
}
