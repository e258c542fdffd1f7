//! A target that reads each request and closes the connection without an answer.

use std::sync::{self, atomic};
use std::{net, time};

use tokio::io::AsyncReadExt as _;
use tokio::net::{TcpListener, TcpStream};

/// A target that drops connections and counts the requests it received.
pub struct DroppingTarget {
    /// The address at which it listens.
    pub address: net::SocketAddr,
    received: sync::Arc<atomic::AtomicUsize>,
}

impl DroppingTarget {
    /// Starts the target; it ends with the runtime.
    pub async fn launch() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let received = sync::Arc::new(atomic::AtomicUsize::new(0));
        let counter = sync::Arc::clone(&received);
        tokio::spawn(async move {
            loop {
                let (stream, _peer) = listener.accept().await.unwrap();
                tokio::spawn(drop_connection(stream, sync::Arc::clone(&counter)));
            }
        });
        Self { address, received }
    }

    /// Returns how many requests it received, not counting requests for its report.
    pub fn received(&self) -> usize {
        self.received.load(atomic::Ordering::SeqCst)
    }
}

async fn drop_connection(mut stream: TcpStream, received: sync::Arc<atomic::AtomicUsize>) {
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
        if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
            return;
        }
    }
    if !bytes.starts_with(b"GET /report") {
        received.fetch_add(1, atomic::Ordering::SeqCst);
    }
    // The body arrives with the head or right after it.
    let rest = stream.read_buf(&mut bytes);
    let _late = tokio::time::timeout(time::Duration::from_millis(20), rest).await;
}
