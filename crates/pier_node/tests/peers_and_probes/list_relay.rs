//! VM lists and probe results that a node receives through other nodes.

use std::{net, time};

use pier_fakes::{fault, platform};
use pier_types::{epochs, ids, sizes, times, vms};
use pier_wire::{messages, seals};

use crate::peer_bench::{
    KEY, TestNode, publish_lease, publish_vms, start_node, start_node_at, start_vm, wait_for,
};

/// Length of a VM list that does not fit into one datagram.
const LONG_LIST_LENGTH: u32 = 200;

fn entry(number: u32, state: vms::VmState) -> vms::VmEntry {
    vms::VmEntry {
        name: format!("vm-{number}").parse().unwrap(),
        incarnation: epochs::VmIncarnation::new(1),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "scot-central-a".parse().unwrap(),
        domain: "d1".parse().unwrap(),
        pool: vms::VmPool::Accelerator,
        state,
    }
}

fn live(count: u32) -> Vec<vms::VmEntry> {
    let numbers = 0..count;
    numbers
        .map(|number| entry(number, vms::VmState::Live))
        .collect()
}

fn is_leaving(node: &TestNode, number: u32) -> bool {
    let vms = node.handle.vms();
    let entry = vms.get(&format!("vm-{number}").parse().unwrap());
    entry.is_some_and(|entry| entry.state == vms::VmState::Leaving)
}

/// Starts a platform with a list, a lease holder that reads it, and a follower that cannot reach the
/// platform.
async fn start_pair() -> (platform::FakePlatform, Vec<TestNode>) {
    let server = platform::FakePlatform::builder().launch().await.unwrap();
    server.set_vms(live(LONG_LIST_LENGTH));
    let reader = start_node_at(server.address(), 0, &[]).await;
    let follower = start_node(1, &[reader.address]).await;
    let nodes = vec![reader, follower];
    publish_lease(&nodes, 1);
    (server, nodes)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_the_platform_gets_the_list_and_its_changes_from_the_holder() {
    let (server, nodes) = start_pair().await;
    wait_for("the follower has the whole list", || {
        nodes[1].handle.vms().len() == live(LONG_LIST_LENGTH).len()
    })
    .await;
    wait_for("the platform counts as reachable", || {
        nodes[1].handle.platform_contact_at().is_some()
    })
    .await;
    let mut list = live(LONG_LIST_LENGTH - 1);
    list[7] = entry(7, vms::VmState::Leaving);
    server.set_vms(list);
    wait_for("the follower has the changes", || {
        is_leaving(&nodes[1], 7) && nodes[1].handle.vms().len() == live(LONG_LIST_LENGTH - 1).len()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_whose_holder_is_cut_off_from_the_platform_reads_it_itself() {
    let server = platform::FakePlatform::builder().launch().await.unwrap();
    server.set_vms(live(3));
    let holder = start_node(0, &[]).await;
    let follower = start_node_at(server.address(), 1, &[holder.address]).await;
    let nodes = vec![holder, follower];
    publish_lease(&nodes, 1);
    wait_for("the follower has the list", || {
        nodes[1].handle.vms().len() == 3
    })
    .await;
    let mut list = live(3);
    list[1] = entry(1, vms::VmState::Leaving);
    server.set_vms(list);
    wait_for("the follower has the change", || is_leaving(&nodes[1], 1)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_platform_leaves_the_list_as_it_was() {
    let (server, nodes) = start_pair().await;
    wait_for("the follower has the whole list", || {
        nodes[1].handle.vms().len() == live(LONG_LIST_LENGTH).len()
    })
    .await;
    server.set_fault(fault::FaultSpec::new(fault::FaultKind::Down {
        for_ms: None,
    }));
    let heard_at = nodes[1].handle.platform_contact_at();
    wait_for("the platform counts as silent", || {
        let age = times::clocks::boot_now().since(heard_at.unwrap());
        age > time::Duration::from_secs(4)
    })
    .await;
    for node in &nodes {
        assert_eq!(node.handle.vms().len(), live(LONG_LIST_LENGTH).len());
    }
}

/// A node simulated by the test.
struct SimulatedNode {
    socket: tokio::net::UdpSocket,
    sealer: seals::DatagramSealer,
    opener: seals::DatagramOpener,
    peer: net::SocketAddr,
}

impl SimulatedNode {
    /// Creates the node and announces it to a peer.
    async fn join(peer: net::SocketAddr) -> Self {
        let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let (key, name) = (KEY.parse::<seals::WireKey>().unwrap(), "played");
        let instance = seals::NodeInstance::new(77);
        let name = name.parse::<ids::NodeName>().unwrap();
        let entry = messages::MemberEntry {
            node: name.clone(),
            instance,
            data_centre: "scot-central-a".parse().unwrap(),
            address: socket.local_addr().unwrap(),
            beat: messages::MemberBeat {
                heartbeat: 1,
                config: epochs::ConfigVersion::new(0),
                draining: false,
            },
        };
        let mut simulated = Self {
            sealer: seals::DatagramSealer::new(key.clone(), name, instance),
            opener: seals::DatagramOpener::new(key, instance),
            socket,
            peer,
        };
        simulated
            .send(messages::PeerMessage::Members(vec![entry]))
            .await;
        simulated
    }

    async fn send(&mut self, message: messages::PeerMessage) {
        for datagram in self.sealer.seal(vec![message]).unwrap() {
            self.socket.send_to(&datagram, self.peer).await.unwrap();
        }
    }

    /// Waits for the peer's next pull for all probe results.
    async fn pull(&mut self) -> messages::ProbePull {
        loop {
            let mut buffer = [0; 1_400];
            let (length, _) = self.socket.recv_from(&mut buffer).await.unwrap();
            let now = times::clocks::boot_now();
            let opened = self.opener.open(&buffer[..length], now).unwrap();
            for message in opened.messages {
                if let messages::PeerMessage::ProbePull(pull) = message
                    && pull.scope == messages::PullScope::First
                {
                    return pull;
                }
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn load_batch_is_completed_from_the_previous_probe_batch() {
    let node = start_node(0, &[]).await;
    let vm = start_vm(1).await;
    publish_vms(std::slice::from_ref(&vm), std::slice::from_ref(&node));
    let name = vm.entry.name.clone();
    wait_for("the node has probed the VM itself", || {
        node.handle.evidence().contains_key(&name)
    })
    .await;
    let own = node.handle.evidence()[&name].report.clone();
    let batch = |pull, running| {
        let mut report = own.clone();
        report.running = sizes::RequestCount::new(running);
        let result = messages::ProbeResult {
            vm: name.clone(),
            age: time::Duration::ZERO,
            latency: time::Duration::from_millis(1),
            outcome: Ok(report),
        };
        messages::ProbeBatch::pack(pull, &[result])
    };
    let mut simulated = SimulatedNode::join(node.address).await;
    let first = simulated.pull().await;
    assert_eq!(first.known, None);
    let whole = messages::PeerMessage::ProbeBatch(batch(first.pull, 500));
    simulated.send(whole).await;
    let known = loop {
        let pull = simulated.pull().await;
        if pull.known.is_some() {
            break pull;
        }
    };
    let loads = batch(known.pull, 700).reply(known.known);
    assert!(matches!(loads, messages::PeerMessage::LoadBatch(_)));
    simulated.send(loads).await;
    wait_for("the loads are applied", || {
        let evidence = node.handle.evidence();
        evidence[&name].report.running == sizes::RequestCount::new(700)
    })
    .await;
}
