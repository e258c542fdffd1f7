//! Encodes and authenticates datagrams.

use hmac::Mac;
use pier_types::ids;

use crate::{messages, seals};

/// Maximum length of a datagram, in bytes; fits one unfragmented packet on common links.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Maximum length of the encoded header, in bytes: version, name with its length, instance,
/// sequence number.
const MAX_HEADER_BYTES: usize = 1 + 130 + 16 + 10;

/// Maximum total length of the messages in one datagram, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize =
    MAX_DATAGRAM_BYTES - seals::TAG_BYTES - MAX_HEADER_BYTES;

/// Numbers and authenticates the datagrams of one node.
///
/// ```
/// use pier_types::{epochs, times};
/// use pier_wire::{messages, seals};
///
/// let key = "a-key-of-enough-characters".parse::<seals::WireKey>()?;
/// let instance = seals::NodeInstance::new(7);
/// let mut sealer = seals::DatagramSealer::new(key.clone(), "n1".parse()?, instance);
/// let hint = messages::PeerMessage::ConfigHint(epochs::ConfigVersion::new(3));
/// let datagrams = sealer.seal(vec![hint.clone()])?;
///
/// let mut opener = seals::DatagramOpener::new(key, seals::NodeInstance::new(8));
/// let now = times::BootTime::default();
/// assert_eq!(opener.open(&datagrams[0], now)?.messages, vec![hint]);
/// assert_eq!(opener.open(&datagrams[0], now), Err(seals::SealRefusal::Replayed));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct DatagramSealer {
    key: seals::WireKey,
    sender: ids::NodeName,
    instance: seals::NodeInstance,
    sequence: u64,
}

impl DatagramSealer {
    /// Creates a sealer; the instance must be newly drawn at each start of the process.
    pub const fn new(
        key: seals::WireKey,
        sender: ids::NodeName,
        instance: seals::NodeInstance,
    ) -> Self {
        Self {
            key,
            sender,
            instance,
            sequence: 0,
        }
    }

    /// Packs messages into as few datagrams as their order allows, splitting long batches.
    ///
    /// # Errors
    /// Fails when a message cannot be encoded, or is too long for a datagram and cannot be split.
    pub fn seal(
        &mut self,
        messages: Vec<messages::PeerMessage>,
    ) -> Result<Vec<Vec<u8>>, seals::SealError> {
        let mut pieces = Vec::new();
        for message in messages {
            encode_in_pieces(message, &mut pieces)?;
        }
        let mut datagrams = Vec::new();
        let mut body = Vec::new();
        for piece in pieces {
            if !body.is_empty() && body.len() + piece.len() > MAX_MESSAGE_BYTES {
                datagrams.push(self.finish(&body)?);
                body.clear();
            }
            body.extend_from_slice(&piece);
        }
        if !body.is_empty() {
            datagrams.push(self.finish(&body)?);
        }
        Ok(datagrams)
    }

    fn finish(&mut self, body: &[u8]) -> Result<Vec<u8>, seals::SealError> {
        self.sequence += 1;
        let header = seals::SealHeader {
            sender: self.sender.clone(),
            instance: self.instance,
            sequence: self.sequence,
        };
        let start = vec![seals::WIRE_VERSION];
        let mut datagram =
            postcard::to_extend(&header, start).map_err(|_error| seals::SealError::Unencodable)?;
        datagram.extend_from_slice(body);
        let mut hasher = self.key.hasher();
        hasher.update(&datagram);
        let tag = hasher.finalize().into_bytes();
        datagram.extend_from_slice(&tag[..seals::TAG_BYTES]);
        Ok(datagram)
    }
}

fn encode_in_pieces(
    message: messages::PeerMessage,
    pieces: &mut Vec<Vec<u8>>,
) -> Result<(), seals::SealError> {
    let piece = postcard::to_stdvec(&message).map_err(|_error| seals::SealError::Unencodable)?;
    if piece.len() <= MAX_MESSAGE_BYTES {
        pieces.push(piece);
        return Ok(());
    }
    let bytes = piece.len();
    let (front, back) = message.split().ok_or(seals::SealError::TooLong { bytes })?;
    encode_in_pieces(front, pieces)?;
    encode_in_pieces(back, pieces)
}
