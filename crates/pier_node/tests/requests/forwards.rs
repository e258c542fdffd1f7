//! A request is forwarded once, to a data centre with capacity, and its outcome is reported
//! truthfully.

use std::{net, sync, time};

use pier_fakes::service;
use pier_node::{forwards, handle};
use tokio::io::AsyncReadExt as _;
use tokio::net::{TcpListener, TcpStream};

use crate::{dropping_target, test_node};

/// Starts the forward server of a node; returns its entry for the peers of other nodes.
pub async fn listen(node: &test_node::TestNode, data_centre: &str) -> handle::PeerEntry {
    let key = node.handle.settings().peer_key.clone();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(forwards::ForwardServer::new(node.handle.clone(), key).run(listener));
    peer(data_centre, address)
}

fn peer(data_centre: &str, address: net::SocketAddr) -> handle::PeerEntry {
    handle::PeerEntry {
        node: format!("node-{data_centre}").parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        address,
        draining: false,
        accepts_forwards: true,
    }
}

/// Starts a peer that closes each connection after some bytes.
async fn launch_broken_peer(data_centre: &str, bytes: usize) -> handle::PeerEntry {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _peer) = listener.accept().await.unwrap();
            let _read = stream.read_exact(&mut vec![0; bytes]).await;
        }
    });
    peer(data_centre, address)
}

fn runs(ledger: &service::FakeService) -> usize {
    let entries = ledger.record().entries();
    entries.iter().filter(|entry| entry.started).count()
}

/// Starts a proxy to a peer that drops each connection once the ledger has run another request.
async fn launch_dropping_peer(
    behind: &handle::PeerEntry,
    ledger: sync::Arc<service::FakeService>,
) -> handle::PeerEntry {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let target = behind.address;
    tokio::spawn(async move {
        loop {
            let (mut client, _peer) = listener.accept().await.unwrap();
            let mut server = TcpStream::connect(target).await.unwrap();
            let before = runs(&ledger);
            let ran = async {
                while runs(&ledger) == before {
                    tokio::time::sleep(time::Duration::from_millis(2)).await;
                }
            };
            tokio::select! {
                _copied = tokio::io::copy_bidirectional(&mut client, &mut server) => {}
                () = ran => {}
            }
        }
    });
    peer(behind.data_centre.as_str(), address)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_lost_after_it_took_a_request_leaves_the_outcome_unknown() {
    for (method, max_runs) in [("GET", 2), ("POST", 1)] {
        let platform = test_node::launch_platform().await;
        let [entry, other] = [(); 2].map(|()| test_node::TestNode::launch(platform.address()));
        let ledger = service::FakeService::builder("ledger-1".parse().unwrap())
            .call_time(time::Duration::from_millis(300));
        let ledger = sync::Arc::new(ledger.launch().await.unwrap());
        other.publish(vec![test_node::target("ledger-1", ledger.address())]);
        entry.publish(Vec::new());
        let mut peers = Vec::new();
        for data_centre in ["mvd-b", "mvd-c"] {
            let behind = listen(&other, data_centre).await;
            peers.push(launch_dropping_peer(&behind, sync::Arc::clone(&ledger)).await);
        }
        entry.handle.publish_peers(peers);
        let path = "/services/libro/balances";
        let request = test_node::request(test_node::LARGE_KEY, method, path, "");
        let answer = entry.send(request).await;
        assert_eq!(
            (answer.code(), answer.outcome().as_str()),
            (4008, "unknown")
        );
        assert_eq!(runs(&ledger), max_runs);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_without_targets_forwards_its_requests() {
    let platform = test_node::launch_platform().await;
    let entry = test_node::TestNode::launch(platform.address());
    let other = test_node::TestNode::launch(platform.address());
    let engine = test_node::launch_engine("vm-0").await;
    let ledger = test_node::launch_ledger("ledger-1").await;
    other.publish(vec![
        test_node::target("vm-0", engine.address()),
        test_node::target("ledger-1", ledger.address()),
    ]);
    entry.publish(Vec::new());
    let peers = vec![listen(&other, "mvd-b").await];
    entry.handle.publish_peers(peers);
    for stream in [false, true] {
        let request = test_node::completion(test_node::LARGE_KEY, "draft", stream);
        let answer = entry.send(request).await;
        assert_eq!(answer.status, 200, "{}", answer.text);
        assert!(
            !stream || answer.text.ends_with("data: [DONE]\n\n"),
            "{}",
            answer.text
        );
    }
    let charge = test_node::charge("forward_01");
    let first = entry.send(charge.clone()).await;
    other.wait_until_idle().await;
    let second = other.send(charge).await;
    assert_eq!((first.status, &first.text), (200, &second.text));
    assert_eq!(runs(&ledger), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_that_refused_is_tried_again_when_no_other_is_left() {
    let platform = test_node::launch_platform().await;
    let entry = test_node::TestNode::launch(platform.address());
    let other = test_node::TestNode::launch(platform.address());
    let engine = test_node::launch_engine("vm-0").await;
    entry.publish(Vec::new());
    other.publish(Vec::new());
    let peers = vec![listen(&other, "mvd-b").await];
    entry.handle.publish_peers(peers);
    let request = test_node::completion(test_node::LARGE_KEY, "draft", false);
    let refused = entry.send(request.clone()).await;
    assert_eq!(
        (refused.code(), refused.retry_after_ms),
        (2003, Some(2_000))
    );
    other.publish(vec![test_node::target("vm-0", engine.address())]);
    let answer = entry.send(request).await;
    assert_eq!(answer.status, 200, "{}", answer.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_forwarded_only_once() {
    let platform = test_node::launch_platform().await;
    let nodes = [(); 2].map(|()| test_node::TestNode::launch(platform.address()));
    let peers = [
        listen(&nodes[0], "mvd-b").await,
        listen(&nodes[1], "mvd-c").await,
    ];
    for (node, peer) in nodes.iter().zip(peers.iter().rev()) {
        node.publish(Vec::new());
        node.handle.publish_peers(vec![peer.clone()]);
    }
    let request = test_node::completion(test_node::LARGE_KEY, "draft", false);
    let answer = nodes[0].send(request).await;
    assert_eq!(
        (answer.code(), answer.outcome().as_str()),
        (2003, "not-run")
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_node_is_skipped_for_the_next_one() {
    let platform = test_node::launch_platform().await;
    let entry = test_node::TestNode::launch(platform.address());
    let other = test_node::TestNode::launch(platform.address());
    let engine = test_node::launch_engine("vm-0").await;
    other.publish(vec![test_node::target("vm-0", engine.address())]);
    entry.publish(Vec::new());
    let gone = launch_broken_peer("mvd-b", 1).await;
    entry
        .handle
        .publish_peers(vec![gone, listen(&other, "mvd-c").await]);
    for number in 0..8 {
        let prompt = format!("draft {number}");
        let request = test_node::completion(test_node::SMALL_KEY, &prompt, false);
        let answer = entry.send(request).await;
        assert_eq!(answer.status, 200, "{}", answer.text);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failure_at_the_other_node_keeps_its_outcome() {
    let platform = test_node::launch_platform().await;
    let entry = test_node::TestNode::launch(platform.address());
    let other = test_node::TestNode::launch(platform.address());
    let dropping = dropping_target::DroppingTarget::launch().await;
    other.publish(vec![test_node::target("ledger-1", dropping.address)]);
    entry.publish(Vec::new());
    entry
        .handle
        .publish_peers(vec![listen(&other, "mvd-b").await]);
    let post = test_node::request(test_node::LARGE_KEY, "POST", "/services/libro/charges", "1");
    let answer = entry.send(post).await;
    assert_eq!(
        (answer.code(), answer.outcome().as_str()),
        (4002, "unknown")
    );
    assert_eq!(dropping.received(), 1);
}

#[test]
fn a_node_that_accepts_no_forwards_is_no_candidate() {
    let document = include_str!("../../../../examples/tarifas.ini");
    let document = document.parse().unwrap();
    let address = "127.0.0.1:9".parse().unwrap();
    let direct = peer("mvd-a", address);
    let indirect = handle::PeerEntry {
        node: "told-of".parse().unwrap(),
        accepts_forwards: false,
        ..direct.clone()
    };
    let peers = [indirect, direct.clone()];
    let choice = forwards::ForwardChoice {
        data_centre: &"mvd-a".parse().unwrap(),
        document: &document,
        peers: &peers,
        local_serves: true,
    };
    for random in 0..4 {
        assert_eq!(choice.candidates(random), std::slice::from_ref(&direct));
    }
}
