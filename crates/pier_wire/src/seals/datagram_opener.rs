//! Verifies and decodes datagrams.

use std::time;

use hmac::Mac;
use pier_types::times;

use crate::{messages, seals};

/// Maximum number of senders whose sequence numbers are remembered.
const MAX_SENDERS: usize = 2_048;

/// Time without a datagram after which a sender's sequence numbers are forgotten.
const SENDER_EXPIRY: time::Duration = time::Duration::from_mins(10);

/// Checks a datagram's length, version, tag, sequence number and content, in this order.
#[derive(Debug)]
pub struct DatagramOpener {
    key: seals::WireKey,
    local_instance: seals::NodeInstance,
    guard: seals::ReplayGuard,
}

impl DatagramOpener {
    /// Creates an opener for the node with the given instance.
    pub const fn new(key: seals::WireKey, local_instance: seals::NodeInstance) -> Self {
        Self {
            key,
            local_instance,
            guard: seals::ReplayGuard::new(MAX_SENDERS, SENDER_EXPIRY),
        }
    }

    /// Opens one datagram.
    ///
    /// # Errors
    /// Returns why the datagram is refused; no message of it is then delivered.
    pub fn open(
        &mut self,
        datagram: &[u8],
        now: times::BootTime,
    ) -> Result<seals::OpenedDatagram, seals::SealRefusal> {
        let sealed = self.authenticate(datagram)?;
        let (header, mut rest) = postcard::take_from_bytes::<seals::SealHeader>(sealed)
            .map_err(|_error| seals::SealRefusal::Malformed)?;
        if header.instance == self.local_instance {
            return Err(seals::SealRefusal::OwnEcho);
        }
        let fresh = self
            .guard
            .accept(&header.sender, header.instance, header.sequence, now);
        if !fresh {
            return Err(seals::SealRefusal::Replayed);
        }
        let mut opened = Vec::new();
        while !rest.is_empty() {
            let (message, tail) = postcard::take_from_bytes::<messages::PeerMessage>(rest)
                .map_err(|_error| seals::SealRefusal::Malformed)?;
            opened.push(message);
            rest = tail;
        }
        Ok(seals::OpenedDatagram {
            sender: header.sender,
            instance: header.instance,
            messages: opened,
        })
    }

    /// Verifies the tag and returns the bytes between the version and the tag.
    fn authenticate<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], seals::SealRefusal> {
        if datagram.len() > seals::MAX_DATAGRAM_BYTES {
            return Err(seals::SealRefusal::TooLong);
        }
        let Some((covered, tag)) = datagram.split_last_chunk::<{ seals::TAG_BYTES }>() else {
            return Err(seals::SealRefusal::Truncated);
        };
        let Some((&version, sealed)) = covered.split_first() else {
            return Err(seals::SealRefusal::Truncated);
        };
        if version != seals::WIRE_VERSION {
            return Err(seals::SealRefusal::OtherVersion { found: version });
        }
        let mut hasher = self.key.hasher();
        hasher.update(covered);
        hasher
            .verify_truncated_left(tag)
            .map_err(|_error| seals::SealRefusal::Forged)?;
        Ok(sealed)
    }
}
