//! A load under way.

use pier_types::{epochs, times};

/// When a group was allowed to load.
#[derive(Debug, Clone, Copy)]
pub(super) struct AdmittedLoad {
    /// The generation for which it loads.
    pub generation: epochs::GroupGeneration,
    /// When it was admitted.
    pub since: times::BootTime,
}
