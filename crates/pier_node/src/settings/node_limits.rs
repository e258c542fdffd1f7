//! Limits on what callers can make a node hold.

use pier_types::sizes;

use crate::settings;

/// Part of the process's open files that is kept for targets, other nodes and the platform.
const KEPT_DIVISOR: u64 = 8;

/// Memory that a node needs beside bodies and answers, in bytes.
const OWN_BYTES: u64 = 64 << 20;

/// Part of the rest that bodies may take. The allocator keeps about as much again of what several threads
/// free, and answers need the remainder.
const BODY_DIVISOR: u64 = 3;

/// Least budget for bodies, in bytes: the largest one.
const MIN_BUDGET_BYTES: u64 = 8 << 20;

/// Limits of the settings; what they do not state follows from the machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NodeLimits {
    /// Memory that the process may use.
    pub memory: Option<sizes::ByteSize>,
    /// Memory for the bodies of all requests.
    pub body_budget: Option<sizes::ByteSize>,
    /// Bytes a second below which a body ends before others when the budget is used up.
    pub least_body_rate: Option<sizes::ByteSize>,
    /// Most bodies that are read at a time.
    pub bodies: Option<u32>,
    /// Open descriptors from which on no connection of a caller is accepted.
    pub descriptors: Option<u64>,
}

impl NodeLimits {
    /// Returns the memory that the process may use.
    pub fn memory(&self, machine: settings::MachineSize) -> sizes::ByteSize {
        self.memory.unwrap_or(machine.memory)
    }

    /// Returns the limits on bodies.
    pub fn body_bounds(&self, machine: settings::MachineSize) -> pier_bodies::BodyBounds {
        let memory = self.memory(machine);
        let mut bounds = pier_bodies::BodyBounds::of_memory(memory);
        let free = memory.get().saturating_sub(OWN_BYTES);
        let budget = sizes::ByteSize::new((free / BODY_DIVISOR).max(MIN_BUDGET_BYTES));
        bounds.budget = self.body_budget.unwrap_or(budget);
        if let Some(rate) = self.least_body_rate {
            bounds.least_rate = rate;
        }
        // The rest of the connections can bring requests while as many bodies are read as may be.
        let most = self.max_descriptors(machine) / 4 * 3;
        let most = u32::try_from(most).unwrap_or(u32::MAX);
        bounds.connections = self.bodies.unwrap_or(bounds.connections.min(most));
        bounds
    }

    /// Returns the open descriptors from which on no connection of a caller is accepted.
    pub fn max_descriptors(&self, machine: settings::MachineSize) -> u64 {
        let left = machine.descriptors - machine.descriptors / KEPT_DIVISOR;
        self.descriptors.unwrap_or(left)
    }
}
