//! Callers of nodes that lost their links to all targets are served by way of other nodes.

use std::{sync, time};

use pier_fakes::{engine, fault, platform, service};
use pier_node::callers;
use tokio::task;

use crate::{
    cut_link::{CutLink, LinkMode},
    forwards, test_node,
};

/// Time from the beginning of a cut from which the first tries are counted, and how long.
const CONTACT_TIME: time::Duration = time::Duration::from_secs(3);
const COUNTED_TIME: time::Duration = time::Duration::from_secs(3);

/// Time after the end of a cut by which a node uses its own links again.
const RETURN_TIME: time::Duration = time::Duration::from_secs(2);

/// Time after which it is decided whether a target that closed a connection crashed.
const MARK_TIME: time::Duration = time::Duration::from_secs(2);

/// Makes a stream of a dozen tokens last for half a second.
const SLOW_TOKENS: fault::FaultKind = fault::FaultKind::TokenTime { ms: 40 };

/// Time between two requests to one node.
const SEND_PERIOD: time::Duration = time::Duration::from_millis(50);

/// Time between two tables, and between two reports of the targets that peers deliver.
const PUBLISH_PERIOD: time::Duration = time::Duration::from_millis(200);

/// Deadline that the callers set.
const DEADLINE_MILLIS: u64 = 4_000;

/// Nodes and targets of each data centre.
const NODES: usize = 3;
const TARGETS: usize = 2;

/// Failed first tries that are always allowed, and one more for each so many of all first tries.
const FREE_FAILURES: usize = 10;
const SENT_PER_FAILURE: usize = 50;

/// Result code of a request that is held back as crashing.
const QUARANTINED: u64 = 2006;

/// The nodes that are cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CutNodes {
    First,
    FirstTwo,
    AllOfOneDataCentre,
}

impl CutNodes {
    const fn count(self) -> usize {
        match self {
            Self::First => 1,
            Self::FirstTwo => 2,
            Self::AllOfOneDataCentre => NODES,
        }
    }

    /// Returns the number of nodes that are not cut off.
    const fn other_count(self) -> usize {
        match self {
            Self::First | Self::FirstTwo => NODES - self.count(),
            Self::AllOfOneDataCentre => NODES,
        }
    }
}

/// A node and its links to the targets of its data centre.
struct LinkedNode {
    node: sync::Arc<test_node::TestNode>,
    links: Vec<CutLink>,
    publisher: task::JoinHandle<()>,
}

impl LinkedNode {
    async fn launch(platform: &platform::FakePlatform, centre: &TargetCentre) -> Self {
        let node = sync::Arc::new(test_node::TestNode::launch(platform.address()));
        let (mut links, mut targets) = (Vec::new(), Vec::new());
        for (name, address) in centre.addresses() {
            let link = CutLink::launch(address).await;
            targets.push(test_node::target(&name, link.address));
            links.push(link);
        }
        let publishing = sync::Arc::clone(&node);
        publishing.publish_once(&targets);
        let publisher = tokio::spawn(async move {
            loop {
                tokio::time::sleep(PUBLISH_PERIOD).await;
                publishing.publish_once(&targets);
            }
        });
        Self {
            node,
            links,
            publisher,
        }
    }

    fn set_links(&self, mode: LinkMode) {
        for link in &self.links {
            link.set(mode);
        }
    }

    /// Sends requests of all kinds for a time; returns how many were sent and served.
    async fn send_for(&self, time: time::Duration) -> SentCount {
        let started = time::Instant::now();
        let mut sends = task::JoinSet::new();
        for number in 0.. {
            if started.elapsed() >= time {
                break;
            }
            let (node, request) = (sync::Arc::clone(&self.node), request(number));
            sends.spawn(async move { node.send(request).await });
            tokio::time::sleep(SEND_PERIOD).await;
        }
        let mut count = SentCount::default();
        while let Some(answer) = sends.join_next().await {
            let answer = answer.unwrap();
            let is_served = answer.status == 200 && answer.code() == 0;
            count.sent += 1;
            count.served += usize::from(is_served);
            count.held_back += usize::from(answer.code() == QUARANTINED);
            if !is_served && count.sent - count.served <= 3 {
                eprintln!("{} {}", answer.status, answer.text.trim_end());
            }
        }
        count
    }
}

impl Drop for LinkedNode {
    fn drop(&mut self) {
        self.publisher.abort();
    }
}

/// The first tries at some nodes.
#[derive(Debug, Clone, Copy, Default)]
struct SentCount {
    sent: usize,
    served: usize,
    /// Those that were held back as crashing.
    held_back: usize,
}

impl SentCount {
    fn sum(counts: &[Self]) -> Self {
        Self {
            sent: counts.iter().map(|count| count.sent).sum(),
            served: counts.iter().map(|count| count.served).sum(),
            held_back: counts.iter().map(|count| count.held_back).sum(),
        }
    }
}

/// The targets of one data centre.
struct TargetCentre {
    engines: Vec<engine::FakeEngine>,
    ledgers: Vec<service::FakeService>,
}

impl TargetCentre {
    async fn launch(centre: &str) -> Self {
        let (mut engines, mut ledgers) = (Vec::new(), Vec::new());
        for number in 0..TARGETS {
            engines.push(test_node::launch_engine(&format!("vm-{centre}-{number}")).await);
            ledgers.push(test_node::launch_ledger(&format!("ledger-{centre}-{number}")).await);
        }
        Self { engines, ledgers }
    }

    fn addresses(&self) -> Vec<(String, std::net::SocketAddr)> {
        let engines = self.engines.iter().map(engine::FakeEngine::address);
        let ledgers = self.ledgers.iter().map(service::FakeService::address);
        let engines = engines
            .enumerate()
            .map(|(n, address)| (format!("vm-{n}"), address));
        let ledgers = ledgers
            .enumerate()
            .map(|(n, address)| (format!("ledger-{n}"), address));
        engines.chain(ledgers).collect()
    }
}

/// Two data centres whose nodes know one another.
struct CutBench {
    local: Vec<LinkedNode>,
    remote: Vec<LinkedNode>,
    _platform: platform::FakePlatform,
    targets: [TargetCentre; 2],
}

impl CutBench {
    /// Starts the nodes; only if `all_of_one` is set can nodes of the other data centre help.
    async fn launch(cut: CutNodes) -> Self {
        let platform = test_node::launch_platform().await;
        let targets = [
            TargetCentre::launch("a").await,
            TargetCentre::launch("b").await,
        ];
        let (mut local, mut remote, mut peers) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..NODES {
            local.push(LinkedNode::launch(&platform, &targets[0]).await);
            if cut == CutNodes::AllOfOneDataCentre {
                remote.push(LinkedNode::launch(&platform, &targets[1]).await);
            }
        }
        for (number, linked) in local.iter().enumerate() {
            let mut peer = forwards::listen(&linked.node, "mvd-a").await;
            peer.node = format!("node-a-{number}").parse().unwrap();
            peers.push(peer);
        }
        for (number, linked) in remote.iter().enumerate() {
            let mut peer = forwards::listen(&linked.node, "mvd-b").await;
            peer.node = format!("node-b-{number}").parse().unwrap();
            peers.push(peer);
        }
        for (number, linked) in local.iter().enumerate() {
            let mut others = peers.clone();
            others.remove(number);
            linked.node.handle.publish_peers(others);
        }
        Self {
            local,
            remote,
            _platform: platform,
            targets,
        }
    }

    /// Sends to all nodes for a time; returns the counts of the cut nodes and of the others.
    async fn send_for(&self, cut: CutNodes, time: time::Duration) -> (SentCount, SentCount) {
        let nodes = self.local.iter().chain(&self.remote);
        let nodes = nodes.take(cut.count() + cut.other_count());
        let sends = nodes.map(|linked| linked.send_for(time));
        let counts = futures_util::future::join_all(sends).await;
        let (cut, others) = counts.split_at(cut.count());
        (SentCount::sum(cut), SentCount::sum(others))
    }

    fn cut(&self, cut: CutNodes, mode: LinkMode) {
        for linked in &self.local[..cut.count()] {
            linked.set_links(mode);
        }
    }

    /// Returns how many requests the nodes hold for crashes of targets.
    fn crash_marks(&self) -> usize {
        let nodes = self.local.iter().chain(&self.remote);
        let marks = nodes.map(|linked| linked.node.handle.requests().crash_delta(1_000));
        marks.map(|delta| delta.marks.len()).sum()
    }
}

/// Returns a repeatable stream, a repeatable call, one that may run once, and one with a key.
fn request(number: usize) -> callers::CallerRequest {
    let key = test_node::LARGE_KEY;
    let mut request = match number % 4 {
        0 => test_node::completion(key, "a usual prompt", true),
        1 => test_node::request(key, "GET", "/services/libro/balances", ""),
        2 => test_node::request(key, "POST", "/services/libro/notes", "{}"),
        _ => test_node::charge(&uuid::Uuid::new_v4().simple().to_string()),
    };
    let deadline = DEADLINE_MILLIS.to_string();
    request.headers.insert("x-deadline-ms".to_owned(), deadline);
    request
}

/// Cuts nodes off, counts first tries, ends the cut and looks at what the nodes do then.
async fn check(cut: CutNodes, mode: LinkMode) {
    let bench = CutBench::launch(cut).await;
    let (_cut, _others) = bench.send_for(cut, time::Duration::from_secs(1)).await;
    bench.cut(cut, mode);
    let before = bench.send_for(cut, CONTACT_TIME);
    let counted = async {
        tokio::time::sleep(CONTACT_TIME).await;
        bench.send_for(cut, COUNTED_TIME).await
    };
    let ((early, _), (at_cut, at_others)) = tokio::join!(before, counted);
    eprintln!("{cut:?} {mode:?}: early {early:?}, cut {at_cut:?}, others {at_others:?}");
    let failed = at_cut.sent - at_cut.served;
    let allowed = FREE_FAILURES + (at_cut.sent + at_others.sent) / SENT_PER_FAILURE;
    let is_less = at_cut.served * at_others.sent * 3 < at_others.served * at_cut.sent * 2;
    assert!(
        !is_less || failed <= allowed,
        "{cut:?} {mode:?}: cut {at_cut:?}, others {at_others:?}"
    );
    bench.cut(cut, LinkMode::Open);
    tokio::time::sleep(RETURN_TIME).await;
    for linked in &bench.local {
        linked.node.handle.publish_peers(Vec::new());
    }
    let (healed, _) = bench.send_for(cut, time::Duration::from_secs(1)).await;
    assert_eq!(
        healed.served, healed.sent,
        "after the end: {cut:?} {mode:?}"
    );
}

/// Guards against callers that are refused because their node alone reaches no target.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_node_whose_connections_hang_are_served() {
    check(CutNodes::First, LinkMode::Hang).await;
}

/// Guards against callers that are refused because their node alone reaches no target.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_node_whose_connections_are_refused_are_served() {
    check(CutNodes::First, LinkMode::Refuse).await;
}

/// Guards against requests that are taken for crashing because a link resets their connections.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_node_whose_connections_are_reset_are_served() {
    check(CutNodes::First, LinkMode::Reset).await;
}

/// Guards against a node that believes its links sound because old connections live on.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_node_whose_new_connections_are_refused_are_served() {
    check(CutNodes::First, LinkMode::RefuseNew).await;
}

/// Guards against requests that are passed on only to a node that is cut off as well.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_two_nodes_of_three_whose_connections_hang_are_served() {
    check(CutNodes::FirstTwo, LinkMode::Hang).await;
}

/// Guards against requests that are passed on only to a node that is cut off as well.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_two_nodes_of_three_whose_connections_are_refused_are_served() {
    check(CutNodes::FirstTwo, LinkMode::Refuse).await;
}

/// Guards against requests that do not reach another data centre while all of their own is cut off.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_data_centre_whose_connections_hang_are_served() {
    check(CutNodes::AllOfOneDataCentre, LinkMode::Hang).await;
}

/// Guards against requests that do not reach another data centre while all of their own is cut off.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_data_centre_whose_connections_are_refused_are_served() {
    check(CutNodes::AllOfOneDataCentre, LinkMode::Refuse).await;
}

/// Cuts a node off and looks for requests that are taken for crashing by then.
async fn check_marks(mode: LinkMode) {
    let cut = CutNodes::First;
    let bench = CutBench::launch(cut).await;
    for engine in &bench.targets[0].engines {
        engine.set_fault(fault::FaultSpec::new(SLOW_TOKENS));
    }
    let (at_cut, ()) = tokio::join!(
        bench.send_for(cut, time::Duration::from_secs(1) + CONTACT_TIME + MARK_TIME),
        async {
            // Streams are in flight by then.
            tokio::time::sleep(time::Duration::from_secs(1)).await;
            bench.cut(cut, mode);
        }
    );
    let (at_cut, _others) = at_cut;
    bench.cut(cut, LinkMode::Open);
    let (healed, _) = bench.send_for(cut, time::Duration::from_secs(1)).await;
    let held_back = (at_cut.held_back, healed.held_back);
    assert_eq!((bench.crash_marks(), held_back), (0, (0, 0)), "{mode:?}");
}

/// Guards against connections that a cut link refuses and that are counted as crashes.
#[tokio::test(flavor = "multi_thread")]
async fn refused_connections_of_a_cut_off_node_are_no_crashes() {
    check_marks(LinkMode::Refuse).await;
}

/// Guards against connections that a cut link resets and that are counted as crashes.
#[tokio::test(flavor = "multi_thread")]
async fn reset_connections_of_a_cut_off_node_are_no_crashes() {
    check_marks(LinkMode::Reset).await;
}
