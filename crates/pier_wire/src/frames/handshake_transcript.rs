//! The keyed hash over everything both sides said.

use hmac::Mac;
use pier_types::ids;

use crate::{frames, seals};

/// Which side proves; a proof of one side is none of the other, so none can be reflected.
#[derive(Debug, Clone, Copy)]
pub(crate) enum HandshakeSide {
    Client,
    Server,
}

/// What both sides know once the challenge is sent.
#[derive(Debug)]
pub(crate) struct HandshakeTranscript<'a> {
    pub(crate) hello: &'a frames::HandshakeHello,
    pub(crate) server: &'a ids::NodeName,
    pub(crate) server_instance: seals::NodeInstance,
    pub(crate) server_nonce: frames::HandshakeNonce,
}

impl HandshakeTranscript<'_> {
    pub(crate) fn prove(&self, key: &seals::WireKey, side: HandshakeSide) -> [u8; 32] {
        self.hash(key, side).finalize().into_bytes().into()
    }

    pub(crate) fn verify(
        &self,
        key: &seals::WireKey,
        side: HandshakeSide,
        proof: &[u8; 32],
    ) -> Result<(), frames::FrameError> {
        self.hash(key, side)
            .verify_slice(proof)
            .map_err(|_error| frames::FrameError::InvalidProof)
    }

    fn hash(&self, key: &seals::WireKey, side: HandshakeSide) -> hmac::Hmac<sha2::Sha256> {
        let label = match side {
            HandshakeSide::Client => "stream-client",
            HandshakeSide::Server => "stream-server",
        };
        let mut hasher = key.hasher();
        for part in [
            label.as_bytes(),
            &[self.hello.version],
            self.hello.node.as_str().as_bytes(),
            &self.hello.instance.get().to_le_bytes(),
            &self.hello.nonce,
            self.server.as_str().as_bytes(),
            &self.server_instance.get().to_le_bytes(),
            &self.server_nonce,
        ] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher
    }
}
