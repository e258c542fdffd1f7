//! A request as a caller sends it.

use std::net;

use pier_types::codes;
use serde_json::json;

use crate::support;

/// A request that is not sent yet.
#[derive(Debug)]
pub struct CallerCall {
    request: reqwest::RequestBuilder,
    body: serde_json::Value,
    bearer: &'static str,
}

impl CallerCall {
    /// Creates a completion request of a customer that allows completions to be repeated.
    pub fn completion(node: net::SocketAddr, prompt: &str) -> Self {
        let url = format!("http://{node}/v1/completions");
        Self {
            request: support::client().post(url),
            body: json!({"model": support::MODEL, "prompt": prompt}),
            bearer: support::REPEAT_KEY,
        }
    }

    /// Creates a request that posts a charge.
    pub fn charge(node: net::SocketAddr, text: &str) -> Self {
        let url = format!("http://{node}/services/{}/charges", support::SERVICE);
        Self {
            request: support::client().post(url),
            body: json!({"charge": text}),
            bearer: support::REPEAT_KEY,
        }
    }

    /// Sets the number of tokens to generate.
    #[must_use]
    pub fn tokens(mut self, count: u64) -> Self {
        self.body["max_tokens"] = json!(count);
        self
    }

    /// Requests a streamed answer.
    #[must_use]
    pub fn stream(mut self) -> Self {
        self.body["stream"] = json!(true);
        self
    }

    /// Sets the customer's bearer key.
    #[must_use]
    pub fn bearer(mut self, bearer: &'static str) -> Self {
        self.bearer = bearer;
        self
    }

    /// Sets the idempotency key, which makes the request one-time.
    #[must_use]
    pub fn idempotency_key(mut self, key: &str) -> Self {
        self.request = self.request.header("Idempotency-Key", key);
        self
    }

    /// Sets the caller's deadline, in milliseconds.
    #[must_use]
    pub fn deadline(mut self, millis: u64) -> Self {
        self.request = self.request.header("X-Deadline-Ms", millis);
        self
    }

    /// Sends the request and repeats it for as long as the outcome is "not run", as callers may.
    pub async fn send_until_run(self) -> support::CallerOutcome {
        let call = &self;
        support::wait_for("outcome other than a refusal", async || {
            let again = Self {
                request: call.request.try_clone()?,
                body: call.body.clone(),
                bearer: call.bearer,
            };
            let outcome = again.send().await;
            let refused = outcome.run_outcome() == Some(codes::RunOutcome::NotRun);
            (!refused).then_some(outcome)
        })
        .await
    }

    /// Sends the request and reads the answer to its end.
    pub async fn send(self) -> support::CallerOutcome {
        let request = self.request.bearer_auth(self.bearer).json(&self.body);
        let Ok(answer) = request.send().await else {
            return support::CallerOutcome::ConnectionLost;
        };
        let status = answer.status().as_u16();
        match answer.text().await {
            Ok(text) => support::CallerOutcome::read(status, &text),
            Err(_broken) => support::CallerOutcome::ConnectionLost,
        }
    }
}
