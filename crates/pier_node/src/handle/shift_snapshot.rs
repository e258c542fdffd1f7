//! How much new work this data centre gets now.

use pier_limits::shifts;

/// The part of the usual new work that goes to this node's data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShiftSnapshot {
    /// The part.
    pub weight: shifts::ShiftWeight,
    /// Whether the data centre is in service.
    pub in_service: bool,
}

impl ShiftSnapshot {
    /// Tells whether any new work may go to the data centre.
    ///
    /// Requests beyond the part are then still served here, when no other data centre takes them.
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
