//! Forwards the TCP connections of one node to another or to the platform.

use std::{net, sync};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net as sockets,
};

use crate::links;

/// Size of the copy buffer of each direction, in bytes.
const BUFFER_BYTES: usize = 16 * 1_024;

/// Forwards TCP connections.
///
/// Data sent during a cut waits until the link is restored, as TCP would retransmit it.
#[derive(Debug)]
pub(super) struct StreamRelay {
    /// Listener to which the client connects.
    pub(super) listener: sockets::TcpListener,
    /// Name of the server.
    pub(super) server: String,
    /// Tells whether the direction from client to server is cut.
    pub(super) to_server: links::LinkSwitch,
    /// Tells whether the direction from server to client is cut.
    pub(super) to_client: links::LinkSwitch,
    /// The addresses of all nodes.
    pub(super) address_book: sync::Arc<sync::Mutex<links::AddressBook>>,
}

impl StreamRelay {
    /// Accepts connections until the task is aborted.
    pub(super) async fn run(self) {
        loop {
            let Ok((client, _address)) = self.listener.accept().await else {
                continue;
            };
            if let Some(server) = self.server_address() {
                let (to_server, to_client) = (self.to_server.clone(), self.to_client.clone());
                tokio::spawn(forward(client, server, to_server, to_client));
            }
        }
    }

    fn server_address(&self) -> Option<net::SocketAddr> {
        let address_book = self.address_book.lock();
        let address_book = address_book.unwrap_or_else(sync::PoisonError::into_inner);
        address_book.bound(&self.server)
    }
}

/// Connects to the server and copies both directions until both have ended.
async fn forward(
    client: sockets::TcpStream,
    server: net::SocketAddr,
    to_server: links::LinkSwitch,
    to_client: links::LinkSwitch,
) {
    to_server.wait_open().await;
    let Ok(server) = sockets::TcpStream::connect(server).await else {
        return;
    };
    let _slower = client.set_nodelay(true);
    let _slower = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::join!(
        copy(client_read, server_write, &to_server),
        copy(server_read, client_write, &to_client),
    );
}

/// Copies one direction; an error closes it as an end of file does.
async fn copy(
    mut reader: sockets::tcp::OwnedReadHalf,
    mut writer: sockets::tcp::OwnedWriteHalf,
    switch: &links::LinkSwitch,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(size @ 1..) = reader.read(&mut buffer).await {
        switch.wait_open().await;
        if writer.write_all(&buffer[..size]).await.is_err() {
            break;
        }
    }
    switch.wait_open().await;
    let _closed_already = writer.shutdown().await;
}
