//! Counters for the group numbers and generations of a placement.

use pier_types::epochs;
use serde::{Deserialize, Serialize};

/// The counters of a data centre's placement; no number is issued twice.
///
/// Generations are counted over the whole data centre. An order to a VM that moves to another group
/// therefore always has a higher fencing number than its earlier orders, even if the engine
/// remembers only one number for all groups.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementCounters {
    /// The number of the next group.
    pub next_number: u64,
    /// The last generation that was issued.
    pub last_generation: epochs::GroupGeneration,
}

impl PlacementCounters {
    /// Issues the number of a new group.
    pub fn take_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Issues a generation higher than all earlier ones.
    pub fn take_generation(&mut self) -> epochs::GroupGeneration {
        self.last_generation = self.last_generation.next();
        self.last_generation
    }
}
