//! The real program under a crowd of callers.

use std::{collections, fs, net, path, process, sync, time};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    task,
};

use crate::{standins, standins::BODY_SIZE, support};

/// The memory that the node's settings allow it, in MiB.
const MEMORY_MIB: u64 = 112;

/// The connections of callers that the node's settings allow.
const CONNECTIONS: usize = 256;

/// Descriptors that the node may have open while nothing is passed on: those of its callers and of its
/// own work.
pub const MAX_DESCRIPTORS: usize = CONNECTIONS + 64;

/// Descriptors that the node may have open while each caller's request is at a target.
pub const MAX_SERVING_DESCRIPTORS: usize = 2 * CONNECTIONS + 64;

/// Time after which a caller of a crowd stays as it is.
const ACTIVE_TIME: time::Duration = time::Duration::from_secs(10);

/// Interval between two readings of the node's memory.
const READING_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// The greatest use of memory and descriptors.
#[derive(Debug, Clone, Copy, Default)]
struct PeakUse {
    /// Resident memory and bytes that the system holds for the node's connections, in KiB.
    memory: u64,
    descriptors: usize,
}

/// The running program.
#[derive(Debug)]
pub struct CrowdedNode {
    child: process::Child,
    callers: net::SocketAddr,
    peak: sync::Arc<sync::Mutex<PeakUse>>,
    readings: task::JoinHandle<()>,
    max_descriptors: usize,
}

impl CrowdedNode {
    /// Starts the program beside a store, and waits until it serves requests.
    pub async fn start(name: &str, store: net::SocketAddr, max_descriptors: usize) -> Self {
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
        let readings = tokio::spawn(read_use(child.id(), sync::Arc::clone(&peak)));
        let node = Self {
            child,
            callers,
            peak,
            readings,
            max_descriptors,
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
        assert!(peak.descriptors <= self.max_descriptors, "{when}: {peak:?}");
    }

    /// Lets a crowd act, and checks the node before, while the crowd stays, and once it has left.
    pub async fn bear(mut self, size: usize, act: impl AsyncFn(usize, &mut TcpStream) + Copy) {
        assert_eq!(ask(self.callers, BODY_SIZE).await, Some(200), "in calm");
        self.assert_serves("before the crowd").await;
        let callers = self.callers;
        let crowd = (0..size).map(|number| async move {
            let mut stream = TcpStream::connect(callers).await.ok()?;
            // A caller that is refused, or that nobody reads, stays as it is.
            let _end = tokio::time::timeout(ACTIVE_TIME, act(number, &mut stream)).await;
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

/// Returns the bytes that the system holds for the connections of a process: received and not read, or
/// written and not acknowledged.
fn system_bytes(id: u32) -> Option<u64> {
    let mut sockets = collections::BTreeSet::new();
    for entry in fs::read_dir(format!("/proc/{id}/fd")).ok()?.flatten() {
        let link = fs::read_link(entry.path()).unwrap_or_default();
        let inode = link.to_str().and_then(|link| link.strip_prefix("socket:["));
        sockets.extend(
            inode
                .and_then(|inode| inode.strip_suffix(']'))
                .map(str::to_owned),
        );
    }
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    let mut sum = 0;
    for line in table.lines().skip(1) {
        let fields: Vec<_> = line.split_whitespace().collect();
        // An entry in state 0A is a listener, whose queue counts connections.
        if fields[3] != "0A" && sockets.contains(fields[9]) {
            let (sent, received) = fields[4].split_once(':').unwrap();
            sum += u64::from_str_radix(sent, 16).unwrap();
            sum += u64::from_str_radix(received, 16).unwrap();
        }
    }
    Some(sum)
}

async fn read_use(id: u32, peak: sync::Arc<sync::Mutex<PeakUse>>) {
    loop {
        let read = task::spawn_blocking(move || {
            let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
            let memory = status
                .contains("VmRSS:")
                .then(|| memory_field(&status, "VmRSS:"))?;
            let descriptors = fs::read_dir(format!("/proc/{id}/fd")).ok()?.count();
            Some((memory + system_bytes(id)? / 1_024, descriptors))
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
pub async fn ask(callers: net::SocketAddr, body_size: usize) -> Option<u16> {
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
