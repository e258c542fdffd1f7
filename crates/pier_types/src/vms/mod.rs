//! VMs as listed by the platform.

mod vm_entry;
mod vm_pool;
mod vm_state;

pub use vm_entry::VmEntry;
pub use vm_pool::VmPool;
pub use vm_state::VmState;
