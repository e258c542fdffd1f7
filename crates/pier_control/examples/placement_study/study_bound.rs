//! The downtime that no placement of groups could avoid.

use std::collections;

use pier_types::ids;

use crate::{sim_vm, study_rates};

/// Returns how many wanted groups do not fit on the working VMs, however these are grouped.
///
/// This is a lower bound that no policy can reach, since it ignores the time for weight loads and
/// for failure detection, and VMs that are leaving.
pub fn missing_groups(
    vms: &collections::BTreeMap<ids::VmName, sim_vm::SimVm>,
    small_groups: u32,
) -> u64 {
    let mut up_vms = collections::BTreeMap::<ids::DomainName, u32>::new();
    for vm in vms.values().filter(|vm| vm.is_up) {
        *up_vms.entry(vm.entry.domain.clone()).or_default() += 1;
    }
    let places = |members: u32| up_vms.values().map(|up| up / members).sum::<u32>();
    let small_places = places(study_rates::SMALL_MEMBERS);
    let small_for_large = study_rates::LARGE_MEMBERS / study_rates::SMALL_MEMBERS;
    let most_large = places(study_rates::LARGE_MEMBERS).min(study_rates::LARGE_GROUPS);
    let best = (0..=most_large)
        .map(|large| {
            let left = small_places.saturating_sub(large * small_for_large);
            large + left.min(small_groups)
        })
        .max();
    let wanted = study_rates::LARGE_GROUPS + small_groups;
    u64::from(wanted.saturating_sub(best.unwrap_or_default()))
}
