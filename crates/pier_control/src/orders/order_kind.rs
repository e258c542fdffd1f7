//! The kinds of orders.

use serde::{Deserialize, Serialize};

/// What an order tells an engine to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Join a group, and load the weights and adapters that are missing.
    Load,
    /// Leave a group.
    Release,
    /// Change to a new generation and role within the group, and keep the weights.
    Role,
}
