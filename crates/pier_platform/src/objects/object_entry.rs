//! An entry of a listing.

use pier_types::epochs;
use serde::{Deserialize, Serialize};

/// The key and the version of an existing object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectEntry {
    /// The key.
    pub key: String,
    /// The version of the object.
    pub version: epochs::ObjectVersion,
}
