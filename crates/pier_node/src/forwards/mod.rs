//! Passes a request to a node of another data centre, once at most.
//!
//! A lost connection is told apart by how far the request had got: before [`End`] was sent
//! the other node dispatches nothing, so the request did not run; after it, nobody knows.
//!
//! [`End`]: pier_wire::frames::ForwardFrame::End

mod forward_choice;
mod forward_client;
mod forward_error;
mod forward_server;
mod frame_stream;
mod peer_question;

pub use forward_choice::ForwardChoice;
pub use forward_client::ForwardClient;
pub use forward_error::ForwardError;
pub use forward_server::ForwardServer;
use frame_stream::{FrameReader, FrameWriter};
pub(crate) use peer_question::peer_question;
