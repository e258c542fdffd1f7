//! Every node returns complete answers and the right refusals; each part runs as a process.

mod support;

use pier_types::codes;

#[tokio::test]
async fn every_node_gives_each_caller_its_own_whole_answer() {
    let cluster = support::TestCluster::start(support::ClusterPlan::default()).await;
    let mut calls = Vec::new();
    for (index, node) in cluster.nodes.iter().enumerate() {
        for turn in 0..4 {
            let prompt = format!("own answer {index} {turn}");
            let call = node.complete(&prompt).tokens(8);
            let call = if turn % 2 == 0 { call.stream() } else { call };
            calls.push((prompt, tokio::spawn(call.send_until_run())));
        }
    }
    for (prompt, call) in calls {
        let outcome = call.await.unwrap();
        let expected = support::complete_answer(&prompt, 8);
        assert_eq!(outcome.answer(), Some(expected.as_str()), "{outcome:?}");
        assert_eq!(cluster.runs_of(&prompt).await.len(), 1);
    }
}

#[tokio::test]
async fn requests_refused_as_not_run_did_not_run() {
    let cluster = support::TestCluster::start(support::ClusterPlan::default()).await;
    let node = &cluster.nodes[0];
    let unknown_customer = node.complete("asked by a stranger").bearer("no such key");
    let bad_key = node
        .charge("with a bad key")
        .idempotency_key("no-time-in-it");
    let old_key = node
        .charge("with an old key")
        .idempotency_key("1000000000000-old_key_1");
    let cases = [
        (unknown_customer, codes::ResultCode::UnknownCustomer),
        (bad_key, codes::ResultCode::MalformedKey),
        (old_key, codes::ResultCode::ExpiredKey),
    ];
    for (call, code) in cases {
        let outcome = call.send().await;
        let failure = outcome
            .failure()
            .unwrap_or_else(|| panic!("{code:?}: {outcome:?}"));
        assert_eq!(failure.code, code);
        assert_eq!(failure.outcome, codes::RunOutcome::NotRun);
    }
    assert_eq!(cluster.runs_of("by a stranger").await, []);
    assert_eq!(cluster.charges_of("with a").await, []);
}
