//! Whether a VM is leaving.

use serde::{Deserialize, Serialize};

/// The state of a VM by the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// Runs and stays.
    Live,
    /// Will be taken away soon; it gets no new work.
    Leaving,
}
