//! Links between nodes, and from nodes to the platform, that can be cut in one or both directions.

mod address_book;
mod datagram_relay;
mod link_set;
mod link_switch;
mod stream_relay;

use address_book::AddressBook;
use datagram_relay::DatagramRelay;
pub use link_set::{LinkSet, PLATFORM};
use link_switch::LinkSwitch;
use stream_relay::StreamRelay;
