//! The end of one reading.

use std::time;

use crate::relays;

/// How a reading of the VM list ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadingOutcome {
    /// The platform did not answer.
    Failed,
    /// The list still has the tag that was named.
    Unchanged,
    /// The list came.
    Listed {
        /// The part of the own data centre.
        list: relays::VmMap,
        /// The platform's tag of the whole list, if it gave one.
        tag: Option<String>,
    },
    /// Another node gave its whole list, with the ages of its reading when it answered.
    Copied {
        /// The part of the own data centre.
        list: relays::VmMap,
        /// Time since the reading was sent to the platform.
        oldest: time::Duration,
        /// Time since the reading was answered.
        youngest: time::Duration,
    },
}
