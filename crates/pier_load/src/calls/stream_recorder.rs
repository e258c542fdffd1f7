//! Records the events of a streamed answer as they arrive.

use std::time;

use pier_types::times;

/// Splits a stream into events and records when each token arrived.
#[derive(Debug, Default)]
pub(super) struct StreamRecorder {
    /// The text of all tokens.
    pub(super) text: String,
    /// Whether the `[DONE]` event arrived.
    pub(super) is_done: bool,
    /// Data of the error event, if one arrived.
    pub(super) error: Option<serde_json::Value>,
    /// When the first token arrived.
    pub(super) first_at: Option<times::BootTime>,
    /// Times between consecutive tokens.
    pub(super) gaps: Vec<time::Duration>,
    last_at: Option<times::BootTime>,
    rest: String,
}

impl StreamRecorder {
    /// Records a chunk of the stream.
    pub(super) fn record_part(&mut self, part: &[u8], now: times::BootTime) {
        self.rest.push_str(&String::from_utf8_lossy(part));
        while let Some(end) = self.rest.find("\n\n") {
            let event: String = self.rest.drain(..end + 2).collect();
            self.record_event(event.trim_end(), now);
        }
    }

    fn record_event(&mut self, event: &str, now: times::BootTime) {
        let is_error = event.starts_with("event: error");
        let data = event.lines().find_map(|line| line.strip_prefix("data: "));
        let data = data.unwrap_or_default();
        if data == "[DONE]" {
            self.is_done = true;
            return;
        }
        let value: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
        if is_error {
            self.error = Some(value);
            return;
        }
        if let Some(text) = value["choices"][0]["text"].as_str() {
            self.text.push_str(text);
            self.record_token(now);
        }
    }

    fn record_token(&mut self, now: times::BootTime) {
        if let Some(last) = self.last_at {
            self.gaps.push(now.since(last));
        }
        self.first_at.get_or_insert(now);
        self.last_at = Some(now);
    }
}
