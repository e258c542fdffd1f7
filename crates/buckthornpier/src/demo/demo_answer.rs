//! An answer that a caller of the demonstration received.

use std::fmt;

use serde_json::Value;

/// A parsed answer, for display.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct DemoAnswer {
    /// The HTTP status.
    pub(super) status: u16,
    /// The answer's text, or the error's code, name, outcome and message.
    pub(super) text: String,
    /// Whether the answer is complete: no error, and for a stream its end mark.
    pub(super) is_complete: bool,
}

impl DemoAnswer {
    /// Parses the body of a response, streamed or not.
    pub(super) fn read(status: u16, body: &str) -> Self {
        if body.starts_with("data: ") || body.starts_with("event: ") {
            return Self::read_stream(status, body);
        }
        let value = serde_json::from_str::<Value>(body).unwrap_or_default();
        if value["error"].is_object() {
            return Self::refusal(status, &value["error"]);
        }
        let choice = &value["choices"][0];
        let text = choice["message"]["content"].as_str();
        let receipt = || format!("receipt {}", value["receipt"]);
        Self {
            status,
            text: text.map_or_else(receipt, str::to_owned),
            is_complete: true,
        }
    }

    fn read_stream(status: u16, body: &str) -> Self {
        let mut text = String::new();
        for event in body.split("\n\n") {
            if let Some(data) = event.strip_prefix("event: error\ndata: ") {
                let value = serde_json::from_str::<Value>(data).unwrap_or_default();
                return Self::refusal(status, &value["error"]);
            }
            match event.strip_prefix("data: ") {
                Some("[DONE]") => {
                    return Self {
                        status,
                        text,
                        is_complete: true,
                    };
                }
                Some(data) => {
                    let value = serde_json::from_str::<Value>(data).unwrap_or_default();
                    let token = value["choices"][0]["delta"]["content"].as_str();
                    text.push_str(token.unwrap_or_default());
                }
                None => {}
            }
        }
        Self {
            status,
            text,
            is_complete: false,
        }
    }

    fn refusal(status: u16, error: &Value) -> Self {
        let field = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
        Self {
            status,
            text: format!(
                "code {} {}, outcome {}: {}",
                error["code"],
                field("name"),
                field("outcome"),
                field("message")
            ),
            is_complete: false,
        }
    }
}

impl fmt::Display for DemoAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.is_complete {
            "whole answer"
        } else {
            "no whole answer"
        };
        write!(f, "HTTP {}, {kind}: {}", self.status, self.text)
    }
}
