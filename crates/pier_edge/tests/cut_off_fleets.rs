//! Callers of nodes that reach no target are served nearly as often as those of other nodes.

mod support;

use std::{net, time};

use support::{
    CutLink, FakePlatform, GROUP_MODEL, KEY, LinkMode, RawCaller, Script, ScriptedTarget, TestNode,
    document, group_member, plain_entry,
};
use tokio::task;

/// Nodes of the fleet; one half is in each of two data centres.
const NODES: usize = 6;

/// Time from the beginning of a cut after which the bounds hold.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(3);

/// Rounds of requests while the links are cut, and after they are restored.
const ROUNDS: usize = 40;

/// Pause between two rounds.
const ROUND_PAUSE: time::Duration = time::Duration::from_millis(75);

/// Pause between two rounds of several requests, after which the streams of the last one have ended.
/// Otherwise they fill the targets, which then refuse the callers of all nodes.
const BURST_PAUSE: time::Duration = time::Duration::from_millis(150);

const PATHS: [&str; 4] = ["/talk/x", "/read/x", "/once/x", "/post/x"];

/// First tries that may fail at cut-off nodes: this many, and one in [`FAILURE_SHARE`].
const MAX_FAILURES: usize = 10;

const FAILURE_SHARE: usize = 50;

/// First tries at a group of nodes.
#[derive(Clone, Copy, Debug, Default)]
struct TryCount {
    served: usize,
    failed: usize,
}

impl TryCount {
    fn total(self) -> usize {
        self.served + self.failed
    }

    /// Returns whether no more tries failed than may at cut-off nodes.
    fn is_within_bound(self) -> bool {
        self.failed <= MAX_FAILURES + self.total() / FAILURE_SHARE
    }

    fn share(self) -> f64 {
        self.served as f64 / self.total() as f64
    }
}

async fn is_served(callers: net::SocketAddr, path: &'static str) -> bool {
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
         x-model: {GROUP_MODEL}\r\nx-timeout-ms: 4000\r\ncontent-length: 6\r\n\r\nprompt"
    );
    let mut caller = RawCaller::connect(callers).await;
    caller.send(&request).await;
    let answer = caller.answer().await;
    answer.status() == 200 && answer.is_complete
}

/// Starts the targets and returns them with their registrations in the platform.
async fn start_targets(platform: &FakePlatform) -> Vec<(String, ScriptedTarget)> {
    let mut targets = Vec::new();
    for number in 0..3 {
        let target = ScriptedTarget::start(Script::Whole("done")).await;
        let vm = format!("t{number}");
        platform.put_target(plain_entry(&vm, target.address));
        targets.push((vm, target));
        let script = Script::Events {
            last: 8,
            pause_ms: 10,
            cut_in: None,
            silent_from: None,
        };
        let target = ScriptedTarget::start(script).await;
        for rank in 0..2 {
            platform.put_target(group_member(&format!("g{number}"), rank, target.address));
            targets.push((format!("g{number}-{rank}"), target.clone()));
        }
    }
    platform.put_document(document());
    targets
}

/// Sends `burst` requests a round to each node for a while, and counts the first tries at the first
/// `cut` nodes and at the others.
async fn send_rounds(nodes: &[TestNode], cut: usize, burst: usize) -> [TryCount; 2] {
    let mut running: Vec<(usize, task::JoinHandle<bool>)> = Vec::new();
    let pause = if burst > 1 { BURST_PAUSE } else { ROUND_PAUSE };
    for round in 0..ROUNDS {
        for (number, node) in nodes.iter().enumerate() {
            for nth in 0..burst {
                let path = PATHS[(round + number + nth) % PATHS.len()];
                running.push((number, tokio::spawn(is_served(node.callers, path))));
            }
        }
        tokio::time::sleep(pause).await;
    }
    let mut counts = [TryCount::default(); 2];
    for (number, answer) in running {
        let count = &mut counts[usize::from(number >= cut)];
        if answer.await.unwrap() {
            count.served += 1;
        } else {
            count.failed += 1;
        }
    }
    counts
}

/// Returns a platform for a node that reaches all targets by links of its own.
fn linked(
    platform: &FakePlatform,
    targets: &[(String, ScriptedTarget)],
) -> (FakePlatform, Vec<CutLink>) {
    let mut linked = platform.clone();
    let mut links = Vec::new();
    for (vm, target) in targets {
        let link = CutLink::start(target.address);
        linked = linked.with_link(vm, link.address);
        links.push(link);
    }
    (linked, links)
}

/// Cuts the links of some nodes to all targets, and checks how their callers are served.
async fn play(cut: usize, mode: LinkMode, burst: usize) {
    let platform = FakePlatform::default();
    let targets = start_targets(&platform).await;
    let mut nodes = Vec::new();
    let mut links = Vec::new();
    for number in 0..NODES {
        let mut own = platform.clone();
        if number < cut {
            let (to_links, cut_links) = linked(&platform, &targets);
            own = to_links;
            links.extend(cut_links);
        }
        let data_centre = if number < NODES / 2 { "dc-a" } else { "dc-b" };
        nodes.push(TestNode::start_in(own, &format!("n{number}"), data_centre).await);
    }
    // The nodes find each other, and open connections that the cut meets.
    let _warm_up = send_rounds(&nodes, cut, 1).await;
    for link in &links {
        link.set_mode(mode).await;
    }
    let (at_cut, ()) = tokio::join!(
        send_rounds(&nodes, cut, burst),
        tokio::time::sleep(SETTLE_TIME)
    );
    println!("{cut} cut off ({mode:?}), first seconds: {at_cut:?}");
    // A refused connection fails at once, so that no time is needed to notice the cut.
    assert!(mode != LinkMode::RefuseNew || at_cut[0].is_within_bound());
    let [cut_off, others] = send_rounds(&nodes, cut, burst).await;
    println!("{cut} cut off ({mode:?}): {cut_off:?}, others {others:?}");
    assert!(cut_off.share() * 3.0 >= others.share() * 2.0);
    assert!(cut_off.is_within_bound());
    for link in &links {
        link.set_mode(LinkMode::Open).await;
    }
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let healed = send_rounds(&nodes, cut, burst).await;
    println!("{cut} back ({mode:?}): {healed:?}");
    assert!(healed[0].is_within_bound());
}

/// Guards against refusals at one node whose connections to all targets hang.
#[tokio::test]
async fn one_hanging_node_serves_its_callers() {
    play(1, LinkMode::Hang, 1).await;
}

/// Guards against refusals at the nodes of a data centre whose connections to targets are reset.
#[tokio::test]
async fn a_data_centre_whose_links_are_reset_serves_its_callers() {
    play(NODES / 2, LinkMode::Refuse, 1).await;
}

/// Guards against refusals at nodes whose open connections live on while new ones are refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nodes_that_open_no_new_connections_serve_their_callers() {
    // More requests at a time than open connections.
    play(NODES / 2, LinkMode::RefuseNew, 6).await;
}

/// Guards against refusals when a single node still reaches the targets.
#[tokio::test]
async fn the_last_node_with_links_serves_the_callers_of_all() {
    play(NODES - 1, LinkMode::Hang, 1).await;
}

/// Guards against a steward that keeps its role although it reaches none of its members.
#[tokio::test]
async fn a_steward_that_reaches_no_target_is_replaced() {
    let platform = FakePlatform::default();
    let targets = start_targets(&platform).await;
    let (own, links) = linked(&platform, &targets);
    let first = TestNode::start_on(own, "n1").await;
    first.settle().await;
    let second = TestNode::start_on(platform.clone(), "n2").await;
    tokio::time::sleep(SETTLE_TIME / 2).await;
    let holder = || platform.node_record("steward.dc-a").unwrap();
    assert!(holder().contains("\"n1-"), "{}", holder());
    for link in &links {
        link.set_mode(LinkMode::Hang).await;
    }
    let nodes = [first, second];
    let _counts = send_rounds(&nodes, 1, 1).await;
    assert!(holder().contains("\"n2-"), "{}", holder());
}
