//! A request to a node without a share of a target may be served by another node of the same data
//! centre.

use pier_fakes::engine;
use pier_limits::shifts;
use pier_node::handle;
use pier_types::sizes;

use crate::{forwards, test_node};

/// A node without a share of the only engine, and a node of the same data centre that has one.
struct NodePair {
    entry: test_node::TestNode,
    engine: engine::FakeEngine,
    _platform: pier_fakes::platform::FakePlatform,
    _peer: test_node::TestNode,
}

async fn launch_pair() -> NodePair {
    let platform = test_node::launch_platform().await;
    let entry = test_node::TestNode::launch(platform.address());
    let peer = test_node::TestNode::launch(platform.address());
    let engine = test_node::launch_engine("vm-0").await;
    let target = test_node::target("vm-0", engine.address());
    peer.publish(vec![target.clone()]);
    let mut without_share = target;
    without_share.share = sizes::RequestCount::new(0);
    entry.publish(vec![without_share]);
    let peers = vec![forwards::listen(&peer, "mvd-a").await];
    entry.handle.publish_peers(peers);
    NodePair {
        entry,
        engine,
        _platform: platform,
        _peer: peer,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_a_share_forwards_to_another_of_its_data_centre() {
    let pair = launch_pair().await;
    for stream in [false, true] {
        let request = test_node::completion(test_node::LARGE_KEY, "draft", stream);
        let answer = pair.entry.send(request).await;
        assert_eq!(answer.status, 200, "{}", answer.text);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_data_centre_gets_no_request_through_its_other_node() {
    let pair = launch_pair().await;
    pair.entry.handle.publish_shift(handle::ShiftSnapshot {
        weight: shifts::ShiftWeight::NONE,
        in_service: false,
    });
    let request = test_node::completion(test_node::LARGE_KEY, "draft", false);
    let answer = pair.entry.send(request).await;
    assert_eq!(
        (answer.code(), answer.outcome().as_str()),
        (2003, "not-run")
    );
    assert!(answer.retry_after_ms.is_some());
    let entries = pair.engine.record().entries();
    assert!(entries.iter().all(|entry| !entry.started), "{entries:?}");
}
