//! Nodes that run only their peer loops, configuration loops and forward servers.

use std::{collections, net, time};

use pier_control::leases;
use pier_node::{configs, forwards, handle, peers, settings, telemetry};
use pier_types::{epochs, ids, reports, sizes, times, vms};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

pub const KEY: &str = "0123456789abcdef0123456789abcdef";

/// Time-out for a condition that has to hold; far longer than it takes.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_mins(1);

pub struct TestNode {
    pub handle: handle::NodeHandle,
    pub address: net::SocketAddr,
}

/// Starts a node whose platform is unreachable.
pub async fn start_node(number: u32, seeds: &[net::SocketAddr]) -> TestNode {
    start_node_at("127.0.0.1:9".parse().unwrap(), number, seeds).await
}

/// Starts a node that uses a platform.
pub async fn start_node_at(
    platform: net::SocketAddr,
    number: u32,
    seeds: &[net::SocketAddr],
) -> TestNode {
    let seeds = seeds.iter().map(ToString::to_string).collect::<Vec<_>>();
    let text = format!(
        "[node]\ndata-centre = scot-central-a\nregion = scot-central\ncallers = 127.0.0.1:0\n\
         operators = 127.0.0.1:0\npeers = 127.0.0.1:0\npeer-key = {KEY}\nseeds = {}\n\
         [platform]\nurl = http://{platform}\n",
        seeds.join(",")
    );
    let settings = settings::NodeSettings::parse(&text).unwrap();
    let name = format!("mvd-a-{number}").parse::<ids::NodeName>().unwrap();
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let traces = telemetry::TraceSink::open(None).unwrap();
    let handle = handle::NodeHandle::new(name.clone(), settings, client, traces).unwrap();
    let forwards = forwards::ForwardClient::new(KEY.parse().unwrap(), name, handle.instance());
    let inbox = configs::ConfigLoop::spawn(handle.clone(), forwards);
    let (listener, socket) = bind_both().await;
    let server = forwards::ForwardServer::new(handle.clone(), KEY.parse().unwrap());
    tokio::spawn(server.run(listener));
    let address = socket.address();
    peers::PeerLoop::spawn(handle.clone(), socket, inbox).unwrap();
    TestNode { handle, address }
}

/// Binds a TCP listener and a UDP socket to the same port number.
async fn bind_both() -> (tokio::net::TcpListener, peers::PeerSocket) {
    loop {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        if let Ok(socket) = peers::PeerSocket::bind(address).await {
            return (listener, socket);
        }
    }
}

pub async fn start_nodes(count: u32) -> Vec<TestNode> {
    let mut nodes = vec![start_node(0, &[]).await];
    for number in 1..count {
        let seed = nodes[0].address;
        nodes.push(start_node(number, &[seed]).await);
    }
    nodes
}

/// A VM that answers each connection with a report until its task is aborted.
pub struct TestVm {
    pub entry: vms::VmEntry,
    pub task: tokio::task::JoinHandle<()>,
}

pub async fn start_vm(number: u32) -> TestVm {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let name = format!("vm-{number}").parse::<ids::VmName>().unwrap();
    let entry = vms::VmEntry {
        name: name.clone(),
        incarnation: epochs::VmIncarnation::new(1),
        address: listener.local_addr().unwrap(),
        data_centre: "scot-central-a".parse().unwrap(),
        domain: "d1".parse().unwrap(),
        pool: vms::VmPool::Accelerator,
        state: vms::VmState::Live,
    };
    let report = serde_json::to_string(&reports::EngineReport {
        vm: name,
        incarnation: epochs::VmIncarnation::new(1),
        group: None,
        generation: epochs::GroupGeneration::new(0),
        model: None,
        state: reports::EngineState::Warm,
        running: sizes::RequestCount::new(number),
        queued: sizes::RequestCount::new(0),
        is_leaving: false,
    })
    .unwrap();
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n{report}",
        report.len()
    );
    let task = tokio::spawn(async move {
        loop {
            let (mut stream, _source) = listener.accept().await.unwrap();
            let mut request = [0; 1_024];
            let _read = stream.read(&mut request).await;
            let _written = stream.write_all(answer.as_bytes()).await;
        }
    });
    TestVm { entry, task }
}

pub async fn start_vms(count: u32, nodes: &[TestNode]) -> Vec<TestVm> {
    let mut started = Vec::new();
    for number in 0..count {
        started.push(start_vm(number).await);
    }
    publish_vms(&started, nodes);
    started
}

pub fn publish_vms(started: &[TestVm], nodes: &[TestNode]) {
    let list = started
        .iter()
        .map(|vm| (vm.entry.name.clone(), vm.entry.clone()));
    let list = list.collect::<collections::BTreeMap<_, _>>();
    for node in nodes {
        node.handle.publish_vms(list.clone());
    }
}

pub async fn wait_for(what: &str, reached: impl Fn() -> bool) {
    let waiting = async {
        while !reached() {
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    };
    let reached = tokio::time::timeout(WAIT_TIMEOUT, waiting).await;
    assert!(reached.is_ok(), "never reached: {what}");
}

const DOCUMENT: &str = include_str!("../../../../examples/laurel-north.ini");

/// Publishes the configuration and a lease that the first node holds.
pub fn publish_lease(nodes: &[TestNode], term: u64) {
    let slots = (0..)
        .zip(nodes)
        .map(|(slot, node)| (slot, node.handle.name().clone()));
    let record = leases::LeaseRecord {
        holder: nodes[0].handle.name().clone(),
        term: epochs::LeaseTerm::new(term),
        nonce: ids::WriteNonce::new(term.into()),
        duration_ms: 60_000,
        roster: leases::NodeRoster {
            slots: slots.collect(),
            ..leases::NodeRoster::default()
        },
    };
    for (index, node) in nodes.iter().enumerate() {
        node.handle.publish_config(handle::ConfigSnapshot {
            version: epochs::ConfigVersion::new(1),
            document: DOCUMENT.parse().unwrap(),
            text: DOCUMENT.to_owned(),
        });
        let until = times::clocks::boot_now().after(WAIT_TIMEOUT);
        node.handle.publish_lease(handle::LeaseSnapshot {
            record: record.clone(),
            held_until: (index == 0).then_some(until),
        });
    }
}
