//! Nodes that fell silent for long are still tried now and then, so that nodes that were cut off from
//! each other find each other again.

mod support;

use std::time;

use support::{EarlierNode, FakePlatform, TestNode};

/// Longer than the silence after which a node is forgotten.
const CUT_TIME: time::Duration = time::Duration::from_secs(33);

/// Longer than the interval at which forgotten nodes are tried.
const TRY_TIME: time::Duration = time::Duration::from_secs(8);

/// Most datagrams to one forgotten node in that time.
const MAX_TRIES: usize = 4;

#[tokio::test]
async fn a_node_that_was_silent_for_long_is_tried_again_and_counts_once_it_answers() {
    let platform = FakePlatform::default();
    let mut earlier = EarlierNode::start(&platform, "a0", "dc-b").await;
    let node = TestNode::start_on(platform, "n1").await;
    assert!(!earlier.receive(CUT_TIME).await.is_empty());
    let tries = earlier.receive(TRY_TIME).await.len();
    assert!((1..=MAX_TRIES).contains(&tries), "{tries} tries");
    let beat = support::EarlierMessage::Beat(earlier.beat(3));
    earlier.send(&beat, node.peers).await;
    // A known node gets all heartbeats.
    let beats = earlier.receive(time::Duration::from_secs(2)).await;
    assert!(beats.len() > MAX_TRIES, "{} beats", beats.len());
}
