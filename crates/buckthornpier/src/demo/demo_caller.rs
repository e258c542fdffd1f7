//! The client that sends the demonstration's requests.

use std::net;

use serde_json::{Value, json};

use crate::demo::{self, demo_document};

/// Number of tokens requested for each answer.
const ANSWER_TOKENS: u64 = 12;

/// Sends requests to nodes.
#[derive(Debug)]
pub(super) struct DemoCaller {
    client: reqwest::Client,
}

impl DemoCaller {
    /// Creates a caller whose HTTP client uses no proxy and does not retry.
    pub(super) fn new() -> anyhow::Result<Self> {
        let builder = reqwest::Client::builder().no_proxy();
        let client = builder.retry(reqwest::retry::never()).build()?;
        Ok(Self { client })
    }

    /// Sends a chat completion request.
    pub(super) async fn chat(
        &self,
        node: net::SocketAddr,
        model: &str,
        prompt: &str,
        stream: bool,
    ) -> anyhow::Result<demo::DemoAnswer> {
        let body = json!({
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": ANSWER_TOKENS,
            "stream": stream,
        });
        let url = format!("http://{node}/v1/chat/completions");
        self.send(self.client.post(url), &body).await
    }

    /// Posts a charge, a one-time request that may run at most once for its idempotency key.
    pub(super) async fn charge(
        &self,
        node: net::SocketAddr,
        key: &str,
    ) -> anyhow::Result<demo::DemoAnswer> {
        let service = demo_document::SERVICE;
        let url = format!("http://{node}/services/{service}/charges");
        let request = self.client.post(url).header("Idempotency-Key", key);
        self.send(request, &json!({"cabinet": 7, "kwh": 412})).await
    }

    async fn send(
        &self,
        request: reqwest::RequestBuilder,
        body: &Value,
    ) -> anyhow::Result<demo::DemoAnswer> {
        let request = request.bearer_auth(demo_document::CALLER_KEY).json(body);
        let answer = request.send().await?;
        let status = answer.status().as_u16();
        Ok(demo::DemoAnswer::read(status, &answer.text().await?))
    }
}
