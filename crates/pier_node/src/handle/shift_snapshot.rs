//! The part of new requests that this data centre currently gets.

use pier_limits::shifts;

/// The part of the new requests of this node's data centre that is served there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShiftSnapshot {
    /// The part of new requests that is served here.
    pub weight: shifts::ShiftWeight,
    /// Whether the data centre is in service.
    pub in_service: bool,
}

impl ShiftSnapshot {
    /// Returns whether the data centre may serve any new requests.
    ///
    /// If so, requests beyond the part are still served here when no other data centre takes them.
    pub fn is_open(self) -> bool {
        self.in_service || self.weight > shifts::ShiftWeight::NONE
    }
}

impl Default for ShiftSnapshot {
    fn default() -> Self {
        Self {
            weight: shifts::ShiftWeight::WHOLE,
            in_service: true,
        }
    }
}
