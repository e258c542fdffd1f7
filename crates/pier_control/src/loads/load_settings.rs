//! Rates of the weight store.

use std::time;

use pier_types::rates;

/// How fast weights can be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadSettings {
    /// What the store gives to all VMs together.
    pub store_rate: rates::ByteRate,
    /// What one VM can take in.
    pub vm_rate: rates::ByteRate,
    /// A load that has taken this long goes back behind the others.
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
    /// Returns how many VMs use the store up, at least one.
    pub fn active_vms(&self) -> u64 {
        let vm_rate = self.vm_rate.get().max(1);
        (self.store_rate.get() / vm_rate).max(1)
    }
}
