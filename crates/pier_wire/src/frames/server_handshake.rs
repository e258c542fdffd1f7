//! The handshake of the side that listens.

use pier_types::ids;

use crate::{frames, seals};

/// Waits for the reply after the challenge.
#[derive(Debug)]
pub struct ServerHandshake {
    key: seals::WireKey,
    hello: frames::HandshakeHello,
    node: ids::NodeName,
    instance: seals::NodeInstance,
    nonce: frames::HandshakeNonce,
}

impl ServerHandshake {
    /// Answers a hello; the nonce must be drawn for this handshake alone.
    ///
    /// # Errors
    /// A hello of another version.
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

    /// Checks the reply and returns the name of the node that connected.
    ///
    /// # Errors
    /// A client that does not have the key.
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
