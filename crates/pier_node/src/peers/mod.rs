//! Talks with the other nodes by datagrams: signs of life, probe results, crashes, configuration
//! versions, shares of limits, the VM list.
//!
//! Every decision is one of `pier_limits`; this module moves the datagrams and the clock. One task
//! owns all of it, so that nothing here is locked.

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
