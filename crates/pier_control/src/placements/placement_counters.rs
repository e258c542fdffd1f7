//! Numbers that a placement never gives out twice.

use pier_types::epochs;
use serde::{Deserialize, Serialize};

/// The next numbers of a data centre's placement.
///
/// Generations are counted over the whole data centre, so that a VM that moves from one group to
/// another always gets an order with a higher fencing number, also if its engine keeps only one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementCounters {
    /// The number of the next group.
    pub next_number: u64,
    /// The last generation given out.
    pub last_generation: epochs::GroupGeneration,
}

impl PlacementCounters {
    /// Gives out the number of a new group.
    pub fn take_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Gives out a generation above all earlier ones.
    pub fn take_generation(&mut self) -> epochs::GroupGeneration {
        self.last_generation = self.last_generation.next();
        self.last_generation
    }
}
