//! Nodes over real sockets: they find each other, share probe results, limits and the VM list, and
//! ignore bad datagrams.

mod list_relay;
mod node_peers;
mod peer_bench;
