//! The JSON format of complete answers and streamed events.

use bytes::Bytes;
use serde_json::{Value, json};

/// Encodes the answer to one request.
#[derive(Debug, Clone)]
pub(crate) struct AnswerEncoder {
    /// Whether the request was a chat completion.
    pub chat: bool,
    /// The id field of the answer.
    pub id: String,
    /// The model field of the answer.
    pub model: String,
}

impl AnswerEncoder {
    /// Returns the server-sent event of one token.
    pub(crate) fn token(&self, index: u64, text: &str, last: bool) -> Bytes {
        let mut choice = if self.chat {
            json!({"index": 0, "delta": {"content": text}})
        } else {
            json!({"index": 0, "text": text})
        };
        let mut event = json!({
            "id": self.id,
            "object": if self.chat { "chat.completion.chunk" } else { "text_completion" },
            "model": self.model,
            "index": index,
        });
        if last {
            choice["finish_reason"] = json!("stop");
            event["finish_reason"] = json!("stop");
        }
        event["choices"] = json!([choice]);
        format!("data: {event}\n\n").into()
    }

    /// Returns the `[DONE]` event that ends a stream.
    pub(crate) fn done() -> Bytes {
        Bytes::from_static(b"data: [DONE]\n\n")
    }

    /// Returns the body of an answer that is not streamed.
    pub(crate) fn complete_answer(&self, text: &str, tokens: u64) -> Value {
        let choice = if self.chat {
            let message = json!({"role": "assistant", "content": text});
            json!({"index": 0, "message": message, "finish_reason": "stop"})
        } else {
            json!({"index": 0, "text": text, "finish_reason": "stop"})
        };
        json!({
            "id": self.id,
            "object": if self.chat { "chat.completion" } else { "text_completion" },
            "model": self.model,
            "choices": [choice],
            "usage": {"completion_tokens": tokens},
        })
    }
}
