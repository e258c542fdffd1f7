//! Sends calls and takes their time.

use std::{sync, sync::atomic, time};

use futures_util::StreamExt as _;

/// Greatest time that is told apart, in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Time before a call is sent again that found no room.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Sends calls to one address.
#[derive(Debug, Clone)]
pub struct LoadClient {
    client: reqwest::Client,
    url: String,
    group: (String, String),
    refusals: sync::Arc<atomic::AtomicUsize>,
}

impl LoadClient {
    /// Makes a run against the completions route of an address.
    pub fn new(address: &str) -> Self {
        Self {
            client: reqwest::Client::new(),
            url: format!("http://{address}/v1/completions"),
            group: <(String, String)>::default(),
            refusals: sync::Arc::default(),
        }
    }

    /// Sets the group and the fencing number that an engine asks for.
    pub fn group(mut self, group: String, generation: String) -> Self {
        self.group = (group, generation);
        self
    }

    /// Returns how many calls were refused for want of room since the last look.
    pub fn take_refusals(&self) -> usize {
        self.refusals.swap(0, atomic::Ordering::Relaxed)
    }

    /// Sends calls one after the other; returns their times in microseconds.
    ///
    /// # Errors
    ///
    /// Fails when a call is not answered with success.
    pub async fn calls(
        &self,
        calls: usize,
        tokens: usize,
    ) -> anyhow::Result<hdrhistogram::Histogram<u64>> {
        let mut times = hdrhistogram::Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3)?;
        for number in 0..calls {
            let started = time::Instant::now();
            let answer = self.send(number, tokens, false).await?;
            answer.bytes().await?;
            times.saturating_record(u64::try_from(started.elapsed().as_micros())?);
        }
        Ok(times)
    }

    /// Reads streams one after the other to their end marks.
    ///
    /// # Errors
    ///
    /// Fails when a stream has no end mark.
    pub async fn streams(&self, streams: usize, tokens: usize) -> anyhow::Result<()> {
        for number in 0..streams {
            let mut parts = self.send(number, tokens, true).await?.bytes_stream();
            let mut last = bytes::Bytes::new();
            while let Some(part) = parts.next().await {
                last = part?;
            }
            let marked = last.ends_with(b"[DONE]\n\n");
            anyhow::ensure!(marked, "a stream ended without its mark: {last:?}");
        }
        Ok(())
    }

    /// Sends a call; a refusal for want of room is followed by another try, as the node asks.
    async fn send(
        &self,
        number: usize,
        tokens: usize,
        stream: bool,
    ) -> anyhow::Result<reqwest::Response> {
        let body = serde_json::json!({
            "model": "drafter", "prompt": format!("call {number}"), "max_tokens": tokens, "stream": stream
        });
        loop {
            let sending = self.client.post(&self.url).json(&body);
            let sending = sending.bearer_auth("sample-key-strathmore");
            let sending = sending.header("x-group", &self.group.0);
            let sending = sending.header("x-generation", &self.group.1);
            let answer = sending.send().await?;
            let status = answer.status();
            if status.is_success() {
                return Ok(answer);
            }
            let full = status == reqwest::StatusCode::TOO_MANY_REQUESTS;
            anyhow::ensure!(full, "{status}: {}", answer.text().await?);
            self.refusals.fetch_add(1, atomic::Ordering::Relaxed);
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}
