//! The server side of the handshake.

use pier_types::ids;

use crate::{frames, seals};

/// The state of the listening side after it answered the hello.
#[derive(Debug)]
pub struct ServerHandshake {
    key: seals::WireKey,
    hello: frames::HandshakeHello,
    node: ids::NodeName,
    instance: seals::NodeInstance,
    nonce: frames::HandshakeNonce,
}

impl ServerHandshake {
    /// Returns the challenge that answers a hello; the nonce must be random and used once.
    ///
    /// # Errors
    /// Fails when the client uses another protocol version.
    pub fn answer(
        key: seals::WireKey,
        hello: frames::HandshakeHello,
        node: ids::NodeName,
        instance: seals::NodeInstance,
        nonce: frames::HandshakeNonce,
    ) -> Result<(Self, frames::HandshakeChallenge), frames::FrameError> {
        if hello.version != seals::WIRE_VERSION {
            return Err(frames::FrameError::OtherVersion {
                found: hello.version,
            });
        }
        let handshake = Self {
            key,
            hello,
            node: node.clone(),
            instance,
            nonce,
        };
        let proof = handshake
            .transcript()
            .prove(&handshake.key, frames::HandshakeSide::Server);
        let challenge = frames::HandshakeChallenge {
            node,
            instance,
            nonce,
            proof,
        };
        Ok((handshake, challenge))
    }

    /// Verifies the reply and returns the name of the node that connected.
    ///
    /// # Errors
    /// Fails when the client does not have the key.
    pub fn verify(
        self,
        reply: &frames::HandshakeReply,
    ) -> Result<ids::NodeName, frames::FrameError> {
        let transcript = self.transcript();
        transcript.verify(&self.key, frames::HandshakeSide::Client, &reply.proof)?;
        Ok(self.hello.node)
    }

    fn transcript(&self) -> frames::HandshakeTranscript<'_> {
        frames::HandshakeTranscript {
            hello: &self.hello,
            server: &self.node,
            server_instance: self.instance,
            server_nonce: self.nonce,
        }
    }
}
