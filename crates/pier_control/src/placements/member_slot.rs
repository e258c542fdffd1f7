//! One member of a group.

use std::net;

use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

/// A VM that is a member of a group; its rank is its position among the members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSlot {
    /// The VM.
    pub vm: ids::VmName,
    /// The incarnation that was added; a VM of the same name with another one is not a member.
    pub incarnation: epochs::VmIncarnation,
    /// The address on which its engine listens.
    pub address: net::SocketAddr,
}
