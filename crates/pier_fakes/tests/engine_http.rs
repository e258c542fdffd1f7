//! Streamed answers, resuming and fencing over HTTP.

use pier_fakes::engine;
use serde_json::json;

async fn launch() -> engine::FakeEngine {
    let settings = engine::EngineSettings::new("vm-1".parse().unwrap());
    engine::FakeEngine::builder(settings)
        .launch()
        .await
        .unwrap()
}

async fn post(
    server: &engine::FakeEngine,
    path: &str,
    headers: &[(&str, &str)],
    body: &serde_json::Value,
) -> reqwest::Response {
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let mut request = client.post(format!("http://{}/{path}", server.address()));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.json(body).send().await.unwrap()
}

async fn load(server: &engine::FakeEngine, generation: u64) -> u16 {
    let order = json!({
        "kind": "load", "group": "mvd-a/1", "generation": generation, "rank": 0,
        "members": ["vm-1"], "model": "draft", "version": "1", "adapters": [],
        "role": "unified", "expires_in_ms": 1000,
    });
    post(server, "orders", &[], &order).await.status().as_u16()
}

#[tokio::test]
async fn a_resumed_stream_continues_the_same_answer() {
    let server = launch().await;
    assert_eq!(load(&server, 1).await, 200);
    let headers = [("X-Group", "mvd-a/1"), ("X-Generation", "1")];
    let body = json!({"model": "draft", "prompt": "A", "max_tokens": 4, "stream": true});
    let whole = post(&server, "v1/completions", &headers, &body).await;
    let whole = whole.text().await.unwrap();
    let resumed = [headers.as_slice(), &[("X-Resume-From", "2")]].concat();
    let rest = post(&server, "v1/completions", &resumed, &body).await;
    let rest = rest.text().await.unwrap();
    let events = |text: &str| -> Vec<serde_json::Value> {
        let lines = text.lines().filter_map(|line| line.strip_prefix("data: {"));
        lines
            .map(|line| serde_json::from_str(&format!("{{{line}")).unwrap())
            .collect()
    };
    let (whole_events, rest_events) = (events(&whole), events(&rest));
    assert_eq!(whole_events.len(), 4);
    assert_eq!(rest_events.len(), 2);
    assert_eq!(rest_events[0]["choices"], whole_events[2]["choices"]);
    assert_eq!(rest_events[1]["index"], 3);
    assert_eq!(rest_events[1]["finish_reason"], "stop");
    assert!(rest.ends_with("data: [DONE]\n\n"));
}

#[tokio::test]
async fn another_generation_is_refused_before_it_starts() {
    let server = launch().await;
    load(&server, 2).await;
    let headers = [("X-Group", "mvd-a/1"), ("X-Generation", "1")];
    let body = json!({"model": "draft", "prompt": "A"});
    let refused = post(&server, "v1/completions", &headers, &body).await;
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers()["X-Not-Started"], "1");
    assert_eq!(load(&server, 1).await, 409);
    assert!(!server.record().entries()[1].started);
}
