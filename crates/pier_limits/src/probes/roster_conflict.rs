//! A contradiction in the VM list.

use std::fmt;

use pier_types::{epochs, ids};

/// Two entries of one list that cannot both be correct.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterConflict {
    /// The VM that is listed twice.
    pub vm: ids::VmName,
    /// The incarnation that both entries have.
    pub incarnation: epochs::VmIncarnation,
}

impl fmt::Display for RosterConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the VM list names {} twice as incarnation {} with other facts",
            self.vm, self.incarnation
        )
    }
}
