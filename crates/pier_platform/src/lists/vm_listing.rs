//! A VM list with each name once.

use std::collections;

use pier_types::{ids, vms};

/// The VM list as fetched, each name once.
///
/// The platform's list lags and may hold one name twice, when a name was given to another machine.
/// The higher incarnation is kept.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VmListing {
    /// The VMs, in the order of their names.
    pub entries: Vec<vms::VmEntry>,
    /// Names that stood in the list more than once, for the log.
    pub duplicates: Vec<ids::VmName>,
    /// The platform's mark of this list, if it gave one.
    pub tag: Option<String>,
}

impl VmListing {
    /// Keeps the highest incarnation of each name.
    pub fn new(entries: Vec<vms::VmEntry>) -> Self {
        let mut kept = collections::BTreeMap::<ids::VmName, vms::VmEntry>::new();
        let mut duplicates = collections::BTreeSet::new();
        for entry in entries {
            let Some(current) = kept.get_mut(&entry.name) else {
                kept.insert(entry.name.clone(), entry);
                continue;
            };
            duplicates.insert(entry.name.clone());
            if Self::supersedes(&entry, current) {
                *current = entry;
            }
        }
        Self {
            entries: kept.into_values().collect(),
            duplicates: duplicates.into_iter().collect(),
            tag: None,
        }
    }

    /// Of two equal incarnations the leaving one is kept: stopping is always safe.
    fn supersedes(entry: &vms::VmEntry, current: &vms::VmEntry) -> bool {
        let same = entry.incarnation == current.incarnation;
        let leaving = entry.state == vms::VmState::Leaving;
        entry.incarnation > current.incarnation || (same && leaving)
    }
}
