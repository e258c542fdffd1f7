//! How the VM list reaches each node of a data centre without each node reading the platform.
//!
//! One node, the control lease's holder, reads the list; the others pull what changed
//! ([`VmRelay`]). A node that hears of no recent reading reads the platform itself. The lease only
//! spares calls: which of two lists is newer is told by the [`ReadingSpan`] alone.

mod held_list;
mod list_duty;
mod list_history;
mod list_pulls;
mod reading_outcome;
mod reading_span;
mod relay_event;
mod vm_relay;

pub(crate) use held_list::HeldList;
pub use list_duty::ListDuty;
pub(crate) use list_history::ListHistory;
pub(crate) use list_pulls::ListPulls;
pub use reading_outcome::ReadingOutcome;
pub use reading_span::ReadingSpan;
pub use relay_event::RelayEvent;
pub use vm_relay::VmRelay;

use std::collections;

use pier_types::{ids, vms};

/// The VMs of one data centre by name.
pub type VmMap = collections::BTreeMap<ids::VmName, vms::VmEntry>;
