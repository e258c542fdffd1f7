//! A target that takes each request whole and closes the connection without an answer.

use std::sync::{self, atomic};
use std::{net, time};

use tokio::io::AsyncReadExt as _;
use tokio::net::{TcpListener, TcpStream};

/// Counts the requests that it took.
pub struct CuttingTarget {
    /// Where it listens.
    pub address: net::SocketAddr,
    taken: sync::Arc<atomic::AtomicUsize>,
}

impl CuttingTarget {
    /// Starts it; it ends with the runtime.
    pub async fn launch() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let taken = sync::Arc::new(atomic::AtomicUsize::new(0));
        let counter = sync::Arc::clone(&taken);
        tokio::spawn(async move {
            loop {
                let (stream, _peer) = listener.accept().await.unwrap();
                tokio::spawn(take(stream, sync::Arc::clone(&counter)));
            }
        });
        Self { address, taken }
    }

    /// Returns how many requests it took, reports not counted.
    pub fn taken(&self) -> usize {
        self.taken.load(atomic::Ordering::SeqCst)
    }
}

async fn take(mut stream: TcpStream, taken: sync::Arc<atomic::AtomicUsize>) {
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
        if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
            return;
        }
    }
    if !bytes.starts_with(b"GET /report") {
        taken.fetch_add(1, atomic::Ordering::SeqCst);
    }
    // The body comes with the head or right after it.
    let rest = stream.read_buf(&mut bytes);
    let _late = tokio::time::timeout(time::Duration::from_millis(20), rest).await;
}
