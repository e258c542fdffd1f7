//! A VM together with its condition, as the planner uses it.

use std::net;

use pier_types::{epochs, ids};

use crate::{placements, planning};

/// A VM of the data centre that may become a member of a group.
#[derive(Debug, Clone)]
pub(super) struct PlanVm {
    /// The highest incarnation that the VM list or a probe reported.
    pub incarnation: epochs::VmIncarnation,
    /// The address on which its engine listens.
    pub address: net::SocketAddr,
    /// The fabric domain.
    pub domain: ids::DomainName,
    /// Whether the VM list marks it as leaving.
    pub is_leaving: bool,
    /// Its condition according to probes, if it was ever probed.
    pub condition: Option<planning::VmCondition>,
}

impl PlanVm {
    /// Returns whether the VM may be added to a group.
    pub fn is_usable(&self) -> bool {
        let is_healthy = matches!(self.condition, Some(planning::VmCondition::Healthy { .. }));
        is_healthy && !self.is_leaving
    }

    /// Returns whether the VM has stopped answering probes.
    pub fn is_unreachable(&self) -> bool {
        matches!(
            self.condition,
            Some(planning::VmCondition::Unreachable { .. })
        )
    }

    /// Creates the member slot for this VM, whose name is `vm`.
    pub fn slot(&self, vm: ids::VmName) -> placements::MemberSlot {
        placements::MemberSlot {
            vm,
            incarnation: self.incarnation,
            address: self.address,
        }
    }
}
