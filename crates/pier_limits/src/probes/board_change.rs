//! What a new result changed.

use pier_types::{epochs, ids};

/// News of a VM that others act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BoardChange {
    /// The VM runs as another incarnation: it restarted, and what it held is gone.
    Returned {
        /// The VM.
        vm: ids::VmName,
        /// The incarnation that ended.
        earlier: epochs::VmIncarnation,
        /// The incarnation that runs.
        present: epochs::VmIncarnation,
    },
    /// The VM answers again after it was missing, as the same incarnation: it was paused or cut off.
    Resumed {
        /// The VM.
        vm: ids::VmName,
    },
}
