//! A target whose answers end with their connection.

use std::sync::{self, atomic};
use std::{future, net, time};

use pier_types::{epochs, reports, sizes};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n";

/// Bytes written at once of a body without end, and the pause after them.
const ENDLESS_PIECE: [u8; 8_192] = [b'a'; 8_192];
const ENDLESS_PAUSE: time::Duration = time::Duration::from_micros(100);

/// Time between the request and the answer of a target that leaves meanwhile.
const LEAVE_PAUSE: time::Duration = time::Duration::from_millis(400);

/// How an answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// The connection is closed after the body.
    Close,
    /// The process ends, which closes the port and the connection.
    Crash,
    /// The connection is closed as with [`BodyEnd::Close`], a while after the request.
    CloseLate,
    /// The process ends as with [`BodyEnd::Crash`], a while after the request.
    CrashLate,
    /// The process ends, but its port still accepts connections.
    CrashBeforePort,
    /// The process ends, and the VM's next one listens on its port at once.
    Restart,
    /// The body goes on until the connection is closed.
    Never,
}

/// A target that answers each request with the same body, without framing, and reports its state.
pub struct EndingTarget {
    /// The address at which it listens.
    pub address: net::SocketAddr,
    counts: sync::Arc<RequestCounts>,
}

#[derive(Debug, Default)]
struct RequestCounts {
    requests: atomic::AtomicUsize,
    reports: atomic::AtomicUsize,
}

impl EndingTarget {
    /// Starts the target as the VM of that name; it ends with the runtime.
    pub async fn launch(name: &str, body: &'static str, end: BodyEnd) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let counts = sync::Arc::<RequestCounts>::default();
        let target = Self {
            address,
            counts: sync::Arc::clone(&counts),
        };
        let mut report = first_report(name);
        tokio::spawn(async move {
            loop {
                let (mut stream, _peer) = listener.accept().await.unwrap();
                let Some(head) = read_head(&mut stream).await else {
                    continue;
                };
                if head.starts_with(b"GET /report ") {
                    counts.reports.fetch_add(1, atomic::Ordering::SeqCst);
                    write_report(&mut stream, &report).await;
                    continue;
                }
                counts.requests.fetch_add(1, atomic::Ordering::SeqCst);
                if matches!(end, BodyEnd::CloseLate | BodyEnd::CrashLate) {
                    tokio::time::sleep(LEAVE_PAUSE).await;
                }
                stream.write_all(HEAD).await.unwrap();
                stream.write_all(body.as_bytes()).await.unwrap();
                match end {
                    BodyEnd::Close | BodyEnd::CloseLate => {}
                    BodyEnd::Crash | BodyEnd::CrashLate => {
                        drop(listener);
                        return;
                    }
                    BodyEnd::CrashBeforePort => {
                        drop(stream);
                        // The system accepts connections as long as the listener is there.
                        return future::pending().await;
                    }
                    BodyEnd::Restart => {
                        report.incarnation = epochs::VmIncarnation::new(2);
                    }
                    BodyEnd::Never => {
                        while stream.write_all(&ENDLESS_PIECE).await.is_ok() {
                            tokio::time::sleep(ENDLESS_PAUSE).await;
                        }
                    }
                }
            }
        });
        target
    }

    /// Returns how many requests it received, not counting those for its report.
    pub fn received(&self) -> usize {
        self.counts.requests.load(atomic::Ordering::SeqCst)
    }

    /// Returns how many requests for its report it received.
    pub fn reports(&self) -> usize {
        self.counts.reports.load(atomic::Ordering::SeqCst)
    }
}

fn first_report(name: &str) -> reports::EngineReport {
    reports::EngineReport {
        vm: name.parse().unwrap(),
        incarnation: epochs::VmIncarnation::new(1),
        group: None,
        generation: epochs::GroupGeneration::default(),
        model: None,
        state: reports::EngineState::Warm,
        running: sizes::RequestCount::default(),
        queued: sizes::RequestCount::default(),
        is_leaving: false,
    }
}

async fn write_report(stream: &mut TcpStream, report: &reports::EngineReport) {
    let body = serde_json::to_string(report).unwrap();
    let head = format!(
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let answer = head + &body;
    stream.write_all(answer.as_bytes()).await.unwrap();
}

/// Returns the first bytes of a request, up to its head's end at least.
async fn read_head(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
        if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
            return None;
        }
    }
    Some(bytes)
}
