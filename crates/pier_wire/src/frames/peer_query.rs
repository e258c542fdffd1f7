//! What one node asks another one for.

use pier_types::epochs;
use serde::{Deserialize, Serialize};

/// A question in place of a forwarded request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerQuery {
    /// The configuration, if its version is above the one named.
    Config(epochs::ConfigVersion),
    /// The VM list.
    VmList,
}
