//! Rates and limits of weight loads.

use std::time;

use pier_types::rates;

/// How fast weights can be loaded, and how long a load may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadSettings {
    /// The total read rate of the store.
    pub store_rate: rates::ByteRate,
    /// The rate at which one VM can load weights.
    pub vm_rate: rates::ByteRate,
    /// A load that takes longer than this is moved behind the other waiting loads.
    pub timeout: time::Duration,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            store_rate: rates::ByteRate::new(10_000_000_000),
            vm_rate: rates::ByteRate::new(1_000_000_000),
            timeout: time::Duration::from_mins(10),
        }
    }
}

impl LoadSettings {
    /// Returns how many VMs that load at full rate use the whole rate of the store, at least 1.
    pub fn max_active_vms(&self) -> u64 {
        let vm_rate = self.vm_rate.get().max(1);
        (self.store_rate.get() / vm_rate).max(1)
    }
}
