//! Talks with the other nodes by datagrams: signs of life, probe results, crashes, configuration
//! versions.
//!
//! Every decision is one of `pier_limits`; this module moves the datagrams and the clock. One task
//! owns all of it, so that nothing here is locked.

mod datagram_refusals;
mod peer_links;
mod peer_loop;
mod peer_socket;

pub use peer_links::PeerLinks;
pub use peer_loop::PeerLoop;
pub use peer_socket::PeerSocket;

use datagram_refusals::DatagramRefusals;
use peer_links::LoopLinks;
