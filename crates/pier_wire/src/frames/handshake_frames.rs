//! The frames of the handshake.

use pier_types::ids;
use serde::{Deserialize, Serialize};

use crate::seals;

/// 128 random bits, used for one handshake only.
pub type HandshakeNonce = [u8; 16];

/// The first frame, sent by the client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandshakeHello {
    /// Version of the stream format.
    pub version: u8,
    /// The client node.
    pub node: ids::NodeName,
    /// The instance of the client node.
    pub instance: seals::NodeInstance,
    /// The client's nonce.
    pub nonce: HandshakeNonce,
}

/// The second frame, sent by the server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandshakeChallenge {
    /// The server node.
    pub node: ids::NodeName,
    /// The instance of the server node.
    pub instance: seals::NodeInstance,
    /// The server's nonce.
    pub nonce: HandshakeNonce,
    /// The server's proof that it has the key.
    pub proof: [u8; 32],
}

/// The third frame, sent by the client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandshakeReply {
    /// The client's proof that it has the key.
    pub proof: [u8; 32],
}
