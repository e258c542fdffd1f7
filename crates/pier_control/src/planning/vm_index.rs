//! The VMs of a data centre by name.

use std::collections;

use pier_types::{ids, vms};

use crate::{placements, planning};

/// The data centre's VMs according to the platform's VM list and the probes.
#[derive(Debug, Clone)]
pub(super) struct VmIndex {
    vms: collections::BTreeMap<ids::VmName, planning::PlanVm>,
    ambiguous: collections::BTreeSet<ids::VmName>,
    held_domains: collections::BTreeSet<ids::DomainName>,
    is_view_doubtful: bool,
}

impl VmIndex {
    /// Builds the index.
    pub fn build(input: &planning::PlanInput<'_>, settings: &planning::PlannerSettings) -> Self {
        let mut index = Self {
            vms: collections::BTreeMap::new(),
            ambiguous: collections::BTreeSet::new(),
            held_domains: collections::BTreeSet::new(),
            is_view_doubtful: false,
        };
        for entry in input.vms {
            index.add(entry, input);
        }
        for vm in &index.ambiguous {
            index.vms.remove(vm);
        }
        index.assess_domains(input, settings);
        index
    }

    /// Returns a VM, unless it is not listed or its entries conflict.
    pub fn vm(&self, name: &ids::VmName) -> Option<&planning::PlanVm> {
        self.vms.get(name)
    }

    /// Returns all VMs whose entries do not conflict.
    pub fn vms(&self) -> impl Iterator<Item = (&ids::VmName, &planning::PlanVm)> {
        self.vms.iter()
    }

    /// Returns the VMs whose entries in the VM list differ in domain or address.
    pub fn ambiguous(&self) -> &collections::BTreeSet<ids::VmName> {
        &self.ambiguous
    }

    /// Returns the domains with a recent outage, in which unreachable members are not replaced yet.
    pub fn held_domains(&self) -> &collections::BTreeSet<ids::DomainName> {
        &self.held_domains
    }

    /// Returns whether so many VMs are unreachable that this node itself is probably cut off.
    pub fn is_view_doubtful(&self) -> bool {
        self.is_view_doubtful
    }

    /// Returns the status of a member of a group in `domain`.
    pub fn member_status(
        &self,
        slot: &placements::MemberSlot,
        domain: &ids::DomainName,
        input: &planning::PlanInput<'_>,
        settings: &planning::PlannerSettings,
    ) -> planning::MemberStatus {
        let condition = input.conditions.get(&slot.vm);
        let Some(vm) = self.vms.get(&slot.vm) else {
            return self.unlisted_status(slot, condition);
        };
        if vm.domain != *domain {
            return planning::MemberStatus::Lost;
        }
        if vm.incarnation != slot.incarnation {
            return if vm.is_unreachable() {
                planning::MemberStatus::Lost
            } else {
                planning::MemberStatus::Restarted
            };
        }
        match condition {
            Some(planning::VmCondition::Unreachable { since }) => {
                let is_over = input.now.since(*since) >= settings.repair_delay;
                if is_over && !self.is_view_doubtful && !self.held_domains.contains(domain) {
                    planning::MemberStatus::Lost
                } else {
                    planning::MemberStatus::Suspect
                }
            }
            Some(planning::VmCondition::Straggling { since, .. })
                if input.now.since(*since) >= settings.straggler_delay =>
            {
                planning::MemberStatus::NeedsSuccessor
            }
            _ if vm.is_leaving => planning::MemberStatus::NeedsSuccessor,
            _ => planning::MemberStatus::Healthy,
        }
    }

    /// Returns the status of a member that the VM list does not name or names ambiguously.
    ///
    /// It counts as healthy while it answers, since the list may be out of date. It does not count
    /// as lost while its entries conflict or this node's view is unreliable.
    fn unlisted_status(
        &self,
        slot: &placements::MemberSlot,
        condition: Option<&planning::VmCondition>,
    ) -> planning::MemberStatus {
        let incarnation = condition.and_then(planning::VmCondition::incarnation);
        if incarnation == Some(slot.incarnation) {
            return planning::MemberStatus::Healthy;
        }
        if self.ambiguous.contains(&slot.vm) || self.is_view_doubtful {
            planning::MemberStatus::Suspect
        } else {
            planning::MemberStatus::Lost
        }
    }

    /// Adds one entry of the VM list; if a name occurs more than once, the highest incarnation
    /// counts.
    fn add(&mut self, entry: &vms::VmEntry, input: &planning::PlanInput<'_>) {
        let is_foreign = entry.data_centre != *input.present.data_centre();
        if is_foreign || entry.pool != vms::VmPool::Accelerator {
            return;
        }
        let condition = input.conditions.get(&entry.name).copied();
        let reported = condition.and_then(|condition| condition.incarnation());
        let vm = planning::PlanVm {
            incarnation: entry.incarnation.max(reported.unwrap_or_default()),
            address: entry.address,
            domain: entry.domain.clone(),
            is_leaving: entry.state == vms::VmState::Leaving,
            condition,
        };
        match self.vms.get_mut(&entry.name) {
            None => {
                self.vms.insert(entry.name.clone(), vm);
            }
            Some(known) if known.domain != vm.domain || known.address != vm.address => {
                self.ambiguous.insert(entry.name.clone());
            }
            Some(known) => {
                known.incarnation = known.incarnation.max(vm.incarnation);
                known.is_leaving |= vm.is_leaving;
            }
        }
    }

    /// Finds domain outages, and decides whether this node's own view is unreliable.
    fn assess_domains(
        &mut self,
        input: &planning::PlanInput<'_>,
        settings: &planning::PlannerSettings,
    ) {
        let mut counts: collections::BTreeMap<&ids::DomainName, planning::DomainReachability> =
            collections::BTreeMap::new();
        for vm in self.vms.values() {
            counts.entry(&vm.domain).or_default().add(vm, input);
        }
        let total: usize = counts.values().map(|count| count.total).sum();
        let unreachable: usize = counts.values().map(|count| count.unreachable).sum();
        self.is_view_doubtful = unreachable * 1_000 > total * settings.doubtful_view_permille;
        let held = counts.into_iter().filter(|(_domain, count)| {
            let has_outage = count.unreachable > 1
                && count.unreachable * 1_000 >= count.total * settings.outage_permille;
            has_outage && count.shortest_silence < settings.outage_delay
        });
        self.held_domains = held.map(|(domain, _count)| domain.clone()).collect();
    }
}
