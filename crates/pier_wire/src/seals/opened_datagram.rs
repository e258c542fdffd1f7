//! A datagram that passed every check.

use pier_types::ids;

use crate::{messages, seals};

/// Who sent a datagram and what it carries.
#[derive(Debug, Clone, PartialEq)]
pub struct OpenedDatagram {
    /// The sending node.
    pub sender: ids::NodeName,
    /// The run of the sending node.
    pub instance: seals::NodeInstance,
    /// The messages, in order.
    pub messages: Vec<messages::PeerMessage>,
}
