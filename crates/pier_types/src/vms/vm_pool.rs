//! What a VM runs.

use serde::{Deserialize, Serialize};

use crate::ids;

/// The work a VM is meant for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmPool {
    /// Carries an accelerator and a model engine; may become a member of a group.
    Accelerator,
    /// Runs a plain service.
    Service(ids::ServiceName),
}
