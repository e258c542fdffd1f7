//! A query for data that another node holds.

use pier_types::epochs;
use serde::{Deserialize, Serialize};

/// Data that a node can request from another node instead of forwarding a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerQuery {
    /// The configuration, if it is newer than this version.
    Config(epochs::ConfigVersion),
    /// The VM list.
    VmList,
}
