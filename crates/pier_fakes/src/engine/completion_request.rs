//! The body of a completion request.

use std::fmt::Write;

use pier_types::ids;
use serde::Deserialize;
use xxhash_rust::xxh3;

/// Tokens of an answer if the request does not set `max_tokens`.
const DEFAULT_TOKENS: u64 = 16;

/// Bytes at the start of a prompt that are hashed as its prefix.
const PREFIX_BYTES: usize = 256;

/// One message of a chat.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct ChatMessage {
    /// The speaker's role.
    pub role: String,
    /// The text.
    #[serde(default)]
    pub content: String,
}

/// The body of a completion request; other fields are ignored.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct CompletionRequest {
    /// The model.
    #[serde(default)]
    pub model: Option<ids::ModelName>,
    /// The chat, for chat completions.
    #[serde(default)]
    pub messages: Vec<ChatMessage>,
    /// The prompt, for plain completions.
    #[serde(default)]
    pub prompt: String,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Number of tokens in the answer.
    #[serde(default)]
    pub max_tokens: Option<u64>,
}

impl CompletionRequest {
    /// Returns the prompt and all messages as one text.
    pub(crate) fn prompt_text(&self) -> String {
        let mut text = self.prompt.clone();
        for message in &self.messages {
            let _always_fits = writeln!(text, "{}: {}", message.role, message.content);
        }
        text
    }

    /// Returns the number of tokens of the answer.
    pub(crate) fn answer_length(&self) -> u64 {
        self.max_tokens.unwrap_or(DEFAULT_TOKENS)
    }

    /// Returns the hash of the prompt's prefix, 16 hexadecimal digits.
    pub(crate) fn prefix(&self) -> String {
        let text = self.prompt_text();
        let bytes = text.as_bytes();
        let start = &bytes[..bytes.len().min(PREFIX_BYTES)];
        format!("{:016x}", xxh3::xxh3_64(start))
    }
}
