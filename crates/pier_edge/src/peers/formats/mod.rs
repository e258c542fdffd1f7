//! How messages between nodes are encoded, so that builds of different releases understand each
//! other.

mod first_beat;
mod load_mixes;
mod message_extension;
mod peer_envelope;
mod peer_format;

use first_beat::FirstBeat;
pub(crate) use load_mixes::LoadMixes;
pub(crate) use message_extension::{MessageExtension, OutageFields};
pub(crate) use peer_envelope::{MessageFault, PeerEnvelope};
pub(crate) use peer_format::PeerFormat;
