//! The frames of a forwarded request.

use serde::{Deserialize, Serialize};

use crate::frames;

/// A frame of a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardFrame {
    /// The head of the request.
    Begin(Box<frames::ForwardBegin>),
    /// A chunk of the body.
    Body(frames::BodyChunk),
    /// The request is complete; it is dispatched to a target only after this frame.
    End,
    /// The caller disconnected; the attempt is cancelled.
    Cancel,
    /// A query that is sent instead of a request.
    Ask(frames::PeerQuery),
}
