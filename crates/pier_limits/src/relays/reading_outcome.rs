//! The result of one reading of the VM list.

use std::time;

use crate::relays;

/// How a reading of the VM list ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadingOutcome {
    /// The platform did not answer.
    Failed,
    /// The list still has the tag that the call named.
    Unchanged,
    /// The platform returned the list.
    Listed {
        /// The VMs of this node's data centre.
        list: relays::VmMap,
        /// The platform's tag of the whole list, if it gave one.
        tag: Option<String>,
    },
    /// Another node returned its whole list, with the ages of its reading at the time of its
    /// answer.
    Copied {
        /// The VMs of this node's data centre.
        list: relays::VmMap,
        /// Time since that node sent the call to the platform.
        oldest: time::Duration,
        /// Time since the platform answered that call.
        youngest: time::Duration,
    },
}
