//! The identifier of a target.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids;

/// Identifies a target of requests: a replica group or a VM of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TargetId {
    /// A replica group; its first member receives the requests.
    Group(ids::GroupId),
    /// A VM that runs a plain service.
    Vm(ids::VmName),
}

impl fmt::Display for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Group(group) => write!(f, "group:{group}"),
            Self::Vm(vm) => write!(f, "vm:{vm}"),
        }
    }
}
