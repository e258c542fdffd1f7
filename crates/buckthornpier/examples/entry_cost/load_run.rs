//! Sends calls and takes their time.

use std::time;

use futures_util::StreamExt as _;

/// Greatest time that is told apart, in microseconds.
const LONGEST_MICROS: u64 = 60_000_000;

/// Sends calls to one address.
#[derive(Debug, Clone)]
pub struct LoadRun {
    client: reqwest::Client,
    url: String,
    generation: String,
}

impl LoadRun {
    /// Makes a run against the completions route of an address.
    pub fn new(address: &str) -> Self {
        Self {
            client: reqwest::Client::new(),
            url: format!("http://{address}/v1/completions"),
            generation: String::new(),
        }
    }

    /// Sets the fencing number that an engine asks for.
    pub fn generation(mut self, generation: String) -> Self {
        self.generation = generation;
        self
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
        let mut times = hdrhistogram::Histogram::new_with_bounds(1, LONGEST_MICROS, 3)?;
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

    async fn send(
        &self,
        number: usize,
        tokens: usize,
        stream: bool,
    ) -> anyhow::Result<reqwest::Response> {
        let body = serde_json::json!({
            "model": "drafter", "prompt": format!("call {number}"), "max_tokens": tokens, "stream": stream
        });
        let sending = self
            .client
            .post(&self.url)
            .bearer_auth("sample-key-strathmore");
        let answer = sending.json(&body).send().await?;
        Ok(answer.error_for_status()?)
    }
}
