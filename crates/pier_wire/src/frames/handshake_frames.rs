//! The frames of the handshake.

use pier_types::ids;
use serde::{Deserialize, Serialize};

use crate::seals;

/// 128 bits drawn at random for one handshake.
pub type HandshakeNonce = [u8; 16];

/// First frame, by the side that connects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandshakeHello {
    /// Version of the stream format.
    pub version: u8,
    /// The connecting node.
    pub node: ids::NodeName,
    /// Its run.
    pub instance: seals::NodeInstance,
    /// Its nonce.
    pub nonce: HandshakeNonce,
}

/// Second frame, by the side that listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandshakeChallenge {
    /// The listening node.
    pub node: ids::NodeName,
    /// Its run.
    pub instance: seals::NodeInstance,
    /// Its nonce.
    pub nonce: HandshakeNonce,
    /// Its proof that it has the key.
    pub proof: [u8; 32],
}

/// Third frame, by the side that connects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandshakeReply {
    /// Its proof that it has the key.
    pub proof: [u8; 32],
}
