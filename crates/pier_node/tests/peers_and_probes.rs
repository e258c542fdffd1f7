//! Nodes over real sockets: they find each other, share probe results and limits, and
//! ignore bad datagrams.

use std::{collections, net, time};

use pier_control::leases;
use pier_node::{configs, forwards, handle, peers, settings, telemetry};
use pier_request::quarantine;
use pier_types::{epochs, ids, reports, routes, sizes, times, vms};
use pier_wire::{messages, seals};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

const KEY: &str = "0123456789abcdef0123456789abcdef";

/// Longest wait for something that has to come; far above what it takes.
const PATIENCE: time::Duration = time::Duration::from_mins(1);

struct TestNode {
    handle: handle::NodeHandle,
    address: net::SocketAddr,
}

async fn start_node(number: u32, seeds: &[net::SocketAddr]) -> TestNode {
    let seeds = seeds.iter().map(ToString::to_string).collect::<Vec<_>>();
    let text = format!(
        "[node]\ndata-centre = scot-central-a\nregion = scot-central\ncallers = 127.0.0.1:0\n\
         operators = 127.0.0.1:0\npeers = 127.0.0.1:0\npeer-key = {KEY}\nseeds = {}\n\
         [platform]\nurl = http://127.0.0.1:9\n",
        seeds.join(",")
    );
    let settings = settings::NodeSettings::parse(&text).unwrap();
    let name = format!("mvd-a-{number}").parse::<ids::NodeName>().unwrap();
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let traces = telemetry::TraceSink::open(None).unwrap();
    let handle = handle::NodeHandle::new(name.clone(), settings, client, traces).unwrap();
    let forwards = forwards::ForwardClient::new(KEY.parse().unwrap(), name, handle.instance());
    let inbox = configs::ConfigLoop::spawn(handle.clone(), forwards);
    let socket = peers::PeerSocket::bind("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let address = socket.address();
    peers::PeerLoop::spawn(handle.clone(), socket, inbox).unwrap();
    TestNode { handle, address }
}

async fn start_nodes(count: u32) -> Vec<TestNode> {
    let mut nodes = vec![start_node(0, &[]).await];
    for number in 1..count {
        let seed = nodes[0].address;
        nodes.push(start_node(number, &[seed]).await);
    }
    nodes
}

/// A VM that answers each connection with a report, until its task is ended.
struct TestVm {
    entry: vms::VmEntry,
    task: tokio::task::JoinHandle<()>,
}

async fn start_vm(number: u32) -> TestVm {
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

async fn start_vms(count: u32, nodes: &[TestNode]) -> Vec<TestVm> {
    let mut started = Vec::new();
    for number in 0..count {
        started.push(start_vm(number).await);
    }
    publish_vms(&started, nodes);
    started
}

fn publish_vms(started: &[TestVm], nodes: &[TestNode]) {
    let list = started
        .iter()
        .map(|vm| (vm.entry.name.clone(), vm.entry.clone()));
    let list = list.collect::<collections::BTreeMap<_, _>>();
    for node in nodes {
        node.handle.publish_vms(list.clone());
    }
}

async fn wait_for(what: &str, reached: impl Fn() -> bool) {
    let waiting = async {
        while !reached() {
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    };
    let reached = tokio::time::timeout(PATIENCE, waiting).await;
    assert!(reached.is_ok(), "never reached: {what}");
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_find_each_other_and_see_every_vm_and_a_dead_one_go() {
    let nodes = start_nodes(5).await;
    wait_for("each node knows the four others", || {
        nodes.iter().all(|node| node.handle.peers().len() == 4)
    })
    .await;
    let started = start_vms(12, &nodes).await;
    wait_for("each node has evidence of each VM", || {
        nodes.iter().all(|node| node.handle.evidence().len() == 12)
    })
    .await;
    for node in &nodes {
        for vm in &started {
            let evidence = &node.handle.evidence()[&vm.entry.name];
            assert_eq!(evidence.report.vm, vm.entry.name);
        }
    }
    let dead = &started[3];
    dead.task.abort();
    wait_for("no node has evidence of the dead VM", || {
        let gone = |node: &TestNode| !node.handle.evidence().contains_key(&dead.entry.name);
        nodes.iter().all(gone)
    })
    .await;
    wait_for("the others are still seen", || {
        nodes.iter().all(|node| node.handle.evidence().len() == 11)
    })
    .await;
}

fn sealed(key: &str, node: &str) -> Vec<u8> {
    let name = node.parse::<ids::NodeName>().unwrap();
    let instance = seals::NodeInstance::new(77);
    let entry = messages::MemberEntry {
        node: name.clone(),
        instance,
        data_centre: "scot-central-a".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        beat: messages::MemberBeat {
            heartbeat: 1,
            config: epochs::ConfigVersion::new(0),
            draining: false,
        },
    };
    let mut sealer = seals::DatagramSealer::new(key.parse().unwrap(), name, instance);
    let message = messages::PeerMessage::Members(vec![entry]);
    sealer.seal(vec![message]).unwrap().remove(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn forged_and_damaged_datagrams_change_nothing() {
    let node = start_node(0, &[]).await;
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let forged = sealed("another-key-that-is-long-enough-too", "ghost-1");
    let mut damaged = sealed(KEY, "ghost-2");
    damaged[30] ^= 1;
    let truncated = sealed(KEY, "ghost-3");
    let truncated = truncated[..truncated.len() - 1].to_vec();
    let genuine = sealed(KEY, "real");
    for datagram in [forged, damaged, truncated, vec![1; 1_400], vec![], genuine] {
        socket.send_to(&datagram, node.address).await.unwrap();
    }
    wait_for("the genuine one is heard", || {
        !node.handle.peers().is_empty()
    })
    .await;
    let peers = node.handle.peers();
    let names = peers
        .iter()
        .map(|peer| peer.node.as_str())
        .collect::<Vec<_>>();
    assert_eq!(names, ["real"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn crashes_reach_the_other_nodes() {
    let nodes = start_nodes(3).await;
    wait_for("each node knows the two others", || {
        nodes.iter().all(|node| node.handle.peers().len() == 2)
    })
    .await;
    let mark = quarantine::CrashMark {
        fingerprint: ids::RequestFingerprint::of("college", "/v1", b"body"),
        target: ids::TargetId::Vm("vm-1".parse().unwrap()),
        generation: epochs::GroupGeneration::new(4),
        suspects: 2,
        cleared: false,
        age_ms: 15,
    };
    let delta = quarantine::CrashDelta { marks: vec![mark] };
    nodes[0].handle.requests().merge_crashes(&delta);
    wait_for("all nodes hold the mark", || {
        let holds = |node: &TestNode| {
            let told = node.handle.requests().crash_delta(16);
            told.marks.iter().any(|mark| mark.suspects == 2)
        };
        nodes.iter().all(holds)
    })
    .await;
}

const DOCUMENT: &str = include_str!("../../../examples/laurel-north.ini");

/// Publishes the configuration and a lease that the first node holds.
fn publish_lease(nodes: &[TestNode], term: u64) {
    let slots = (0..)
        .zip(nodes)
        .map(|(slot, node)| (slot, node.handle.name().clone()));
    let record = leases::LeaseRecord {
        holder: nodes[0].handle.name().clone(),
        term: epochs::LeaseTerm::new(term),
        nonce: ids::LeaseNonce::new(term.into()),
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
        let until = times::clocks::boot_now().after(PATIENCE);
        node.handle.publish_lease(handle::LeaseSnapshot {
            record: record.clone(),
            held_until: (index == 0).then_some(until),
        });
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_share_a_limit_and_never_hold_more_than_the_pool() {
    let nodes = start_nodes(2).await;
    publish_lease(&nodes, 1);
    let mut started = start_vms(1, &nodes).await;
    started[0].entry.pool = vms::VmPool::Service("nominations".parse().unwrap());
    publish_vms(&started, &nodes);
    let target = ids::TargetId::Vm(started[0].entry.name.clone());
    let share = |node: &TestNode| {
        let shares = node.handle.shares();
        shares.get(&target).copied().unwrap_or_default().get()
    };
    // A warm limit of 16: a pool of 12, of which each of two nodes may hold half.
    wait_for("each node holds its half of the pool", || {
        let held = nodes.iter().map(share).collect::<Vec<_>>();
        assert!(held.iter().sum::<u32>() <= 12, "{held:?}");
        held == [6, 6]
    })
    .await;
    for node in &nodes {
        let lease = node.handle.lease().unwrap();
        node.handle.publish_lease(handle::LeaseSnapshot {
            record: lease.record.clone(),
            held_until: None,
        });
    }
    wait_for("shares end when nobody lends", || {
        nodes.iter().all(|node| share(node) == 0)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_hears_nobody_keeps_callers_away_until_it_hears_a_peer() {
    let node = start_node(0, &[]).await;
    publish_lease(std::slice::from_ref(&node), 1);
    let pool = routes::PoolKey::Model("drafter".parse().unwrap());
    let table = routes::RouteTable {
        pools: [(pool, Vec::new())].into(),
    };
    node.handle.publish_routes(table);
    // The record names no other node, so this one is the whole data centre.
    wait_for("a node that is the whole data centre is ready", || {
        node.handle.is_ready()
    })
    .await;
    let mut lease = node.handle.lease().unwrap().as_ref().clone();
    let other = "scot-central-a-1".parse().unwrap();
    lease.record.roster.slots.insert(1, other);
    node.handle.publish_lease(lease);
    wait_for("a node that hears nobody is not ready", || {
        !node.handle.is_ready()
    })
    .await;
    let _peer = start_node(1, &[node.address]).await;
    wait_for("it is ready once it hears the other", || {
        node.handle.is_ready()
    })
    .await;
}
