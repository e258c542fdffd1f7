//! Nodes over real sockets: they discover each other, share probe results, limits and the VM list,
//! and ignore invalid datagrams.

mod list_relay;
mod node_peers;
mod peer_bench;
