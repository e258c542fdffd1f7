//! Sends calls and measures their latency.

use std::{sync, sync::atomic, time};

use futures_util::StreamExt as _;

/// Largest latency that the histogram holds, in microseconds; longer ones count as this.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Delay before a call that was refused with 429 is sent again.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Sends completion calls to one address.
#[derive(Debug, Clone)]
pub struct LoadClient {
    client: reqwest::Client,
    url: String,
    group: (String, String),
    refusals: sync::Arc<atomic::AtomicUsize>,
}

impl LoadClient {
    /// Creates a client for the completions route of an address.
    pub fn new(address: &str) -> Self {
        Self {
            client: reqwest::Client::new(),
            url: format!("http://{address}/v1/completions"),
            group: <(String, String)>::default(),
            refusals: sync::Arc::default(),
        }
    }

    /// Sets the group and the generation (fencing number) that an engine requires.
    pub fn group(mut self, group: String, generation: String) -> Self {
        self.group = (group, generation);
        self
    }

    /// Returns the number of calls refused with 429 since the last query, and resets it.
    pub fn take_refusals(&self) -> usize {
        self.refusals.swap(0, atomic::Ordering::Relaxed)
    }

    /// Sends calls one after the other; returns their latencies in microseconds.
    ///
    /// # Errors
    ///
    /// Fails when a call fails for any reason but a refusal with 429.
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

    /// Reads streams one after the other, each to its end mark.
    ///
    /// # Errors
    ///
    /// Fails when a call fails or a stream ends without its end mark.
    pub async fn streams(&self, streams: usize, tokens: usize) -> anyhow::Result<()> {
        for number in 0..streams {
            let mut parts = self.send(number, tokens, true).await?.bytes_stream();
            let mut last = bytes::Bytes::new();
            while let Some(part) = parts.next().await {
                last = part?;
            }
            let marked = last.ends_with(b"[DONE]\n\n");
            anyhow::ensure!(marked, "a stream ended without its end mark: {last:?}");
        }
        Ok(())
    }

    /// Sends a call, and again after [`RETRY_DELAY`] for as long as it is refused with 429.
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
