//! Nodes discover each other and exchange evidence, crash marks and shares.

use pier_node::handle;
use pier_request::quarantine;
use pier_types::{epochs, ids, routes, vms};
use pier_wire::{messages, seals};

use crate::peer_bench::{
    KEY, TestNode, publish_lease, publish_vms, start_node, start_nodes, start_vms, wait_for,
};

#[tokio::test(flavor = "multi_thread")]
async fn nodes_discover_each_other_and_drop_the_evidence_of_a_dead_vm() {
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

fn entry(node: &str, instance: u128) -> messages::MemberEntry {
    messages::MemberEntry {
        node: node.parse().unwrap(),
        instance: seals::NodeInstance::new(instance),
        data_centre: "scot-central-a".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        beat: messages::MemberBeat {
            heartbeat: 1,
            config: epochs::ConfigVersion::new(0),
            draining: false,
        },
    }
}

/// Returns a sealed datagram of a node with its own member entry and those of others.
fn sealed(key: &str, node: &str, others: &[&str]) -> Vec<u8> {
    let name = node.parse::<ids::NodeName>().unwrap();
    let instance = seals::NodeInstance::new(77);
    let others = (78..).zip(others);
    let others = others.map(|(instance, other)| entry(other, instance));
    let entries = [entry(node, 77)].into_iter().chain(others).collect();
    let mut sealer = seals::DatagramSealer::new(key.parse().unwrap(), name, instance);
    let message = messages::PeerMessage::Members(entries);
    sealer.seal(vec![message]).unwrap().remove(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_is_known_only_through_another_takes_no_forwards() {
    let node = start_node(0, &[]).await;
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let datagram = sealed(KEY, "heard", &["told-of"]);
    socket.send_to(&datagram, node.address).await.unwrap();
    wait_for("both are known", || node.handle.peers().len() == 2).await;
    let peers = node.handle.peers();
    let takes = peers.iter().filter(|peer| peer.accepts_forwards);
    let takes = takes.map(|peer| peer.node.as_str()).collect::<Vec<_>>();
    assert_eq!(takes, ["heard"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn forged_and_damaged_datagrams_change_nothing() {
    let node = start_node(0, &[]).await;
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let forged = sealed("another-key-that-is-long-enough-too", "ghost-1", &[]);
    let mut damaged = sealed(KEY, "ghost-2", &[]);
    damaged[30] ^= 1;
    let truncated = sealed(KEY, "ghost-3", &[]);
    let truncated = truncated[..truncated.len() - 1].to_vec();
    let genuine = sealed(KEY, "real", &[]);
    for datagram in [forged, damaged, truncated, vec![1; 1_400], vec![], genuine] {
        socket.send_to(&datagram, node.address).await.unwrap();
    }
    wait_for("the genuine datagram is accepted", || {
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
    wait_for("shares end without a lease holder", || {
        nodes.iter().all(|node| share(node) == 0)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_node_is_not_ready_until_it_hears_a_peer() {
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
