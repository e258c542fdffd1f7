//! What an order asks for.

use serde::{Deserialize, Serialize};

/// The kinds of orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Join a group, and read the weights and adapters that are missing.
    Load,
    /// Leave a group.
    Release,
    /// Take a new generation and role within the group; the weights stay.
    Role,
}
