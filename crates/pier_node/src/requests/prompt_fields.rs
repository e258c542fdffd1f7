//! The prompt of a model request.

use std::fmt::Write as _;

use serde_json::Value;

/// The fields that make up a prompt; values of an unexpected form count as empty text.
#[derive(Debug)]
pub(super) struct PromptFields {
    prompt: Value,
    messages: Value,
}

impl PromptFields {
    /// Wraps the fields; null stands for a missing field.
    pub(super) const fn new(prompt: Value, messages: Value) -> Self {
        Self { prompt, messages }
    }

    /// Returns whether there is an array of chat messages.
    pub(super) fn has_messages(&self) -> bool {
        self.messages.is_array()
    }

    /// Returns whether there is a plain prompt.
    pub(super) fn has_prompt(&self) -> bool {
        !self.prompt.is_null()
    }

    /// Returns the prompt as one text, in the form in which engines hash its prefix.
    pub(super) fn text(&self) -> String {
        let mut text = self.prompt.as_str().unwrap_or_default().to_owned();
        for message in self.messages.as_array().into_iter().flatten() {
            let field = |name: &str| message.get(name).and_then(Value::as_str);
            let role = field("role").unwrap_or_default();
            let content = field("content").unwrap_or_default();
            // Writing to a string never fails.
            let _ = writeln!(text, "{role}: {content}");
        }
        text
    }
}
