//! The replica groups of this data centre.

use pier_control::{health, placements};

/// The current placement and the health of its groups.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupSnapshot {
    /// The newest placement read from the platform; `None` until one was read.
    pub placement: Option<placements::DataCentrePlacement>,
    /// Which of its groups serve.
    pub health: health::HealthView,
}
