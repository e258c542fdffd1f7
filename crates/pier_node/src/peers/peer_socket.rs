//! The UDP socket for datagrams between nodes.

use std::{io, net};

use anyhow::Context as _;
use pier_wire::seals;

/// A bound UDP socket.
#[derive(Debug)]
pub struct PeerSocket {
    socket: tokio::net::UdpSocket,
    address: net::SocketAddr,
}

impl PeerSocket {
    /// Binds an address, usually that of the listener for forwarded requests.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind(wanted: net::SocketAddr) -> anyhow::Result<Self> {
        let socket = tokio::net::UdpSocket::bind(wanted).await;
        let socket = socket.with_context(|| format!("binding {wanted} for datagrams"))?;
        let address = socket.local_addr()?;
        Ok(Self { socket, address })
    }

    /// Returns the bound address.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Receives one datagram. The buffer is a byte above the limit, so that oversized datagrams are
    /// detected.
    pub(super) async fn receive(&self) -> io::Result<(Vec<u8>, net::SocketAddr)> {
        let mut buffer = vec![0; seals::MAX_DATAGRAM_BYTES + 1];
        let (length, source) = self.socket.recv_from(&mut buffer).await?;
        buffer.truncate(length);
        Ok((buffer, source))
    }

    /// Sends without waiting; a datagram that does not fit the send buffer is lost.
    pub(super) fn send(&self, datagram: &[u8], receiver: net::SocketAddr) {
        if let Err(error) = self.socket.try_send_to(datagram, receiver) {
            log::debug!(event = "datagram-unsent", peer:% = receiver, cause:% = error; "");
        }
    }
}
