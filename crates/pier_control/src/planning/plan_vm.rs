//! One VM as the planner sees it.

use std::net;

use pier_types::{epochs, ids};

use crate::{placements, planning};

/// A VM of the data centre that may become a member of a group.
#[derive(Debug, Clone)]
pub(super) struct PlanVm {
    /// The newest incarnation that the list or a probe told of.
    pub incarnation: epochs::VmIncarnation,
    /// Where its engine listens.
    pub address: net::SocketAddr,
    /// The fabric domain.
    pub domain: ids::DomainName,
    /// Whether the list says that it will go.
    pub is_leaving: bool,
    /// What probes tell of it.
    pub condition: Option<planning::VmCondition>,
}

impl PlanVm {
    /// Tells whether the VM may be taken into a group.
    pub fn is_usable(&self) -> bool {
        let is_sound = matches!(self.condition, Some(planning::VmCondition::Sound { .. }));
        is_sound && !self.is_leaving
    }

    /// Tells whether the VM has stopped answering.
    pub fn is_silent(&self) -> bool {
        matches!(
            self.condition,
            Some(planning::VmCondition::Unreachable { .. })
        )
    }

    /// Makes the slot that the VM takes in a group.
    pub fn slot(&self, vm: ids::VmName) -> placements::MemberSlot {
        placements::MemberSlot {
            vm,
            incarnation: self.incarnation,
            address: self.address,
        }
    }
}
