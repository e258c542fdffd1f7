//! What goes out on a stream.

use serde::{Deserialize, Serialize};

use crate::frames;

/// One step of a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardFrame {
    /// The request begins.
    Begin(Box<frames::ForwardBegin>),
    /// A piece of its body.
    Body(frames::BodyChunk),
    /// The request is whole; nothing is dispatched before this.
    End,
    /// The caller left; the attempt is ended.
    Cancel,
    /// In place of a request: the sender asks for what the receiver keeps.
    Ask(frames::PeerQuery),
}
