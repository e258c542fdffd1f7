//! A load in progress.

use pier_types::{epochs, times};

/// A group's permission to load weights.
#[derive(Debug, Clone, Copy)]
pub(super) struct AdmittedLoad {
    /// The generation for which the group loads.
    pub generation: epochs::GroupGeneration,
    /// When it was admitted.
    pub since: times::BootTime,
}
