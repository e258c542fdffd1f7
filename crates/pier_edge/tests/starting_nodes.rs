//! Nodes that start at the same time beside a living steward.

mod support;

use std::time;

use support::{FakePlatform, TestNode};

/// Time within which the first node is the steward.
const ELECTION_TIME: time::Duration = time::Duration::from_secs(3);

/// Time within which a node that has started follows the steward.
const FOLLOW_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Time within which a node's record is written and read once writes are taken again.
const MEETING_TIME: time::Duration = time::Duration::from_secs(5);

// Guards against nodes of a data centre that never learn of each other, as each read the nodes' records
// before the other's was written and has relied on the steward since.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_start_at_the_same_time_know_each_other() {
    let platform = FakePlatform::default();
    platform.put_document(support::document());
    let mut nodes = vec![TestNode::start_on(platform.clone(), "n1").await];
    tokio::time::sleep(ELECTION_TIME).await;
    platform.refuse_writes(true);
    for name in ["n2", "n3"] {
        nodes.push(TestNode::start_on(platform.clone(), name).await);
    }
    tokio::time::sleep(FOLLOW_TIME).await;
    platform.refuse_writes(false);
    tokio::time::sleep(MEETING_TIME).await;
    for node in &nodes {
        assert_eq!(node.metric("live_nodes").await, 2);
    }
}
