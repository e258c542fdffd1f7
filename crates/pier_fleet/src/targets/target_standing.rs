//! What a VM says of itself.

use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

use crate::targets;

/// A VM's own word on its start, its weights and its group.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TargetStanding {
    /// Tells starts under one name apart; rises with each start.
    pub born: epochs::VmIncarnation,
    /// Orders that began something since that start; told only in answers to questions.
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
    /// Returns this word of a registration together with what was known before.
    ///
    /// Registrations do not tell the count of orders, and may be older than what the VM said when
    /// it was asked or took an order. Within one start the generation of a VM's group only rises,
    /// and so does its phase within one generation.
    #[must_use]
    pub fn after(mut self, known: &Self) -> Self {
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

    /// Orders words of one start by what the VM has gone through.
    fn progress(&self) -> Option<(epochs::GroupGeneration, targets::GroupPhase)> {
        let membership = self.membership.as_ref()?;
        Some((membership.generation, membership.phase))
    }
}
