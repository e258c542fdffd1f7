//! The purpose of a VM.

use serde::{Deserialize, Serialize};

use crate::ids;

/// The kind of work that a VM is for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmPool {
    /// Has an accelerator and a model engine; may become a member of a replica group.
    Accelerator,
    /// Runs a plain service.
    Service(ids::ServiceName),
}
