//! The prompt of a model request, as far as the system reads it.

use std::fmt::Write as _;

use serde_json::Value;

/// The fields that make a prompt; any other form of them has no prefix.
#[derive(Debug)]
pub(super) struct PromptFields {
    prompt: Value,
    messages: Value,
}

impl PromptFields {
    /// Wraps the fields; null stands for a field that is not there.
    pub(super) const fn new(prompt: Value, messages: Value) -> Self {
        Self { prompt, messages }
    }

    /// Tells whether the request has what its path needs.
    pub(super) fn has_messages(&self) -> bool {
        self.messages.is_array()
    }

    /// Tells whether there is a plain prompt.
    pub(super) fn has_prompt(&self) -> bool {
        !self.prompt.is_null()
    }

    /// Returns the text whose start names the prefix, as engines write it.
    pub(super) fn text(&self) -> String {
        let mut text = self.prompt.as_str().unwrap_or_default().to_owned();
        for message in self.messages.as_array().into_iter().flatten() {
            let field = |name: &str| message.get(name).and_then(Value::as_str);
            let role = field("role").unwrap_or_default();
            let content = field("content").unwrap_or_default();
            // Writing to a text never fails.
            let _ = writeln!(text, "{role}: {content}");
        }
        text
    }
}
