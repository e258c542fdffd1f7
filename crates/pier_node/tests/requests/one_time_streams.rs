//! A streamed request with a key runs at most once, and its complete answer is replayed.

use pier_fakes::fault;
use pier_node::{callers, requests};
use pier_types::times::clocks;

use crate::{streams, test_node};

fn with_key(mut request: callers::CallerRequest, unique: &str) -> callers::CallerRequest {
    let key = format!("{}-{unique}", clocks::wall_now());
    request.headers.insert("idempotency-key".to_owned(), key);
    request
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_with_a_key_runs_once_and_is_replayed_whole() {
    let bench = streams::StreamBench::launch(2).await;
    let request = test_node::completion(test_node::LARGE_KEY, "draft", true);
    let request = with_key(request, "stream_01");
    let first = bench.node.send(request.clone()).await;
    bench.node.wait_until_idle().await;
    let second = bench.node.send(request).await;
    assert_eq!(first.indexes(), streams::in_order());
    assert_eq!((first.status, &first.text), (second.status, &second.text));
    assert_eq!(bench.runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_with_a_key_is_never_resumed() {
    let bench = streams::StreamBench::launch(2).await;
    let broken = fault::FaultKind::HalfAnswer {
        tokens: 5,
        clean_end: true,
    };
    bench.set_fault(&broken, 1);
    let request = test_node::completion(test_node::LARGE_KEY, "draft", true);
    let request = with_key(request, "stream_02");
    let first = bench.node.send(request.clone()).await;
    bench.node.wait_until_idle().await;
    let second = bench.node.send(request).await;
    assert_eq!((first.code(), first.outcome().as_str()), (4004, "unknown"));
    assert_eq!(
        (second.code(), second.outcome().as_str()),
        (4006, "unknown")
    );
    assert_eq!(bench.runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_with_a_key_completes_when_its_caller_disconnects() {
    let bench = streams::StreamBench::launch(1).await;
    bench.engines[0].set_fault(fault::FaultSpec::new(fault::FaultKind::TokenTime {
        ms: 20,
    }));
    let request = test_node::completion(test_node::LARGE_KEY, "draft", true);
    let request = with_key(request, "stream_03");
    let path = requests::RequestPath::new(bench.node.handle.clone());
    let reply = path.serve(request.clone()).await;
    let callers::ReplyBody::Stream(mut parts) = reply.body else {
        panic!("no stream");
    };
    parts.recv().await.unwrap();
    drop(parts);
    bench.node.wait_until_idle().await;
    let answer = bench.node.send(request).await;
    assert_eq!(answer.indexes(), streams::in_order());
    assert!(answer.text.ends_with("data: [DONE]\n\n"));
    assert_eq!(bench.runs(), 1);
}
