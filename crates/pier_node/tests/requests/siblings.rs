//! A request that finds no share at one node may find one at another of the same data centre.

use pier_fakes::engine;
use pier_limits::shifts;
use pier_node::handle;
use pier_types::sizes;

use crate::{forwards, test_node};

/// A node without a share of the one engine, and one of the same data centre that has some.
struct NodePair {
    entry: test_node::TestNode,
    engine: engine::FakeEngine,
    _platform: pier_fakes::platform::FakePlatform,
    _sibling: test_node::TestNode,
}

async fn launch_pair() -> NodePair {
    let platform = test_node::launch_platform().await;
    let entry = test_node::TestNode::launch(platform.address());
    let sibling = test_node::TestNode::launch(platform.address());
    let engine = test_node::launch_engine("vm-0").await;
    let target = test_node::target("vm-0", engine.address());
    sibling.publish(vec![target.clone()]);
    let mut used_up = target;
    used_up.share = sizes::RequestCount::new(0);
    entry.publish(vec![used_up]);
    let peers = vec![forwards::listen(&sibling, "mvd-a").await];
    entry.handle.publish_peers(peers);
    NodePair {
        entry,
        engine,
        _platform: platform,
        _sibling: sibling,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_a_share_passes_a_request_to_another_of_its_data_centre() {
    let pair = launch_pair().await;
    for stream in [false, true] {
        let asked = test_node::completion(test_node::LARGE_KEY, "draft", stream);
        let answer = pair.entry.send(asked).await;
        assert_eq!(answer.status, 200, "{}", answer.text);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_data_centre_gets_no_request_over_its_other_node() {
    let pair = launch_pair().await;
    pair.entry.handle.publish_shift(handle::ShiftSnapshot {
        weight: shifts::ShiftWeight::NONE,
        in_service: false,
    });
    let asked = test_node::completion(test_node::LARGE_KEY, "draft", false);
    let answer = pair.entry.send(asked).await;
    assert_eq!(
        (answer.code(), answer.outcome().as_str()),
        (2003, "not-run")
    );
    assert!(answer.retry_after_ms.is_some());
    let entries = pair.engine.record().entries();
    assert!(entries.iter().all(|entry| !entry.started), "{entries:?}");
}
