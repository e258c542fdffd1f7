//! A node's question for another one's configuration.

use pier_types::epochs;
use serde::{Deserialize, Serialize};

/// Asks for a version above the one that the asker has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigQuestion {
    /// The version in force at the asker.
    pub after: epochs::ConfigVersion,
}
