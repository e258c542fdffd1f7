//! Crowds of callers that fill a node's memory with the bodies of their requests. The node is the
//! real program; nothing limits its memory but its own settings, so the tests read what it uses.
//!
//! The checks do not depend on the machine's speed. One test runs at a time.

#[path = "../../../platform/tests/standins/mod.rs"]
mod standins;
mod support;

use std::{fmt::Write as _, fs, net, path, process, sync, time};

use standins::BODY_SIZE;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    task,
};

/// The memory that the node's settings allow it, in MiB.
const MEMORY_MIB: u64 = 112;

/// Callers of a crowd. Their bodies together are one and a half times the node's memory.
const CROWD: usize = 42;

/// One of this many callers sends its body to the end.
const WHOLE_EVERY: usize = 8;

/// What the other callers leave out of their bodies, in bytes.
const MISSING_BYTES: usize = 1 << 10;

/// Callers of the crowd that is large in number.
const LARGE_CROWD: usize = 400;

/// What each caller of the large crowd sends of its body, in bytes.
const LARGE_CROWD_BYTES: usize = 20 << 10;

/// The connections of callers that the node's settings allow.
const CONNECTIONS: usize = 256;

/// Descriptors that the node may have open: those of its callers and of its own work.
const MAX_DESCRIPTORS: usize = CONNECTIONS + 64;

/// Time after which a caller that cannot send any more leaves it at that.
const SEND_TIME: time::Duration = time::Duration::from_secs(10);

/// Interval between two readings of the node's memory.
const READING_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Held by the test that runs.
static ONE_AT_A_TIME: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// The greatest use of memory and descriptors.
#[derive(Debug, Clone, Copy, Default)]
struct PeakUse {
    /// Resident memory and bytes received but not read, in KiB.
    memory: u64,
    descriptors: usize,
}

/// The running program.
#[derive(Debug)]
struct CrowdedNode {
    child: process::Child,
    callers: net::SocketAddr,
    peak: sync::Arc<sync::Mutex<PeakUse>>,
    readings: task::JoinHandle<()>,
}

impl CrowdedNode {
    /// Starts the program and waits until it serves requests.
    async fn start(name: &str) -> Self {
        let store = standins::start().await;
        let addresses: Vec<_> = (0..5).map(|_| free_address()).collect();
        let [callers, readiness, peers, forwards, metrics] = addresses[..] else {
            unreachable!("five addresses");
        };
        let text = format!(
            "[node]\nname = node-1\ndata_centre = zone-a\ndata_centres = zone-a\n\
             first_start = true\n[listen]\ncallers = {callers}\nreadiness = {readiness}\n\
             peers = {peers}\nforwards = {forwards}\nmetrics = {metrics}\n\
             [platform]\nstore = {store}\n\
             [limits]\nmemory_mib = {MEMORY_MIB}\ncores = 1\ncaller_connections = {CONNECTIONS}\n\
             [bounds]\ngrace_seconds = 5\nleaving_ms = 2000\nretry_ratio = 0.2\n\
             retry_burst = 100\nretry_window_seconds = 10\n[log]\nlevel = info\n"
        );
        let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR"));
        let file = folder.join(format!("crowd-{name}.ini"));
        fs::write(&file, text).unwrap();
        let log = fs::File::create(folder.join(format!("crowd-{name}.log"))).unwrap();
        let child = process::Command::new(env!("CARGO_BIN_EXE_buckthornpier"))
            .args(["edge", "--settings"])
            .arg(file)
            .stdin(process::Stdio::null())
            .stdout(log)
            .stderr(process::Stdio::null())
            .spawn()
            .unwrap();
        let peak = sync::Arc::default();
        let readings = tokio::spawn(read_use(child.id(), callers, sync::Arc::clone(&peak)));
        let node = Self {
            child,
            callers,
            peak,
            readings,
        };
        support::wait_for("answer to an ordinary request", async || {
            (ask(callers, 10).await == Some(200)).then_some(())
        })
        .await;
        node
    }

    /// Checks that the process lives within its limits and answers an ordinary request.
    async fn assert_serves(&mut self, when: &str) {
        assert_eq!(ask(self.callers, 10).await, Some(200), "{when}");
        assert_eq!(self.child.try_wait().unwrap(), None, "{when}");
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let resident = memory_field(&status, "VmHWM:");
        let peak = *self.peak.lock().unwrap();
        println!("{when}: {resident} KiB resident, {peak:?}");
        assert!(resident <= MEMORY_MIB << 10, "{when}: {resident} KiB");
        assert!(peak.memory <= MEMORY_MIB << 10, "{when}: {peak:?}");
        assert!(peak.descriptors <= MAX_DESCRIPTORS, "{when}: {peak:?}");
    }

    /// Lets a crowd send, and checks the node before, while the crowd stays, and once it has left.
    async fn bear(mut self, size: usize, send: impl AsyncFn(usize, &mut TcpStream) + Copy) {
        assert_eq!(ask(self.callers, BODY_SIZE).await, Some(200), "in calm");
        self.assert_serves("before the crowd").await;
        let callers = self.callers;
        let crowd = (0..size).map(|number| async move {
            let mut stream = TcpStream::connect(callers).await.ok()?;
            // A caller that is refused, or that nobody reads, stays as it is.
            let _end = tokio::time::timeout(SEND_TIME, send(number, &mut stream)).await;
            Some(stream)
        });
        let staying = futures_util::future::join_all(crowd).await;
        self.assert_serves("beside the crowd").await;
        drop(staying);
        support::wait_for("answer to the largest body", async || {
            (ask(callers, BODY_SIZE).await == Some(200)).then_some(())
        })
        .await;
        self.assert_serves("after the crowd").await;
    }
}

impl Drop for CrowdedNode {
    fn drop(&mut self) {
        self.readings.abort();
        let _ended_already = self.child.kill();
        let _ended_already = self.child.wait();
    }
}

fn free_address() -> net::SocketAddr {
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

/// Sends a request on a new connection; returns the status of its answer.
async fn ask(callers: net::SocketAddr, body_size: usize) -> Option<u16> {
    let mut stream = TcpStream::connect(callers).await.ok()?;
    let lines = format!("content-length: {body_size}\r\nconnection: close\r\n");
    let mut bytes = standins::request_head(&lines).into_bytes();
    bytes.resize(bytes.len() + body_size, b'a');
    stream.write_all(&bytes).await.ok()?;
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let _length = tokio::time::timeout(support::WAIT_TIMEOUT, reading)
        .await
        .ok()?;
    let answer = String::from_utf8_lossy(&answer);
    answer.split(' ').nth(1)?.parse().ok()
}

/// Sends bytes in pieces; ends at the first that the node does not take.
async fn send_pieces(stream: &mut TcpStream, bytes: &[u8], piece: usize, pause: time::Duration) {
    for part in bytes.chunks(piece) {
        if stream.write_all(part).await.is_err() {
            return;
        }
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Returns what a caller sends of its body; most stop short of the end.
fn sent_size(number: usize) -> usize {
    if number.is_multiple_of(WHOLE_EVERY) {
        BODY_SIZE
    } else {
        BODY_SIZE - MISSING_BYTES
    }
}

/// Returns a request whose body has a length, up to where a caller stops.
fn sized_request(number: usize) -> Vec<u8> {
    let head = standins::request_head(&format!("content-length: {BODY_SIZE}\r\n"));
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + sent_size(number), b'a');
    bytes
}

/// Returns the chunks of a body.
fn chunks(size: usize, chunk: usize) -> String {
    let mut text = String::new();
    let mut left = size;
    while left > 0 {
        let length = chunk.min(left);
        left -= length;
        let data = "a".repeat(length);
        write!(text, "{length:x}\r\n{data}\r\n").unwrap();
    }
    text
}

/// Returns a request whose body comes in chunks, up to where a caller stops.
fn chunked_request(number: usize, chunk: usize) -> Vec<u8> {
    let mut text = standins::request_head("transfer-encoding: chunked\r\n");
    text += &chunks(sent_size(number), chunk);
    if number.is_multiple_of(WHOLE_EVERY) {
        text += "0\r\n\r\n";
    }
    text.into_bytes()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_come_whole_and_stop_short() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let node = CrowdedNode::start("whole").await;
    node.bear(CROWD, async |number, stream: &mut TcpStream| {
        let bytes = sized_request(number);
        send_pieces(stream, &bytes, bytes.len(), time::Duration::ZERO).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_come_in_pieces_and_stop_short() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let node = CrowdedNode::start("pieces").await;
    node.bear(CROWD, async |number, stream: &mut TcpStream| {
        let bytes = sized_request(number);
        send_pieces(stream, &bytes, 16 << 10, time::Duration::from_millis(2)).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_large_chunks_that_stop_short() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let node = CrowdedNode::start("large-chunks").await;
    node.bear(CROWD, async |number, stream: &mut TcpStream| {
        let bytes = chunked_request(number, 1 << 20);
        send_pieces(stream, &bytes, bytes.len(), time::Duration::ZERO).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_very_small_chunks_that_stop_short() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let node = CrowdedNode::start("small-chunks").await;
    node.bear(CROWD, async |number, stream: &mut TcpStream| {
        let bytes = chunked_request(number, 64);
        send_pieces(stream, &bytes, 64 << 10, time::Duration::ZERO).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_far_over_the_limit_that_are_announced() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let node = CrowdedNode::start("announced").await;
    node.bear(CROWD, async |_number, stream: &mut TcpStream| {
        let lines = format!("content-length: {}\r\n", 16 * BODY_SIZE);
        let mut bytes = standins::request_head(&lines).into_bytes();
        bytes.resize(bytes.len() + 2 * BODY_SIZE, b'a');
        send_pieces(stream, &bytes, bytes.len(), time::Duration::ZERO).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_far_over_the_limit_that_are_just_sent() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let node = CrowdedNode::start("just-sent").await;
    node.bear(CROWD, async |_number, stream: &mut TcpStream| {
        let mut text = standins::request_head("transfer-encoding: chunked\r\n");
        text += &chunks(2 * BODY_SIZE, 256 << 10);
        let bytes = text.into_bytes();
        send_pieces(stream, &bytes, bytes.len(), time::Duration::ZERO).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn more_bodies_than_connections_that_are_allowed() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let node = CrowdedNode::start("many").await;
    node.bear(LARGE_CROWD, async |_number, stream: &mut TcpStream| {
        let mut text = standins::request_head("transfer-encoding: chunked\r\n");
        text += &chunks(LARGE_CROWD_BYTES, 1 << 10);
        let bytes = text.into_bytes();
        send_pieces(stream, &bytes, bytes.len(), time::Duration::ZERO).await;
    })
    .await;
}
