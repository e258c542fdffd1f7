//! A VM list without duplicate names.

use std::collections;

use pier_types::{ids, vms};

/// The VM list as fetched, with each name once.
///
/// The platform's list lags, and contains a name twice when the name was given to another machine.
/// The entry with the higher incarnation is kept.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VmListing {
    /// The VMs, sorted by name.
    pub entries: Vec<vms::VmEntry>,
    /// Names that the fetched list contained more than once, for the log.
    pub duplicates: Vec<ids::VmName>,
    /// The `ETag` of the list, if the platform sent one.
    pub tag: Option<String>,
}

impl VmListing {
    /// Creates a listing with the highest incarnation of each name.
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

    /// Returns whether `entry` replaces `current`. Between equal incarnations the leaving one is
    /// kept, since it is always safe to stop using a VM.
    fn supersedes(entry: &vms::VmEntry, current: &vms::VmEntry) -> bool {
        let same = entry.incarnation == current.incarnation;
        let leaving = entry.state == vms::VmState::Leaving;
        entry.incarnation > current.incarnation || (same && leaving)
    }
}
