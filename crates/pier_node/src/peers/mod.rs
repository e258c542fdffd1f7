//! Exchanges datagrams with the other nodes: heartbeats, probe results, crash marks, configuration
//! versions, shares of limits and the VM list.
//!
//! `pier_limits` makes all decisions; this module sends and receives the datagrams and supplies the
//! time. A single task owns the state, so there are no locks.

mod crash_marks;
mod datagram_refusals;
mod incoming_datagrams;
mod known_target;
mod list_call;
mod list_copy;
mod list_driver;
mod peer_loop;
mod peer_socket;
mod share_driver;
mod share_target;
mod slot_watch;
mod target_limits;

pub use peer_loop::PeerLoop;
pub use peer_socket::PeerSocket;

pub(crate) use list_copy::answer_list;

use datagram_refusals::DatagramRefusals;
use list_driver::ListDriver;
