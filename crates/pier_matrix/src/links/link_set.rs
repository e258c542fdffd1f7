//! All links of a bench.

use std::{collections, net, sync};

use anyhow::Context as _;
use pier_wire::seals;
use tokio::{net as sockets, task};

use crate::links;

/// Name of the platform as an endpoint of links.
pub const PLATFORM: &str = "platform";

/// Attempts to find a port that is free for both TCP and UDP.
const MAX_PORT_ATTEMPTS: usize = 20;

/// The links between every two nodes and between each node and the platform.
#[derive(Debug)]
pub struct LinkSet {
    key: seals::WireKey,
    switches: collections::BTreeMap<(String, String), links::LinkSwitch>,
    address_book: sync::Arc<sync::Mutex<links::AddressBook>>,
    nodes: collections::BTreeSet<String>,
    relays: task::JoinSet<()>,
}

impl LinkSet {
    /// Creates a set without nodes; `key` is the key that the nodes share.
    pub fn new(platform: net::SocketAddr, key: seals::WireKey) -> Self {
        let mut address_book = links::AddressBook::default();
        address_book.set_bound(PLATFORM, platform);
        Self {
            key,
            switches: collections::BTreeMap::new(),
            address_book: sync::Arc::new(sync::Mutex::new(address_book)),
            nodes: collections::BTreeSet::new(),
            relays: task::JoinSet::new(),
        }
    }

    /// Creates the links of a node that is about to start.
    ///
    /// Returns the address at which the node reaches the platform.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn add_node(&mut self, node: &str) -> anyhow::Result<net::SocketAddr> {
        for other in self.nodes.clone() {
            self.connect(node, &other).await?;
        }
        self.nodes.insert(node.to_owned());
        let listener = sockets::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        self.relay_streams(listener, node, PLATFORM);
        Ok(address)
    }

    /// Records the address that a node bound; until then nothing reaches it.
    pub fn set_bound(&self, node: &str, address: net::SocketAddr) {
        self.address_book().set_bound(node, address);
    }

    /// Returns the address at which one node sees another.
    pub fn seen(&self, viewer: &str, node: &str) -> Option<net::SocketAddr> {
        self.address_book().seen(viewer, node)
    }

    /// Cuts or restores the direction from one endpoint to another.
    ///
    /// # Errors
    ///
    /// Fails when there is no such link.
    pub fn set_cut(&self, from: &str, to: &str, is_cut: bool) -> anyhow::Result<()> {
        let pair = (from.to_owned(), to.to_owned());
        let switch = self.switches.get(&pair);
        let switch = switch.with_context(|| format!("no link from {from} to {to}"))?;
        switch.set_cut(is_cut);
        Ok(())
    }

    /// Restores every link.
    pub fn heal(&self) {
        for switch in self.switches.values() {
            switch.set_cut(false);
        }
    }

    async fn connect(&mut self, one: &str, other: &str) -> anyhow::Result<()> {
        let (one_streams, one_datagrams) = bind_tcp_and_udp().await?;
        let (other_streams, other_datagrams) = bind_tcp_and_udp().await?;
        self.address_book()
            .set_seen(one, other, one_datagrams.local_addr()?);
        self.address_book()
            .set_seen(other, one, other_datagrams.local_addr()?);
        self.relay_datagrams(one, other, &one_datagrams, &other_datagrams);
        self.relay_datagrams(other, one, &other_datagrams, &one_datagrams);
        self.relay_streams(one_streams, one, other);
        self.relay_streams(other_streams, other, one);
        Ok(())
    }

    fn relay_datagrams(
        &mut self,
        sender: &str,
        receiver: &str,
        inlet: &sync::Arc<sockets::UdpSocket>,
        outlet: &sync::Arc<sockets::UdpSocket>,
    ) {
        let relay = links::DatagramRelay {
            sender: sender.to_owned(),
            receiver: receiver.to_owned(),
            inlet: sync::Arc::clone(inlet),
            outlet: sync::Arc::clone(outlet),
            switch: self.switch(sender, receiver),
            address_book: sync::Arc::clone(&self.address_book),
            key: self.key.clone(),
        };
        self.relays.spawn(relay.run());
    }

    fn relay_streams(&mut self, listener: sockets::TcpListener, client: &str, server: &str) {
        let relay = links::StreamRelay {
            listener,
            server: server.to_owned(),
            to_server: self.switch(client, server),
            to_client: self.switch(server, client),
            address_book: sync::Arc::clone(&self.address_book),
        };
        self.relays.spawn(relay.run());
    }

    fn switch(&mut self, from: &str, to: &str) -> links::LinkSwitch {
        let pair = (from.to_owned(), to.to_owned());
        self.switches.entry(pair).or_default().clone()
    }

    fn address_book(&self) -> sync::MutexGuard<'_, links::AddressBook> {
        self.address_book
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Binds the same port for TCP and UDP, as a node does.
async fn bind_tcp_and_udp() -> anyhow::Result<(sockets::TcpListener, sync::Arc<sockets::UdpSocket>)>
{
    for _try in 0..MAX_PORT_ATTEMPTS {
        let listener = sockets::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
        if let Ok(socket) = sockets::UdpSocket::bind(listener.local_addr()?).await {
            return Ok((listener, sync::Arc::new(socket)));
        }
    }
    anyhow::bail!("no port is free for both TCP and UDP")
}
