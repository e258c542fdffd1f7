//! One difference between two VM lists.

use pier_types::{ids, vms};
use serde::{Deserialize, Serialize};

/// What happened to one VM between two lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListChange {
    /// It is new, or its entry changed.
    Put(vms::VmEntry),
    /// It is no longer listed.
    Gone(ids::VmName),
}

impl ListChange {
    /// Returns the VM.
    pub const fn vm(&self) -> &ids::VmName {
        match self {
            Self::Put(entry) => &entry.name,
            Self::Gone(vm) => vm,
        }
    }
}
