//! Encodes and decodes messages between nodes.

use std::fmt;

use super::{FirstBeat, LoadMixes, MessageExtension, PeerFormat};
use crate::peers;

/// Position of the heartbeat among the kinds.
const BEAT_KIND: u8 = 0;

/// A message with the format of its sender.
///
/// The message itself is encoded by position, as in the unnumbered format. The number of the format
/// and the extension follow it: earlier builds ignore bytes after a message, and later formats may
/// append to the extension.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PeerEnvelope {
    pub message: peers::PeerMessage,
    pub format: PeerFormat,
    pub extension: MessageExtension,
}

/// Why a message could not be decoded.
#[derive(Debug)]
pub(crate) enum MessageFault {
    /// It is of a kind that only later builds know.
    UnknownKind(u8),
    /// It is truncated, or no message.
    Malformed(postcard::Error),
}

impl fmt::Display for MessageFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownKind(kind) => write!(f, "kind {kind} is unknown to this build"),
            Self::Malformed(error) => write!(f, "cannot be decoded: {error}"),
        }
    }
}

impl PeerEnvelope {
    /// Creates a message of the current format without an extension.
    pub(crate) fn new(message: peers::PeerMessage) -> Self {
        Self::with_extension(message, MessageExtension::default())
    }

    pub(crate) fn with_extension(
        message: peers::PeerMessage,
        mut extension: MessageExtension,
    ) -> Self {
        extension.mixes = LoadMixes::of(&message);
        Self {
            message,
            format: PeerFormat::CURRENT,
            extension,
        }
    }

    /// Encodes the message.
    ///
    /// # Errors
    ///
    /// Fails when the message cannot be serialized.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let mut bytes = postcard::to_stdvec(&self.message)?;
        bytes.push(self.format.get());
        postcard::to_extend(&self.extension, bytes)
    }

    /// Decodes a message of any format; bytes after the known part of the extension are ignored.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no message, or one of a kind that this build does not know.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, MessageFault> {
        let kind = bytes.first().copied().unwrap_or_default();
        if kind >= peers::PeerMessage::KINDS {
            return Err(MessageFault::UnknownKind(kind));
        }
        let (mut message, rest) = match postcard::take_from_bytes::<peers::PeerMessage>(bytes) {
            Ok(decoded) => decoded,
            Err(error) => return decode_first_beat(kind, bytes, error),
        };
        let (format, extension) = match rest.split_first() {
            None => (PeerFormat::UNNUMBERED, MessageExtension::default()),
            Some((number, extension)) => {
                let format = PeerFormat::new(*number);
                let extension = MessageExtension::decode(format, extension);
                (format, extension.map_err(MessageFault::Malformed)?)
            }
        };
        extension.mixes.apply(&mut message);
        Ok(Self {
            message,
            format,
            extension,
        })
    }
}

fn decode_first_beat(
    kind: u8,
    bytes: &[u8],
    error: postcard::Error,
) -> Result<PeerEnvelope, MessageFault> {
    let beat = bytes.get(1..).filter(|_beat| kind == BEAT_KIND);
    let beat = beat.and_then(|beat| postcard::take_from_bytes::<FirstBeat>(beat).ok());
    // A heartbeat of the first format has nothing after it; more is a damaged later one.
    match beat.filter(|(_beat, rest)| rest.is_empty()) {
        Some((beat, _rest)) => Ok(PeerEnvelope {
            message: peers::PeerMessage::Beat(beat.into()),
            format: PeerFormat::FIRST,
            extension: MessageExtension::default(),
        }),
        None => Err(MessageFault::Malformed(error)),
    }
}
