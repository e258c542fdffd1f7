//! Nodes on real sockets discover each other, share probe results, limits and the VM list, and ignore
//! invalid datagrams.

#[allow(dead_code, reason = "not all ways of a cut are used here")]
#[path = "../requests/cut_link.rs"]
mod cut_link;
mod cut_off_probes;
mod list_relay;
mod node_peers;
mod peer_bench;
