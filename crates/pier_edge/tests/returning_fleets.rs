//! Large fleets of which all nodes have ended: what the first nodes that are back serve, and what
//! they read for it.

mod support;

use std::time;

use pier_edge::links;
use support::{
    FakePlatform, KEY, RawCaller, Script, ScriptedTarget, TestNode, document, free_address,
    plain_entry,
};

/// Recorded nodes of each data centre, of which none is back: as many as make a large fleet.
const ENDED_NODES: usize = 8;

/// Time within which a node serves that is back beside a sound store. Without a steward it was 1.5 s
/// plus the reads.
const SERVE_TIME: time::Duration = time::Duration::from_secs(1);

/// Time after which a node that was left without a steward reads the store by itself.
const STEWARD_WAIT: time::Duration = time::Duration::from_millis(1_500);

/// Returns a store with a document, a target, and the records of nodes and stewards that have ended.
async fn store_of_ended_fleet() -> (FakePlatform, ScriptedTarget) {
    let platform = FakePlatform::default();
    let target = ScriptedTarget::start(Script::Whole("done")).await;
    platform.put_target(plain_entry("t0", target.address));
    platform.put_document(document());
    for centre in ["dc-a", "dc-b"] {
        for number in 0..ENDED_NODES {
            let name = format!("{centre}-n{number}");
            let address = free_address();
            let text = format!(
                "{{\"node\":\"{name}-old\",\"data_centre\":\"{centre}\",\"peers\":\"{address}\",\
                 \"format\":4}}"
            );
            platform.put_node(&format!("node.{name}"), &text);
        }
        let text = format!("{{\"holder\":\"{centre}-n0-old\",\"term\":7}}");
        platform.put_node(&format!("steward.{centre}"), &text);
    }
    (platform, target)
}

async fn status(node: &TestNode) -> u16 {
    let mut caller = RawCaller::connect(node.callers).await;
    let request = format!(
        "GET /read/x HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
         x-timeout-ms: 2000\r\n\r\n"
    );
    caller.send(&request).await;
    caller.answer().await.status()
}

// Guards against nodes that have nothing to serve until a steward is elected, though one read of the
// store would do: here no steward can be elected at all.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_serves_before_a_steward_is_elected() {
    let (platform, _target) = store_of_ended_fleet().await;
    platform.refuse_writes(true);
    let started = time::Instant::now();
    let node = TestNode::start_on(platform.clone(), "dc-a-n9").await;
    while status(&node).await != 200 {
        assert!(started.elapsed() < SERVE_TIME, "the node serves nothing");
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    let kinds = [
        links::RecordKind::Document,
        links::RecordKind::Targets,
        links::RecordKind::OutOfService,
    ];
    let calls = |call| kinds.map(|kind| platform.calls(kind, call));
    if started.elapsed() < STEWARD_WAIT {
        assert_eq!(calls("list"), [1; 3]);
        assert_eq!(calls("watch"), [0; 3], "watches without a steward");
    }
}
