//! The outcome of one call of a play.

/// What a caller received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallOutcome {
    /// HTTP status; `None` when there was no answer at all.
    pub status: Option<u16>,
    /// The part of the body that was received.
    pub body: String,
    /// Whether the body was received up to its proper end in HTTP.
    pub ended: bool,
    /// What the node knew about its targets when it answered with an error; empty otherwise.
    pub node_view: String,
}

impl CallOutcome {
    /// Returns whether the answer is complete: a success that ended and, if streamed, has its
    /// `[DONE]` event.
    pub fn is_complete(&self) -> bool {
        let success = self.status.is_some_and(|status| status < 400);
        let streamed = self.body.starts_with("data:") || self.body.starts_with("event:");
        let marked = self.body.trim_end().ends_with("data: [DONE]");
        success && self.ended && (!streamed || marked)
    }

    /// Returns the `outcome` field of the error body.
    pub fn error_outcome(&self) -> Option<&'static str> {
        let names = ["not-run", "unknown", "ran-failed"];
        let quoted = |name: &&str| self.body.contains(&format!("\"outcome\":\"{name}\""));
        names.into_iter().find(quoted)
    }

    /// Returns the generated text, streamed or not.
    pub fn text(&self) -> String {
        let events = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        let mut text: String = events.filter_map(delta_of).collect();
        if text.is_empty() {
            text = message_of(&self.body).unwrap_or_default();
        }
        text
    }
}

fn delta_of(event: &str) -> Option<String> {
    let event: serde_json::Value = serde_json::from_str(event).ok()?;
    let chat = event.pointer("/choices/0/delta/content");
    let text = chat.or_else(|| event.pointer("/choices/0/text"))?;
    text.as_str().map(str::to_owned)
}

fn message_of(body: &str) -> Option<String> {
    let body: serde_json::Value = serde_json::from_str(body).ok()?;
    let chat = body.pointer("/choices/0/message/content");
    let text = chat.or_else(|| body.pointer("/choices/0/text"))?;
    text.as_str().map(str::to_owned)
}
