//! The client side of the handshake.

use pier_types::ids;

use crate::{frames, seals};

/// The state of the connecting side after it sent the hello.
#[derive(Debug)]
pub struct ClientHandshake {
    key: seals::WireKey,
    hello: frames::HandshakeHello,
}

impl ClientHandshake {
    /// Starts a handshake and returns the hello to send; the nonce must be random and used once.
    pub fn start(
        key: seals::WireKey,
        node: ids::NodeName,
        instance: seals::NodeInstance,
        nonce: frames::HandshakeNonce,
    ) -> (Self, frames::HandshakeHello) {
        let hello = frames::HandshakeHello {
            version: seals::WIRE_VERSION,
            node,
            instance,
            nonce,
        };
        let handshake = Self {
            key,
            hello: hello.clone(),
        };
        (handshake, hello)
    }

    /// Verifies the challenge and returns the reply to send; frames may follow it immediately.
    ///
    /// # Errors
    /// Fails when the server does not have the key.
    pub fn finish(
        self,
        challenge: &frames::HandshakeChallenge,
    ) -> Result<frames::HandshakeReply, frames::FrameError> {
        let transcript = frames::HandshakeTranscript {
            hello: &self.hello,
            server: &challenge.node,
            server_instance: challenge.instance,
            server_nonce: challenge.nonce,
        };
        transcript.verify(&self.key, frames::HandshakeSide::Server, &challenge.proof)?;
        let proof = transcript.prove(&self.key, frames::HandshakeSide::Client);
        Ok(frames::HandshakeReply { proof })
    }
}
