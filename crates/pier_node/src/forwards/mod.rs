//! Forwards requests to other nodes; a forwarded request is not forwarded again.
//!
//! What a lost connection means depends on how far the request had got: until [`End`] is sent, the
//! other node dispatches nothing, so the request did not run; after it, the outcome is unknown.
//!
//! [`End`]: pier_wire::frames::ForwardFrame::End

mod forward_choice;
mod forward_client;
mod forward_error;
mod forward_server;
mod frame_stream;

pub use forward_choice::ForwardChoice;
pub use forward_client::ForwardClient;
pub use forward_error::ForwardError;
pub use forward_server::ForwardServer;
use frame_stream::{FrameReader, FrameWriter};
