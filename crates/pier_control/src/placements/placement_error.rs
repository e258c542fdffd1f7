//! Why a placement is not valid.

use std::{error, fmt};

use pier_types::ids;

/// The reason why a placement is not valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementError {
    /// The value is not the JSON of a placement.
    Malformed(String),
    /// A VM belongs to two groups, or twice to one group.
    DuplicateVm {
        /// The VM.
        vm: ids::VmName,
        /// The group in which it was found for the second time.
        group: u64,
    },
    /// A group has no members.
    NoMembers {
        /// The group.
        group: u64,
    },
    /// A group's number or generation was not issued by the counters.
    UnissuedNumber {
        /// The group.
        group: u64,
    },
}

impl fmt::Display for PlacementError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(reason) => write!(f, "placement does not parse: {reason}"),
            Self::DuplicateVm { vm, group } => {
                write!(f, "VM {vm} of group {group} already has a place")
            }
            Self::NoMembers { group } => write!(f, "group {group} has no members"),
            Self::UnissuedNumber { group } => {
                write!(
                    f,
                    "number or generation of group {group} was not issued by the counters"
                )
            }
        }
    }
}

impl error::Error for PlacementError {}
