//! The lifecycle state of a VM.

use serde::{Deserialize, Serialize};

/// The state of a VM according to the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// Is running and not about to be removed.
    Live,
    /// Will be removed soon; gets no new work.
    Leaving,
}
