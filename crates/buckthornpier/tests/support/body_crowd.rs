//! Crowds of callers that fill a node's memory with the bodies of their requests.

use std::{fmt::Write as _, fs, net, process, sync, time};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    task,
};

use crate::support;

/// One of this many callers sends its body to the end.
const WHOLE_EVERY: usize = 8;

/// What the other callers leave out of their bodies, in bytes.
const MISSING_BYTES: usize = 1 << 10;

/// Callers of the crowd that is large in number.
const LARGE_CROWD: usize = 400;

/// What each caller of the large crowd sends of its body, in bytes.
const LARGE_CROWD_BYTES: usize = 20 << 10;

/// Time after which a caller that cannot send any more leaves it at that.
const SEND_TIME: time::Duration = time::Duration::from_secs(10);

/// Interval between two readings of the node's memory.
const READING_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// How the callers of a crowd send their bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrowdBodies {
    /// With a length, at once.
    Whole,
    /// With a length, in pieces.
    Pieces,
    /// In large chunks.
    LargeChunks,
    /// In very small chunks.
    SmallChunks,
    /// Far over the limit, as their length says.
    Announced,
    /// Far over the limit, without a length.
    JustSent,
    /// From more callers than there may be connections.
    Many,
}

/// What callers send to a node, and what it may use.
#[derive(Debug, Clone, Copy)]
pub struct CrowdPlan {
    /// Returns the head of a request with the given lines on its body.
    pub request_head: fn(&str) -> String,
    /// Size of the largest body that is allowed, in bytes.
    pub body_size: usize,
    /// The memory that the node may use, in MiB.
    pub memory_mib: u64,
    /// The descriptors that it may have open.
    pub max_descriptors: usize,
}

impl CrowdPlan {
    /// Returns the number of callers: the bodies of a small crowd are together one and a half times
    /// the node's memory.
    fn size(&self, bodies: CrowdBodies) -> usize {
        if bodies == CrowdBodies::Many {
            return LARGE_CROWD;
        }
        let memory = usize::try_from(self.memory_mib << 20).unwrap();
        memory / 2 * 3 / self.body_size
    }

    /// Returns what a caller sends of its body; most stop short of the end.
    fn sent_size(&self, number: usize) -> usize {
        if number.is_multiple_of(WHOLE_EVERY) {
            self.body_size
        } else {
            self.body_size - MISSING_BYTES
        }
    }

    /// Returns a request up to where a caller stops.
    fn request(&self, bodies: CrowdBodies, number: usize) -> Vec<u8> {
        match bodies {
            CrowdBodies::Whole | CrowdBodies::Pieces => {
                self.sized(self.body_size, self.sent_size(number))
            }
            CrowdBodies::Announced => self.sized(16 * self.body_size, 2 * self.body_size),
            CrowdBodies::LargeChunks => self.whole_or_short(number, 1 << 20),
            CrowdBodies::SmallChunks => self.whole_or_short(number, 64),
            CrowdBodies::JustSent => self.chunked(2 * self.body_size, 256 << 10).into_bytes(),
            CrowdBodies::Many => self.chunked(LARGE_CROWD_BYTES, 1 << 10).into_bytes(),
        }
    }

    fn sized(&self, stated: usize, sent: usize) -> Vec<u8> {
        let mut bytes = (self.request_head)(&format!("content-length: {stated}\r\n")).into_bytes();
        bytes.resize(bytes.len() + sent, b'a');
        bytes
    }

    fn whole_or_short(&self, number: usize, chunk: usize) -> Vec<u8> {
        let mut text = self.chunked(self.sent_size(number), chunk);
        if number.is_multiple_of(WHOLE_EVERY) {
            text += "0\r\n\r\n";
        }
        text.into_bytes()
    }

    fn chunked(&self, size: usize, chunk: usize) -> String {
        let mut text = (self.request_head)("transfer-encoding: chunked\r\n");
        let mut left = size;
        while left > 0 {
            let length = chunk.min(left);
            left -= length;
            let data = "a".repeat(length);
            write!(text, "{length:x}\r\n{data}\r\n").unwrap();
        }
        text
    }

    async fn send(&self, bodies: CrowdBodies, number: usize, stream: &mut TcpStream) {
        let bytes = self.request(bodies, number);
        let (piece, pause) = match bodies {
            CrowdBodies::Pieces => (16 << 10, time::Duration::from_millis(2)),
            CrowdBodies::SmallChunks => (64 << 10, time::Duration::ZERO),
            _ => (bytes.len(), time::Duration::ZERO),
        };
        for part in bytes.chunks(piece) {
            // The node may take no more of a body.
            if stream.write_all(part).await.is_err() {
                return;
            }
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// The greatest use of memory and descriptors.
#[derive(Debug, Clone, Copy, Default)]
struct PeakUse {
    /// Resident memory and bytes received but not read, in KiB.
    memory: u64,
    descriptors: usize,
}

/// A running node that a crowd sends to; killed when dropped.
#[derive(Debug)]
pub struct CrowdedNode {
    child: process::Child,
    callers: net::SocketAddr,
    plan: CrowdPlan,
    peak: sync::Arc<sync::Mutex<PeakUse>>,
    readings: task::JoinHandle<()>,
}

impl CrowdedNode {
    /// Watches a process that was just started, and waits until it serves requests.
    pub async fn watch(child: process::Child, callers: net::SocketAddr, plan: CrowdPlan) -> Self {
        let peak = sync::Arc::default();
        let readings = tokio::spawn(read_use(child.id(), callers, sync::Arc::clone(&peak)));
        let node = Self {
            child,
            callers,
            plan,
            peak,
            readings,
        };
        node.wait_for_answer("answer to an ordinary request", 10)
            .await;
        node
    }

    /// Lets a crowd send, and checks the node before, while the crowd stays, and once it has left.
    pub async fn bear(mut self, bodies: CrowdBodies) {
        let plan = self.plan;
        assert_eq!(self.ask(plan.body_size).await, Some(200), "in calm");
        self.assert_serves("before the crowd").await;
        let callers = self.callers;
        let crowd = (0..plan.size(bodies)).map(|number| async move {
            let mut stream = TcpStream::connect(callers).await.ok()?;
            // A caller that is refused, or that nobody reads, stays as it is.
            let sending = plan.send(bodies, number, &mut stream);
            let _end = tokio::time::timeout(SEND_TIME, sending).await;
            Some(stream)
        });
        let staying = futures_util::future::join_all(crowd).await;
        self.assert_serves("beside the crowd").await;
        drop(staying);
        self.wait_for_answer("answer to the largest body", plan.body_size)
            .await;
        self.assert_serves("after the crowd").await;
    }

    /// Sends a single request, and checks the node before and after its answer.
    pub async fn bear_one(mut self, request: &[u8]) {
        self.assert_serves("before the request").await;
        assert!(self.exchange(request).await.is_some(), "no answer");
        self.assert_serves("after the request").await;
    }

    /// Checks that the process lives within its limits and answers an ordinary request.
    async fn assert_serves(&mut self, when: &str) {
        assert_eq!(self.ask(10).await, Some(200), "{when}");
        assert_eq!(self.child.try_wait().unwrap(), None, "{when}");
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let resident = memory_field(&status, "VmHWM:");
        let peak = *self.peak.lock().unwrap();
        println!("{when}: {resident} KiB resident, {peak:?}");
        let memory = self.plan.memory_mib << 10;
        assert!(resident <= memory, "{when}: {resident} KiB");
        assert!(peak.memory <= memory, "{when}: {peak:?}");
        assert!(
            peak.descriptors <= self.plan.max_descriptors,
            "{when}: {peak:?}"
        );
    }

    async fn wait_for_answer(&self, awaited: &str, body_size: usize) {
        support::wait_for(awaited, async || {
            (self.ask(body_size).await == Some(200)).then_some(())
        })
        .await;
    }

    /// Sends a request with a body on a new connection; returns the status of its answer.
    async fn ask(&self, body_size: usize) -> Option<u16> {
        let lines = format!("content-length: {body_size}\r\nconnection: close\r\n");
        let mut bytes = (self.plan.request_head)(&lines).into_bytes();
        bytes.resize(bytes.len() + body_size, b'a');
        self.exchange(&bytes).await
    }

    async fn exchange(&self, request: &[u8]) -> Option<u16> {
        let mut stream = TcpStream::connect(self.callers).await.ok()?;
        stream.write_all(request).await.ok()?;
        let mut answer = Vec::new();
        let reading = stream.read_to_end(&mut answer);
        let _length = tokio::time::timeout(support::WAIT_TIMEOUT, reading)
            .await
            .ok()?;
        let answer = String::from_utf8_lossy(&answer);
        answer.split(' ').nth(1)?.parse().ok()
    }
}

impl Drop for CrowdedNode {
    fn drop(&mut self) {
        self.readings.abort();
        let _ended_already = self.child.kill();
        let _ended_already = self.child.wait();
    }
}

/// Returns a loopback address with a port that was free just now.
pub fn free_address() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn memory_field(status: &str, name: &str) -> u64 {
    let mut lines = status.lines();
    let value = lines.find_map(|line| line.strip_prefix(name)).unwrap();
    value.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Returns the bytes that were received on a port and have not been read.
fn unread_bytes(port: u16) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    let mut sum = 0;
    for line in table.lines().skip(1) {
        let fields: Vec<_> = line.split_whitespace().collect();
        // An entry in state 0A is the listener, whose queue counts connections.
        if fields[1].ends_with(&format!(":{port:04X}")) && fields[3] != "0A" {
            let (_sent, received) = fields[4].split_once(':').unwrap();
            sum += u64::from_str_radix(received, 16).unwrap();
        }
    }
    sum
}

async fn read_use(id: u32, callers: net::SocketAddr, peak: sync::Arc<sync::Mutex<PeakUse>>) {
    loop {
        let read = task::spawn_blocking(move || {
            let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
            let memory = status
                .contains("VmRSS:")
                .then(|| memory_field(&status, "VmRSS:"))?;
            let descriptors = fs::read_dir(format!("/proc/{id}/fd")).ok()?.count();
            Some((memory + unread_bytes(callers.port()) / 1_024, descriptors))
        });
        if let Some((memory, descriptors)) = read.await.unwrap() {
            let mut peak = peak.lock().unwrap();
            peak.memory = peak.memory.max(memory);
            peak.descriptors = peak.descriptors.max(descriptors);
        }
        tokio::time::sleep(READING_INTERVAL).await;
    }
}
