//! Links between nodes, and from nodes to the platform, that can be cut one way or both.

mod address_book;
mod datagram_relay;
mod link_gate;
mod link_set;
mod stream_relay;

use address_book::AddressBook;
use datagram_relay::DatagramRelay;
use link_gate::LinkGate;
pub use link_set::{LinkSet, PLATFORM};
use stream_relay::StreamRelay;
