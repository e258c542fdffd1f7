//! A change of one VM between two lists.

use pier_types::{ids, vms};
use serde::{Deserialize, Serialize};

/// A change of one VM between two VM lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListChange {
    /// The VM was added, or its entry changed.
    Put(vms::VmEntry),
    /// The VM was removed.
    Gone(ids::VmName),
}

impl ListChange {
    /// Returns the name of the VM.
    pub const fn vm(&self) -> &ids::VmName {
        match self {
            Self::Put(entry) => &entry.name,
            Self::Gone(vm) => vm,
        }
    }
}
