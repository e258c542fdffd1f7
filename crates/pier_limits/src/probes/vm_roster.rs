//! The VM list after its consistency check.

use std::collections;

use pier_types::{ids, vms};

use crate::probes;

/// One entry for each VM, although an outdated list may name a VM twice.
///
/// The entry with the highest incarnation counts. A VM is leaving if any entry of that
/// incarnation says so. A VM with two entries of that incarnation that differ in address, data
/// centre, domain or pool is left out and reported as a conflict.
///
/// ```
/// use pier_limits::probes;
///
/// let roster = probes::VmRoster::from_list(Vec::new());
/// assert!(roster.entries.is_empty() && roster.conflicts.is_empty());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VmRoster {
    /// The VMs without a conflict.
    pub entries: collections::BTreeMap<ids::VmName, vms::VmEntry>,
    /// The conflicts; their VMs are not among the entries.
    pub conflicts: Vec<probes::RosterConflict>,
}

impl VmRoster {
    /// Checks a list and removes duplicate entries.
    pub fn from_list(list: Vec<vms::VmEntry>) -> Self {
        let mut entries = collections::BTreeMap::<ids::VmName, vms::VmEntry>::new();
        let mut conflicts = collections::BTreeMap::new();
        for entry in list {
            let Some(known) = entries.get_mut(&entry.name) else {
                entries.insert(entry.name.clone(), entry);
                continue;
            };
            if entry.incarnation > known.incarnation {
                *known = entry;
            } else if entry.incarnation == known.incarnation {
                if !agrees(known, &entry) {
                    conflicts.insert(entry.name.clone(), entry.incarnation);
                }
                known.state = known.state.max(entry.state);
            }
        }
        // A later incarnation overrides a conflict between earlier entries.
        conflicts.retain(|vm, incarnation| {
            entries
                .get(vm)
                .is_some_and(|entry| entry.incarnation == *incarnation)
        });
        entries.retain(|vm, _| !conflicts.contains_key(vm));
        let conflicts = conflicts
            .into_iter()
            .map(|(vm, incarnation)| probes::RosterConflict { vm, incarnation })
            .collect();
        Self { entries, conflicts }
    }

    /// Returns the VM names of one data centre.
    pub fn names_in(
        &self,
        data_centre: &ids::DataCentreName,
    ) -> collections::BTreeSet<ids::VmName> {
        self.entries
            .values()
            .filter(|entry| entry.data_centre == *data_centre)
            .map(|entry| entry.name.clone())
            .collect()
    }

    /// Returns the VM names of each fabric domain.
    pub fn domains(&self) -> collections::BTreeMap<ids::DomainName, Vec<ids::VmName>> {
        let mut domains = collections::BTreeMap::<_, Vec<_>>::new();
        for entry in self.entries.values() {
            let names = domains.entry(entry.domain.clone()).or_default();
            names.push(entry.name.clone());
        }
        domains
    }
}

fn agrees(one: &vms::VmEntry, two: &vms::VmEntry) -> bool {
    one.address == two.address
        && one.data_centre == two.data_centre
        && one.domain == two.domain
        && one.pool == two.pool
}
