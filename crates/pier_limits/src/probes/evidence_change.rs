//! Changes of a VM that a new probe result shows.

use pier_types::{epochs, ids};

/// A change of a VM that other parts of the node act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvidenceChange {
    /// The VM runs as another incarnation: it restarted, and its previous state is lost.
    Restarted {
        /// The VM.
        vm: ids::VmName,
        /// The incarnation that ended.
        earlier: epochs::VmIncarnation,
        /// The incarnation that runs.
        present: epochs::VmIncarnation,
    },
    /// The VM answers again after its evidence had expired, as the same incarnation: it was
    /// paused or cut off.
    Resumed {
        /// The VM.
        vm: ids::VmName,
    },
}
