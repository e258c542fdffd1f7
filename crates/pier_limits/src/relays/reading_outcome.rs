//! The end of one reading of the platform.

use crate::relays;

/// How a reading of the platform's VM list ended.
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
}
