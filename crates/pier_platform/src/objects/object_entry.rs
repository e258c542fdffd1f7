//! One line of a listing.

use pier_types::epochs;
use serde::{Deserialize, Serialize};

/// A key that exists on the platform and its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectEntry {
    /// The key.
    pub key: String,
    /// The version of its value.
    pub version: epochs::ObjectVersion,
}
