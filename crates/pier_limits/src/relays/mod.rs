//! Distributes the VM list to the nodes of a data centre, so that not every node reads the
//! platform.
//!
//! The reader, which is the node that holds the control lease, reads the list; the other nodes
//! pull the changes from it ([`VmRelay`]). A node that does not hear of a recent reading reads
//! the platform itself. A reading is one call to the platform for the list. The lease only saves
//! such calls: which of two lists is newer depends on the [`ReadingSpan`] alone.

mod current_list;
mod list_history;
mod list_pulls;
mod list_role;
mod reading_outcome;
mod reading_span;
mod relay_event;
mod vm_relay;

pub(crate) use current_list::CurrentList;
pub(crate) use list_history::ListHistory;
pub(crate) use list_pulls::ListPulls;
pub use list_role::ListRole;
pub use reading_outcome::ReadingOutcome;
pub use reading_span::ReadingSpan;
pub use relay_event::RelayEvent;
pub use vm_relay::VmRelay;

use std::collections;

use pier_types::{ids, vms};

/// The VMs of one data centre by name.
pub type VmMap = collections::BTreeMap<ids::VmName, vms::VmEntry>;
