//! A target that turns a request away and names a time gets no request from the node until then.

mod support;

use std::time;

use pier_types::epochs;
use support::{
    FakePlatform, GROUP_MODEL, KEY, RawAnswer, RawCaller, Script, ScriptedTarget, TestNode,
    group_member, plain_entry,
};

/// The pause that targets ask for, as their header line.
const PAUSE_HEADER: &str = "x-pause: 2\r\n";

const PAUSE: time::Duration = time::Duration::from_secs(2);

/// The pause and the most by which a node extends it.
const LONGEST_PAUSE: time::Duration = time::Duration::from_millis(2_200);

const MANY_REQUESTS: usize = 16;

async fn ask(node: &TestNode, path: &str) -> RawAnswer {
    let mut caller = RawCaller::connect(node.callers).await;
    caller
        .send(&format!(
            "GET {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
             x-model: {GROUP_MODEL}\r\nx-timeout-ms: 3000\r\n\r\n"
        ))
        .await;
    caller.answer().await
}

async fn pausing_target() -> ScriptedTarget {
    let target = ScriptedTarget::start(Script::NotRun).await;
    target.set_headers(PAUSE_HEADER);
    target
}

fn wait_of(answer: &RawAnswer) -> time::Duration {
    let seconds = answer.header("retry-after").unwrap().parse().unwrap();
    time::Duration::from_secs_f64(seconds)
}

/// Guards against requests to a target during its pause, and against callers who are not told when
/// it ends.
#[tokio::test]
async fn a_pausing_target_gets_nothing_until_its_pause_ends() {
    let target = pausing_target().await;
    let node = TestNode::start(vec![plain_entry("t0", target.address)]).await;
    let started = time::Instant::now();
    let turned_away = ask(&node, "/read/x").await;
    assert_eq!(turned_away.status(), 503);
    assert!(wait_of(&turned_away) > PAUSE / 2);
    for path in ["/read/x", "/post/x"] {
        for _ in 0..MANY_REQUESTS {
            let answer = ask(&node, path).await;
            assert_eq!(answer.status(), 503);
            let left = LONGEST_PAUSE.saturating_sub(started.elapsed());
            // A wait is stated in milliseconds, rounded up.
            let wait = wait_of(&answer).saturating_sub(time::Duration::from_millis(20));
            assert!(wait <= left && wait > left / 2, "{wait:?} of {left:?}");
        }
    }
    assert!(started.elapsed() < PAUSE);
    assert_eq!(target.requests().len(), 1);
    tokio::time::sleep(LONGEST_PAUSE.saturating_sub(started.elapsed())).await;
    ask(&node, "/read/x").await;
    assert_eq!(target.requests().len(), 2);
}

/// Guards against a pause of one target that keeps requests from the others.
#[tokio::test]
async fn other_targets_serve_meanwhile() {
    let pausing = pausing_target().await;
    let node = TestNode::start(vec![plain_entry("t0", pausing.address)]).await;
    assert_eq!(ask(&node, "/read/x").await.status(), 503);
    let serving = ScriptedTarget::start(Script::Whole("done")).await;
    let entry = plain_entry("t1", serving.address);
    node.platform.put_target(entry);
    node.settle().await;
    for _ in 0..MANY_REQUESTS {
        assert_eq!(ask(&node, "/read/x").await.status(), 200);
    }
    assert_eq!(pausing.requests().len(), 1);
}

/// Guards against a pause that is forgotten when the VM serves another group, and against one that
/// outlives the start of the VM.
#[tokio::test]
async fn a_pause_lasts_over_groups_but_not_over_starts() {
    let target = pausing_target().await;
    let members = |born: u64, generation: u64| {
        [0, 1].map(|rank| {
            let mut entry = group_member("g0", rank, target.address);
            entry.standing.born = epochs::VmIncarnation::new(born);
            let membership = entry.standing.membership.as_mut().unwrap();
            membership.generation = epochs::GroupGeneration::new(generation);
            entry
        })
    };
    let node = TestNode::start(members(1, 7).to_vec()).await;
    assert_eq!(ask(&node, "/talk/x").await.status(), 503);
    assert_eq!(target.requests().len(), 1);
    for entry in members(1, 8) {
        node.platform.put_target(entry);
    }
    node.settle().await;
    assert_eq!(ask(&node, "/talk/x").await.status(), 503);
    assert_eq!(target.requests().len(), 1);
    for entry in members(2, 9) {
        node.platform.put_target(entry);
    }
    node.settle().await;
    ask(&node, "/talk/x").await;
    assert_eq!(target.requests().len(), 2);
}

/// Guards against a pause of one node that keeps other nodes from the target.
#[tokio::test]
async fn a_pause_is_the_nodes_own() {
    let target = pausing_target().await;
    let entries = vec![plain_entry("t0", target.address)];
    let nodes = TestNode::start_fleet(2, FakePlatform::default(), entries).await;
    for (node, count) in nodes.iter().zip([1, 2]) {
        assert_eq!(ask(node, "/read/x").await.status(), 503);
        assert_eq!(target.requests().len(), count);
    }
}
