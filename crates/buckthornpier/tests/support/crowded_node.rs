//! The real program under a crowd of callers. Nothing limits its memory but its own settings, so the
//! tests read what it uses.

use std::{collections, fs, net, process, sync, time};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    task,
};

use crate::support;

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

/// A running node under a crowd of callers; killed when dropped.
#[derive(Debug)]
pub struct CrowdedNode {
    child: process::Child,
    callers: net::SocketAddr,
    plan: support::CrowdPlan,
    peak: sync::Arc<sync::Mutex<PeakUse>>,
    readings: task::JoinHandle<()>,
}

impl CrowdedNode {
    /// Watches a process that was just started, and waits until it serves requests.
    pub async fn watch(
        child: process::Child,
        callers: net::SocketAddr,
        plan: support::CrowdPlan,
    ) -> Self {
        let peak = sync::Arc::default();
        let readings = tokio::spawn(read_use(child.id(), sync::Arc::clone(&peak)));
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

    /// Lets a crowd act, and checks the node before, while the crowd stays, and once it has left.
    pub async fn bear(mut self, size: usize, act: impl AsyncFn(usize, &mut TcpStream) + Copy) {
        let body_size = self.plan.body_size;
        assert_eq!(self.ask(body_size).await, Some(200), "in calm");
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
        self.wait_for_answer("answer to the largest body", body_size)
            .await;
        self.assert_serves("after the crowd").await;
    }

    /// Lets a crowd send bodies.
    pub async fn bear_bodies(self, bodies: support::CrowdBodies) {
        let plan = self.plan;
        self.bear(plan.size(bodies), async |number, stream: &mut TcpStream| {
            plan.send(bodies, number, stream).await;
        })
        .await;
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
