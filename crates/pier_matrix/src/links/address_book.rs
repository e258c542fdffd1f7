//! The addresses at which nodes reach one another through the links.

use std::{collections, net};

/// The addresses that nodes bound, and the relay addresses at which the others see them.
#[derive(Debug, Default)]
pub(super) struct AddressBook {
    bound: collections::BTreeMap<String, net::SocketAddr>,
    seen: collections::BTreeMap<(String, String), net::SocketAddr>,
}

impl AddressBook {
    /// Records the address that a node bound.
    pub(super) fn set_bound(&mut self, node: &str, address: net::SocketAddr) {
        self.bound.insert(node.to_owned(), address);
    }

    /// Records the address at which one node sees another.
    pub(super) fn set_seen(&mut self, viewer: &str, node: &str, address: net::SocketAddr) {
        let pair = (viewer.to_owned(), node.to_owned());
        self.seen.insert(pair, address);
    }

    /// Returns the address that a node bound.
    pub(super) fn bound(&self, node: &str) -> Option<net::SocketAddr> {
        self.bound.get(node).copied()
    }

    /// Returns the address at which one node sees another; a node sees itself at its bound address.
    pub(super) fn seen(&self, viewer: &str, node: &str) -> Option<net::SocketAddr> {
        if viewer == node {
            return self.bound(node);
        }
        let pair = (viewer.to_owned(), node.to_owned());
        self.seen.get(&pair).copied()
    }

    /// Returns the address at which the receiver sees the node that the sender sees at `address`.
    pub(super) fn translate(
        &self,
        address: net::SocketAddr,
        sender: &str,
        receiver: &str,
    ) -> Option<net::SocketAddr> {
        let mut nodes = self.bound.keys();
        let node = nodes.find(|node| self.seen(sender, node) == Some(address))?;
        self.seen(receiver, node)
    }
}
