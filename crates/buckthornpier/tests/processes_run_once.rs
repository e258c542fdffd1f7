//! One-time requests run at most once under every fault, and a request reported as not run did not
//! run.

mod support;

use pier_types::codes;
use serde_json::json;

/// Sends a charge with the same key through every node at once; returns the outcome at each caller.
async fn send_everywhere(
    cluster: &support::TestCluster,
    text: &str,
    key: &str,
) -> Vec<support::CallerOutcome> {
    let calls = cluster
        .nodes
        .iter()
        .map(|node| node.charge(text).idempotency_key(key));
    let calls: Vec<_> = calls.map(|call| tokio::spawn(call.send())).collect();
    let mut outcomes = Vec::new();
    for call in calls {
        outcomes.push(call.await.unwrap());
    }
    outcomes
}

/// Asserts that the runs of a charge agree with its callers' outcomes, and returns their number.
///
/// It ran at most once, not at all if every outcome is "not run", and once if any is an answer.
async fn assert_at_most_once(
    cluster: &support::TestCluster,
    text: &str,
    outcomes: &[support::CallerOutcome],
) -> usize {
    let runs = cluster.charges_of(text).await.len();
    assert!(runs <= 1, "{runs} runs of {text}: {outcomes:?}");
    let not_run = Some(codes::RunOutcome::NotRun);
    if outcomes
        .iter()
        .all(|outcome| outcome.run_outcome() == not_run)
    {
        assert_eq!(
            runs, 0,
            "{text} ran, but every caller was told that it did not"
        );
    }
    if outcomes.iter().any(|outcome| outcome.answer().is_some()) {
        assert_eq!(runs, 1, "{text} was answered but did not run");
    }
    runs
}

#[tokio::test]
async fn one_key_sent_through_every_node_at_once_runs_once() {
    let plan = support::ClusterPlan {
        call_ms: 50,
        ..support::ClusterPlan::default()
    };
    let cluster = support::TestCluster::start(plan).await;
    for turn in 0..5 {
        let text = format!("sent everywhere {turn}.");
        let key = support::fresh_key();
        let outcomes = send_everywhere(&cluster, &text, &key).await;
        assert_eq!(assert_at_most_once(&cluster, &text, &outcomes).await, 1);
        let first = outcomes.iter().find_map(support::CallerOutcome::answer);
        let again = cluster.nodes[turn % 3]
            .charge(&text)
            .idempotency_key(&key)
            .send()
            .await;
        assert_eq!(again.answer(), first, "{again:?}");
        assert!(first.is_some(), "{outcomes:?}");
        assert_at_most_once(&cluster, &text, &outcomes).await;
    }
}

#[tokio::test]
async fn a_lost_receipt_is_unknown_and_never_run_again() {
    let cluster = support::TestCluster::start(support::ClusterPlan::default()).await;
    for kind in ["effect-without-reply", "lose-request"] {
        for service in &cluster.services {
            let fault = json!({"kind": kind, "path": "charges", "method": "POST"});
            service.set_fault(fault).await;
        }
        let (text, key) = (format!("receipt lost by {kind}."), support::fresh_key());
        let mut outcomes = vec![
            cluster.nodes[0]
                .charge(&text)
                .idempotency_key(&key)
                .send()
                .await,
        ];
        for service in &cluster.services {
            service.clear_faults().await;
        }
        outcomes.extend(send_everywhere(&cluster, &text, &key).await);
        assert_at_most_once(&cluster, &text, &outcomes).await;
        for outcome in &outcomes {
            let run_outcome = outcome.run_outcome();
            assert_eq!(
                run_outcome,
                Some(codes::RunOutcome::Unknown),
                "{kind}: {outcome:?}"
            );
        }
    }
}

#[tokio::test]
async fn without_a_key_a_call_is_still_never_repeated() {
    let cluster = support::TestCluster::start(support::ClusterPlan::default()).await;
    for kind in ["effect-without-reply", "lose-request"] {
        let text = format!("no key, {kind}.");
        for service in &cluster.services {
            let fault = json!({"kind": kind, "path": "charges", "method": "POST"});
            service.set_fault(fault).await;
        }
        let outcome = cluster.nodes[0].charge(&text).send().await;
        for service in &cluster.services {
            service.clear_faults().await;
        }
        assert_eq!(outcome.run_outcome(), Some(codes::RunOutcome::Unknown));
        assert_at_most_once(&cluster, &text, &[outcome]).await;
    }
}

#[tokio::test]
async fn a_claim_whose_reply_is_lost_still_runs_once() {
    let cluster = support::TestCluster::start(support::ClusterPlan::default()).await;
    let lost = json!({"kind": "effect-without-reply", "method": "PUT", "path": "objects/claim",
        "count": 1});
    cluster.platform.set_fault(lost).await;
    let (text, key) = ("claim reply lost.", support::fresh_key());
    let outcome = cluster.nodes[0]
        .charge(text)
        .idempotency_key(&key)
        .send()
        .await;
    assert!(outcome.answer().is_some(), "{outcome:?}");
    let again = cluster.nodes[1]
        .charge(text)
        .idempotency_key(&key)
        .send()
        .await;
    assert_eq!(again, outcome);
    assert_at_most_once(&cluster, text, &[outcome, again]).await;
}

#[tokio::test]
async fn one_time_calls_are_not_run_and_others_succeed_while_the_platform_is_down() {
    let cluster = support::TestCluster::start(support::ClusterPlan::default()).await;
    cluster.platform.set_fault(json!({"kind": "down"})).await;
    let (text, key) = ("platform down.", support::fresh_key());
    for (index, node) in cluster.nodes.iter().enumerate() {
        let outcome = node.charge(text).idempotency_key(&key).send().await;
        let failure = outcome.failure().unwrap_or_else(|| panic!("{outcome:?}"));
        assert_eq!(failure.outcome, codes::RunOutcome::NotRun);
        let prompt = format!("platform down {index}");
        let answer = node.complete(&prompt).tokens(4).stream().send().await;
        let expected = support::complete_answer(&prompt, 4);
        assert_eq!(answer.answer(), Some(expected.as_str()), "{answer:?}");
    }
    assert_eq!(cluster.charges_of(text).await, []);
    cluster.platform.clear_faults().await;
    support::wait_for("one-time call after the outage", async || {
        let outcome = cluster.nodes[0]
            .charge(text)
            .idempotency_key(&key)
            .send()
            .await;
        outcome.answer().is_some().then_some(())
    })
    .await;
    assert_eq!(cluster.charges_of(text).await.len(), 1);
}

#[tokio::test]
async fn a_key_whose_node_was_killed_in_the_run_is_never_run_again() {
    let plan = support::ClusterPlan {
        call_ms: 300,
        ..support::ClusterPlan::default()
    };
    let mut cluster = support::TestCluster::start(plan).await;
    let (text, key) = ("node killed.", support::fresh_key());
    let first = tokio::spawn(cluster.nodes[0].charge(text).idempotency_key(&key).send());
    support::wait_for("run of the charge", async || {
        (!cluster.charges_of(text).await.is_empty()).then_some(())
    })
    .await;
    cluster.nodes[0].process.kill();
    cluster.nodes.remove(0);
    assert_eq!(first.await.unwrap(), support::CallerOutcome::ConnectionLost);
    let outcomes = send_everywhere(&cluster, text, &key).await;
    assert_eq!(assert_at_most_once(&cluster, text, &outcomes).await, 1);
    for outcome in &outcomes {
        let run_outcome = outcome.run_outcome();
        assert_eq!(run_outcome, Some(codes::RunOutcome::Unknown), "{outcome:?}");
    }
}

#[tokio::test]
async fn a_node_that_is_frozen_during_its_claim_and_resumed_late_runs_nothing_twice() {
    let cluster = support::TestCluster::start(support::ClusterPlan::default()).await;
    let slow = json!({"kind": "slow", "ms": 300, "method": "PUT", "path": "objects/claim",
        "count": 1});
    cluster.platform.set_fault(slow).await;
    let (text, key) = ("node frozen.", support::fresh_key());
    let first = tokio::spawn(cluster.nodes[0].charge(text).idempotency_key(&key).send());
    support::wait_for("claim on its way", async || {
        let entries = cluster.platform.record().await;
        let claims =
            |entry: &pier_fakes::record::RecordEntry| entry.path.starts_with("objects/claim");
        entries.iter().any(claims).then_some(())
    })
    .await;
    cluster.nodes[0].process.freeze();
    let second = cluster.nodes[1]
        .charge(text)
        .idempotency_key(&key)
        .send()
        .await;
    cluster.nodes[0].process.thaw();
    let outcomes = [first.await.unwrap(), second];
    assert_at_most_once(&cluster, text, &outcomes).await;
    let again = send_everywhere(&cluster, text, &key).await;
    assert_at_most_once(&cluster, text, &again).await;
}

#[tokio::test]
async fn while_the_platform_is_frozen_a_one_time_call_is_not_run_and_stays_so() {
    let cluster = support::TestCluster::start(support::ClusterPlan::default()).await;
    cluster.platform.process.freeze();
    let (text, key) = ("platform frozen.", support::fresh_key());
    let refused = cluster.nodes[0]
        .charge(text)
        .idempotency_key(&key)
        .send()
        .await;
    let prompt = "platform frozen under a draft";
    let answer = cluster.nodes[1].complete(prompt).tokens(4).send().await;
    cluster.platform.process.thaw();
    assert_eq!(
        refused.run_outcome(),
        Some(codes::RunOutcome::NotRun),
        "{refused:?}"
    );
    let expected = support::complete_answer(prompt, 4);
    assert_eq!(answer.answer(), Some(expected.as_str()), "{answer:?}");
    assert_eq!(cluster.charges_of(text).await, []);
    let again = send_everywhere(&cluster, text, &key).await;
    assert_at_most_once(&cluster, text, &again).await;
}
