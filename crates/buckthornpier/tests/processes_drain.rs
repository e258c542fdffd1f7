//! After SIGTERM, a node reports that it is not ready, completes its streams and exits with 0.

mod support;

#[tokio::test]
async fn a_draining_node_completes_its_streams() {
    let mut cluster = support::TestCluster::start(support::ClusterPlan::default()).await;
    let prompts: Vec<_> = (0..2).map(|turn| format!("under a drain {turn}")).collect();
    let mut calls = Vec::new();
    for prompt in &prompts {
        let call = cluster.nodes[0].complete(prompt).tokens(600).stream();
        calls.push(tokio::spawn(call.send_until_run()));
    }
    for prompt in &prompts {
        cluster.engine_running(prompt).await;
    }
    cluster.nodes[0].process.terminate();
    support::wait_for("node that is not ready", async || {
        (!cluster.nodes[0].is_ready().await).then_some(())
    })
    .await;
    let unfinished = calls.iter().filter(|call| !call.is_finished()).count();
    assert!(
        unfinished > 0,
        "all streams ended before the node was unready, so the test shows nothing"
    );
    for (prompt, call) in prompts.iter().zip(calls) {
        let outcome = call.await.unwrap();
        let expected = support::complete_answer(prompt, 600);
        assert_eq!(outcome.answer(), Some(expected.as_str()), "{outcome:?}");
    }
    let status = cluster.nodes[0].process.wait_for_exit().await;
    assert!(status.success(), "{status}");
    for (index, node) in cluster.nodes.iter().enumerate().skip(1) {
        let answer = node
            .complete(&format!("after a drain {index}"))
            .send()
            .await;
        assert!(answer.answer().is_some(), "{answer:?}");
    }
}

#[tokio::test]
async fn an_idle_caller_connection_does_not_delay_the_exit() {
    let plan = support::ClusterPlan {
        nodes: 1,
        ..support::ClusterPlan::default()
    };
    let mut cluster = support::TestCluster::start(plan).await;
    let client = support::client();
    let url = format!("http://{}/healthz", cluster.nodes[0].callers);
    assert_eq!(client.get(url).send().await.unwrap().status(), 200);
    cluster.nodes[0].process.terminate();
    let status = cluster.nodes[0].process.wait_for_exit().await;
    assert!(status.success(), "{status}");
    drop(client);
}
