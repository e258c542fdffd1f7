//! Why a query to a VM brought no usable answer.

use std::fmt;

/// What is known about a VM whose query failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueryFault {
    /// Nothing came in time. The VM may be sound and answer later.
    Silent,
    /// The VM refused or broke off the connection, or its answer is of no use.
    Failed(String),
}

impl fmt::Display for QueryFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Silent => f.write_str("no answer came in time"),
            Self::Failed(reason) => f.write_str(reason),
        }
    }
}
