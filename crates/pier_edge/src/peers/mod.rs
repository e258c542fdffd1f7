//! What nodes tell one another: that they live, and their load at each target.

mod beat_loop;
mod node_beat;
mod peer_table;

pub(crate) use beat_loop::spawn;
pub(crate) use node_beat::{LoadWord, NodeBeat, NodeRecord, StewardRecord};
pub(crate) use peer_table::PeerTable;
