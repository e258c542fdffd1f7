//! Nodes that are added at once know each other, although none reads the others' records at its start.

mod support;

use std::time;

use pier_edge::links;
use support::{FakePlatform, Script, ScriptedTarget, TestNode, document, plain_entry};

/// Nodes in each of two data centres before others are added; together with these still a small
/// fleet.
const NODES_PER_CENTRE: usize = 3;

/// Nodes that are added to the first data centre.
const ADDED_NODES: usize = 3;

/// Time within which a started fleet has settled.
const START_TIME: time::Duration = time::Duration::from_secs(4);

/// Age of the records of nodes that the store answers reads with: the added nodes are not in them
/// before.
const STALE_TIME: time::Duration = time::Duration::from_secs(3);

/// Time within which all nodes know each other once their records can be read.
const LEARN_TIME: time::Duration = time::Duration::from_secs(7);

/// Most lists of the nodes' records that a node takes: one at its start, and two that wait for its
/// own record.
const MAX_LISTS: usize = 3;

/// Starts nodes at once, by name and data centre.
async fn start_all(platform: &FakePlatform, names: Vec<(String, &'static str)>) -> Vec<TestNode> {
    let starting = names.into_iter().map(|(name, centre)| {
        let platform = platform.clone();
        tokio::spawn(async move { TestNode::start_in(platform, &name, centre).await })
    });
    let starting: Vec<_> = starting.collect();
    let mut nodes = Vec::new();
    for starting in starting {
        nodes.push(starting.await.unwrap());
    }
    nodes
}

/// Returns how many others each node knows to be alive.
async fn live_nodes(nodes: &[TestNode]) -> Vec<u64> {
    let mut live = Vec::new();
    for node in nodes {
        live.push(node.metric("live_nodes").await);
    }
    live
}

/// Guards against limits that are shared among too few, since a node that follows its steward reads
/// no records of nodes any more.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_are_added_at_once_hear_of_each_other() {
    let platform = FakePlatform::default();
    let target = ScriptedTarget::start(Script::Whole("done")).await;
    platform.put_target(plain_entry("t0", target.address));
    platform.put_document(document());
    let names = (0..2 * NODES_PER_CENTRE).map(|number| {
        let centre = ["dc-a", "dc-b"][number % 2];
        (format!("n{number}"), centre)
    });
    let mut nodes = start_all(&platform, names.collect()).await;
    tokio::time::sleep(START_TIME).await;
    let lists = || platform.calls(links::RecordKind::Nodes, "list");
    let lists_before = lists();
    platform.set_nodes_stale(true);
    let names = (0..ADDED_NODES).map(|number| (format!("n9{number}"), "dc-a"));
    nodes.extend(start_all(&platform, names.collect()).await);
    tokio::time::sleep(STALE_TIME).await;
    platform.set_nodes_stale(false);
    let others = u64::try_from(nodes.len() - 1).unwrap();
    let expected = vec![others; nodes.len()];
    let started = time::Instant::now();
    let mut live = live_nodes(&nodes).await;
    while live != expected && started.elapsed() < LEARN_TIME {
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        live = live_nodes(&nodes).await;
    }
    assert_eq!(live, expected);
    let more = lists() - lists_before;
    assert!(more <= MAX_LISTS * ADDED_NODES, "{more} lists");
}
