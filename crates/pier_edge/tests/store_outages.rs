//! Nodes after an outage of the store: what they learn of it again, and how soon.

mod support;

use std::time;

use pier_edge::links;
use support::{
    FakePlatform, KEY, RawCaller, Script, ScriptedTarget, TestNode, document_at, plain_entry,
};

/// Time after which the store counts as stable again after an outage.
const STABLE_TIME: time::Duration = time::Duration::from_secs(3);

/// Time within which all nodes have to know that a target leaves, and which document is in force.
const KNOWN_TIME: time::Duration = time::Duration::from_secs(2);

/// Time within which a data centre has to be out of service.
const OUT_OF_SERVICE_TIME: time::Duration = time::Duration::from_secs(5);

/// Time that a registration which the store has lost may take to reappear, with what its delivery
/// takes.
const RESTORE_TIME: time::Duration = time::Duration::from_millis(2_200);

/// Nodes of a fleet that follows a steward.
const LARGE_FLEET: usize = 16;

/// Calls of a large fleet in an outage of 8 s: those of its steward and of the two nodes that would
/// replace it, each with four loops, and ten of each other node.
const CALLS_IN_OUTAGE: usize = 100 + 10 * LARGE_FLEET;

/// Calls of a large fleet within 3 s after it: three of each node, and the steward's watches.
const CALLS_AFTER_OUTAGE: usize = 60 + 3 * LARGE_FLEET;

/// Requests that would reach a target in use.
const MANY_REQUESTS: usize = 24;

/// A store with two plain targets.
struct StoreBench {
    platform: FakePlatform,
    first: ScriptedTarget,
    second: ScriptedTarget,
    nodes: Vec<TestNode>,
}

impl StoreBench {
    /// Starts this many nodes in one data centre, and one in the other, so that each has a steward
    /// of its own.
    async fn start(local_nodes: usize) -> Self {
        let platform = FakePlatform::default();
        let first = ScriptedTarget::start(Script::Whole("done")).await;
        let second = ScriptedTarget::start(Script::Whole("done")).await;
        let entries = vec![
            plain_entry("t0", first.address),
            plain_entry("t1", second.address),
        ];
        let mut nodes = TestNode::start_fleet(local_nodes, platform.clone(), entries).await;
        nodes.push(TestNode::start_in(platform.clone(), "far", "dc-b").await);
        tokio::time::sleep(time::Duration::from_secs(2)).await;
        // Ends the watches that began before there were stewards.
        platform.put_target(plain_entry("t1", second.address));
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        Self {
            platform,
            first,
            second,
            nodes,
        }
    }

    fn announce_leaving(&self) {
        let mut entry = plain_entry("t0", self.first.address);
        entry.is_draining = true;
        self.platform.put_target(entry);
    }

    async fn assert_first_unused(&self) {
        let before = self.first.requests().len();
        for node in &self.nodes {
            for _ in 0..MANY_REQUESTS {
                assert_eq!(status(node).await, 200);
            }
        }
        let reached = self.first.requests().len() - before;
        assert_eq!(reached, 0, "requests to a target that leaves");
    }
}

async fn status(node: &TestNode) -> u16 {
    let mut caller = RawCaller::connect(node.callers).await;
    let request = format!(
        "GET /read/x HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
         x-timeout-ms: 3000\r\n\r\n"
    );
    caller.send(&request).await;
    caller.answer().await.status()
}

/// Guards against followers that wait in a silenced watch of their own while their steward relays
/// changes again.
#[tokio::test(flavor = "multi_thread")]
async fn followers_learn_of_a_leaving_target_after_a_silent_outage() {
    let bench = StoreBench::start(2).await;
    bench.platform.set_silent(true);
    tokio::time::sleep(time::Duration::from_secs(5)).await;
    bench.platform.set_silent(false);
    tokio::time::sleep(STABLE_TIME + time::Duration::from_secs(1)).await;
    bench.announce_leaving();
    tokio::time::sleep(KNOWN_TIME).await;
    bench.assert_first_unused().await;
}

/// Guards against a steward that calls a silent store so rarely that it notices the store's return
/// late.
#[tokio::test(flavor = "multi_thread")]
async fn a_steward_notices_soon_that_the_store_answers_again() {
    let bench = StoreBench::start(1).await;
    let lists = || bench.platform.calls(links::RecordKind::Targets, "list");
    let before = lists();
    bench.platform.set_silent(true);
    while lists() < before + 2 {
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    // The second list has ended.
    tokio::time::sleep(time::Duration::from_millis(1_600)).await;
    bench.announce_leaving();
    bench.platform.set_silent(false);
    tokio::time::sleep(KNOWN_TIME).await;
    bench.assert_first_unused().await;
}

/// Guards against a watch of the document, or of the data centres out of service, that an outage
/// has silenced and that nobody ends.
#[tokio::test(flavor = "multi_thread")]
async fn all_kinds_of_records_are_read_again_after_a_silent_outage() {
    let bench = StoreBench::start(1).await;
    bench.platform.set_silent(true);
    tokio::time::sleep(time::Duration::from_secs(4)).await;
    bench.platform.set_silent(false);
    tokio::time::sleep(STABLE_TIME).await;
    bench.platform.put_document(document_at(4));
    tokio::time::sleep(KNOWN_TIME).await;
    assert_eq!(bench.nodes[0].metric("document_version").await, 4);
    bench.platform.take_out_of_service("dc-a");
    tokio::time::sleep(OUT_OF_SERVICE_TIME).await;
    assert_eq!(status(&bench.nodes[0]).await, 503);
}

/// Guards against an outage that does not count because only the call which it silenced was long:
/// registrations that lapsed in it were dropped at once.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_lasts_since_the_call_that_it_silenced() {
    let bench = StoreBench::start(1).await;
    bench.platform.set_silent(true);
    tokio::time::sleep(time::Duration::from_millis(1_800)).await;
    for vm in ["t0", "t1"] {
        bench.platform.remove_target(vm);
    }
    bench.platform.set_silent(false);
    let lists = || bench.platform.calls(links::RecordKind::Targets, "list");
    let before = lists();
    while lists() == before {
        tokio::time::sleep(time::Duration::from_millis(2)).await;
    }
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    assert_eq!(status(&bench.nodes[0]).await, 200);
    for (vm, target) in [("t0", &bench.first), ("t1", &bench.second)] {
        bench.platform.put_target(plain_entry(vm, target.address));
    }
    tokio::time::sleep(RESTORE_TIME).await;
    assert_eq!(status(&bench.nodes[0]).await, 200);
}

/// Guards against calls without a pause between a stale list and a watch of changes that the store
/// has forgotten.
#[tokio::test(flavor = "multi_thread")]
async fn a_forgotten_history_costs_few_calls() {
    let bench = StoreBench::start(1).await;
    bench.platform.forget_history();
    let lists = || bench.platform.calls(links::RecordKind::Nodes, "list");
    let before = lists();
    let duration = time::Duration::from_secs(3);
    tokio::time::sleep(duration).await;
    let rate = (lists() - before) / 3;
    assert!(rate <= 4, "{rate} lists a second");
}

/// Guards against an outage in which all nodes of a large fleet go on calling the store, and against
/// lists that each loop of a node makes the others repeat as it notices the store's return.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_costs_a_large_fleet_few_calls() {
    let platform = FakePlatform::default();
    let target = ScriptedTarget::start(Script::Whole("done")).await;
    platform.put_target(plain_entry("t0", target.address));
    platform.put_document(document_at(3));
    let mut starting = Vec::new();
    for number in 0..LARGE_FLEET {
        let (platform, name) = (platform.clone(), format!("n{number:02}"));
        starting.push(tokio::spawn(async move {
            TestNode::start_first(platform, &name, "dc-a").await
        }));
    }
    let mut nodes = Vec::new();
    for node in starting {
        nodes.push(node.await.unwrap());
    }
    tokio::time::sleep(STABLE_TIME + time::Duration::from_secs(1)).await;
    let calls = || {
        let kinds = [
            links::RecordKind::Targets,
            links::RecordKind::OutOfService,
            links::RecordKind::Document,
            links::RecordKind::Nodes,
        ];
        let calls = kinds.map(|kind| platform.calls(kind, "list") + platform.calls(kind, "watch"));
        calls.iter().sum::<usize>()
    };
    let before = calls();
    platform.set_away(true);
    tokio::time::sleep(time::Duration::from_secs(8)).await;
    let away = calls() - before;
    platform.set_away(false);
    tokio::time::sleep(STABLE_TIME).await;
    let more = calls() - before - away;
    println!("{away} calls in the outage, {more} after it");
    for node in &nodes {
        assert_eq!(status(node).await, 200);
    }
    assert!(away <= CALLS_IN_OUTAGE, "{away} calls in the outage");
    assert!(more <= CALLS_AFTER_OUTAGE, "{more} calls after the outage");
}
