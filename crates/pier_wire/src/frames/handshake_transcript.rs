//! The keyed hash over all values that both sides exchanged.

use hmac::Mac;
use pier_types::ids;

use crate::{frames, seals};

/// The side that proves that it has the key. Each side hashes its own label, so that a proof cannot
/// be reflected to the side that sent it.
#[derive(Debug, Clone, Copy)]
pub(crate) enum HandshakeSide {
    Client,
    Server,
}

/// The values that both sides know once the challenge is sent.
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
