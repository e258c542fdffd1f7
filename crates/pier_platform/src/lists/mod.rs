//! The platform's VM list, which lags behind the actual state of the VMs.

mod vm_list_client;
mod vm_listing;

pub use vm_list_client::VmListClient;
pub use vm_listing::VmListing;
