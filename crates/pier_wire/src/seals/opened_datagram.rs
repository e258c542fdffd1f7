//! A verified and decoded datagram.

use pier_types::ids;

use crate::{messages, seals};

/// The sender and the messages of a datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct OpenedDatagram {
    /// The sending node.
    pub sender: ids::NodeName,
    /// The instance of the sending node.
    pub instance: seals::NodeInstance,
    /// The messages, in order.
    pub messages: Vec<messages::PeerMessage>,
}
