//! One-time requests run at most once, whatever faults the platform and the ledger have.

use pier_fakes::{fault, platform, service};
use pier_node::callers;

use crate::{dropping_target, test_node};

struct OneTimeBench {
    platform: platform::FakePlatform,
    ledger: service::FakeService,
    nodes: [test_node::TestNode; 2],
}

impl OneTimeBench {
    async fn launch() -> Self {
        let platform = test_node::launch_platform().await;
        let ledger = test_node::launch_ledger("ledger-1").await;
        let nodes = [(); 2].map(|()| {
            let node = test_node::TestNode::launch(platform.address());
            node.publish(vec![test_node::target("ledger-1", ledger.address())]);
            node
        });
        Self {
            platform,
            ledger,
            nodes,
        }
    }

    /// Replaces the ledger by a target that receives requests and never answers.
    async fn drop_ledger_connections(&self) -> dropping_target::DroppingTarget {
        let dropping = dropping_target::DroppingTarget::launch().await;
        for node in &self.nodes {
            node.publish(vec![test_node::target("ledger-1", dropping.address)]);
        }
        dropping
    }

    /// Sends a charge through each node in turn and returns the answers.
    async fn send_twice(&self, charge: &callers::CallerRequest) -> [test_node::TestAnswer; 2] {
        let first = self.nodes[0].send(charge.clone()).await;
        self.nodes[0].wait_until_idle().await;
        let second = self.nodes[1].send(charge.clone()).await;
        self.nodes[1].wait_until_idle().await;
        [first, second]
    }

    fn runs(&self) -> usize {
        let entries = self.ledger.record().entries();
        entries.iter().filter(|entry| entry.started).count()
    }
}

fn on_claims(kind: fault::FaultKind, method: &str, count: u32) -> fault::FaultSpec {
    fault::FaultSpec {
        kind,
        count: Some(count),
        method: Some(method.to_owned()),
        path: Some("objects/claim".to_owned()),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_sent_again_through_another_node_gets_the_stored_answer() {
    let bench = OneTimeBench::launch().await;
    let [first, second] = bench.send_twice(&test_node::charge("charge_01")).await;
    assert_eq!((first.status, second.status), (200, 200));
    assert_eq!(first.text, second.text);
    assert_eq!(bench.runs(), 1);
    let other = bench.nodes[0].send(test_node::charge("charge_02")).await;
    assert_eq!(other.receipt(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_with_one_key_run_once() {
    let bench = OneTimeBench::launch().await;
    let charge = test_node::charge("charge_03");
    let sends = (0..8).map(|number| bench.nodes[number % 2].send(charge.clone()));
    let answers = futures_util::future::join_all(sends).await;
    assert_eq!(bench.runs(), 1);
    let whole = answers.iter().filter(|answer| answer.status == 200);
    assert!(whole.count() >= 1);
    for answer in answers.iter().filter(|answer| answer.status != 200) {
        assert_eq!(
            (answer.code(), answer.outcome().as_str()),
            (4007, "unknown")
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_reply_of_the_platform_is_resolved_by_reading_back() {
    let kinds = [
        fault::FaultKind::EffectWithoutReply,
        fault::FaultKind::LoseRequest,
    ];
    for kind in kinds {
        let bench = OneTimeBench::launch().await;
        bench.platform.set_fault(on_claims(kind, "PUT", 1));
        let [first, second] = bench.send_twice(&test_node::charge("charge_04")).await;
        assert_eq!(first.status, 200, "{}", first.text);
        assert_eq!(first.text, second.text);
        assert_eq!(bench.runs(), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_of_the_ledger_is_unknown_and_never_repeated() {
    let bench = OneTimeBench::launch().await;
    let dropping = bench.drop_ledger_connections().await;
    let [first, second] = bench.send_twice(&test_node::charge("charge_05")).await;
    assert_eq!((first.code(), first.outcome().as_str()), (4002, "unknown"));
    assert_eq!(
        (second.code(), second.outcome().as_str()),
        (4006, "unknown")
    );
    assert_eq!(dropping.received(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_with_the_outcome_not_run_releases_the_key() {
    let bench = OneTimeBench::launch().await;
    let refusing = fault::FaultKind::Error {
        status: 503,
        not_started: true,
    };
    bench
        .ledger
        .set_fault(fault::FaultSpec::new(refusing).count(1));
    let [first, second] = bench.send_twice(&test_node::charge("charge_06")).await;
    assert_eq!((first.code(), first.outcome().as_str()), (4001, "not-run"));
    assert_eq!((second.status, second.receipt()), (200, 1));
    assert_eq!(bench.runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_platform_one_time_requests_are_refused_and_others_served() {
    let bench = OneTimeBench::launch().await;
    let down = fault::FaultKind::Down { for_ms: None };
    bench.platform.set_fault(fault::FaultSpec::new(down));
    let refused = bench.nodes[0].send(test_node::charge("charge_07")).await;
    assert_eq!(
        (refused.code(), refused.outcome().as_str()),
        (3001, "not-run")
    );
    assert_eq!(bench.runs(), 0);
    let balance = test_node::request(test_node::LARGE_KEY, "GET", "/services/libro/balance", "");
    assert_eq!(bench.nodes[0].send(balance).await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn another_request_under_the_same_key_is_refused() {
    let bench = OneTimeBench::launch().await;
    let charge = test_node::charge("charge_08");
    let mut other = charge.clone();
    other.body = bytes::Bytes::from_static(b"{\"cabinet\":8}");
    assert_eq!(bench.nodes[0].send(charge).await.status, 200);
    bench.nodes[0].wait_until_idle().await;
    let refused = bench.nodes[1].send(other).await;
    assert_eq!(
        (refused.code(), refused.outcome().as_str()),
        (1010, "not-run")
    );
    assert_eq!(bench.runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_outcome_is_recorded_for_a_caller_that_disconnects() {
    let bench = OneTimeBench::launch().await;
    let slow = fault::FaultSpec::new(fault::FaultKind::Slow { ms: 200 });
    bench.ledger.set_fault(slow.count(1));
    let charge = test_node::charge("charge_09");
    let wait = std::time::Duration::from_millis(50);
    let left = tokio::time::timeout(wait, bench.nodes[0].send(charge.clone())).await;
    assert!(left.is_err());
    bench.nodes[0].wait_until_idle().await;
    let answer = bench.nodes[1].send(charge).await;
    assert_eq!((answer.status, answer.receipt()), (200, 1));
    assert_eq!(bench.runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_non_repeatable_request_without_a_key_is_not_repeated() {
    let bench = OneTimeBench::launch().await;
    let dropping = bench.drop_ledger_connections().await;
    let post = test_node::request(test_node::LARGE_KEY, "POST", "/services/libro/charges", "1");
    let answer = bench.nodes[0].send(post).await;
    assert_eq!(
        (answer.code(), answer.outcome().as_str()),
        (4002, "unknown")
    );
    assert_eq!(dropping.received(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeatable_request_stays_within_the_limit_of_attempts() {
    let bench = OneTimeBench::launch().await;
    let dropping = bench.drop_ledger_connections().await;
    let get = test_node::request(test_node::LARGE_KEY, "GET", "/services/libro/balance", "");
    let answer = bench.nodes[0].send(get).await;
    assert_eq!(
        (answer.code(), answer.outcome().as_str()),
        (4002, "unknown")
    );
    assert!(
        (2..=3).contains(&dropping.received()),
        "{}",
        dropping.received()
    );
}
