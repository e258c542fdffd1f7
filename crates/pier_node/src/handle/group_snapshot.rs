//! The groups of this data centre.

use pier_control::{health, placements};

/// The placement in force and what the evidence says of it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupSnapshot {
    /// The newest placement read from the platform; none until the first one was read.
    pub placement: Option<placements::DataCentrePlacement>,
    /// Which of its groups serve.
    pub health: health::HealthView,
}
