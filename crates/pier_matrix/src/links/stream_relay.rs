//! Passes the connections of one node on to another, or to the platform.

use std::{net, sync};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net as sockets,
};

use crate::links;

/// Bytes that are passed on at once.
const BUFFER_BYTES: usize = 16 * 1_024;

/// Passes connections on; what is sent into a cut waits until it heals, as TCP sends it again.
#[derive(Debug)]
pub(super) struct StreamRelay {
    /// Where the client connects.
    pub(super) listener: sockets::TcpListener,
    /// Name of the server.
    pub(super) server: String,
    /// Whether the client's direction is cut.
    pub(super) forth: links::LinkGate,
    /// Whether the server's direction is cut.
    pub(super) back: links::LinkGate,
    /// The addresses of all nodes.
    pub(super) book: sync::Arc<sync::Mutex<links::AddressBook>>,
}

impl StreamRelay {
    /// Accepts connections until the task is ended.
    pub(super) async fn run(self) {
        loop {
            let Ok((client, _address)) = self.listener.accept().await else {
                continue;
            };
            if let Some(server) = self.server_address() {
                let (forth, back) = (self.forth.clone(), self.back.clone());
                tokio::spawn(pass_on(client, server, forth, back));
            }
        }
    }

    fn server_address(&self) -> Option<net::SocketAddr> {
        let book = self.book.lock();
        let book = book.unwrap_or_else(sync::PoisonError::into_inner);
        book.bound(&self.server)
    }
}

/// Joins a connection with the server until either side ends it.
async fn pass_on(
    client: sockets::TcpStream,
    server: net::SocketAddr,
    forth: links::LinkGate,
    back: links::LinkGate,
) {
    forth.wait_open().await;
    let Ok(server) = sockets::TcpStream::connect(server).await else {
        return;
    };
    let _slower = client.set_nodelay(true);
    let _slower = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::join!(
        copy(client_read, server_write, &forth),
        copy(server_read, client_write, &back),
    );
}

/// Copies one direction; an error closes it as an end does.
async fn copy(
    mut reader: sockets::tcp::OwnedReadHalf,
    mut writer: sockets::tcp::OwnedWriteHalf,
    gate: &links::LinkGate,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(size @ 1..) = reader.read(&mut buffer).await {
        gate.wait_open().await;
        if writer.write_all(&buffer[..size]).await.is_err() {
            break;
        }
    }
    gate.wait_open().await;
    let _closed_already = writer.shutdown().await;
}
