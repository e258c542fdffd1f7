//! The outcome of a request as its caller sees it.

use pier_types::codes;
use serde_json::Value;

/// A parsed error answer of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerFailure {
    /// The HTTP status.
    pub status: u16,
    /// The result code.
    pub code: codes::ResultCode,
    /// What the answer says about whether the request ran.
    pub outcome: codes::RunOutcome,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerOutcome {
    /// A complete answer: the text of a completion, or a service's body.
    Answer(String),
    /// An error answer, or an error event in a stream.
    Failure(CallerFailure),
    /// The connection ended without an answer, so the caller does not know whether the request ran.
    ConnectionLost,
}

impl CallerOutcome {
    /// Parses an answer.
    ///
    /// # Panics
    ///
    /// Panics when the answer has an unknown form or is a stream without an end.
    pub fn read(status: u16, text: &str) -> Self {
        if text.starts_with("data: ") || text.starts_with("event: ") {
            return Self::read_stream(status, text);
        }
        let body = serde_json::from_str::<Value>(text);
        let body = body.unwrap_or_else(|error| panic!("{status} {text:?}: {error}"));
        if body["error"].is_object() {
            return Self::Failure(read_failure(status, &body));
        }
        assert_eq!(status, 200, "{text}");
        let answer = body["choices"][0]["text"].as_str();
        Self::Answer(answer.unwrap_or(text).to_owned())
    }

    /// Returns the answer.
    pub fn answer(&self) -> Option<&str> {
        match self {
            Self::Answer(text) => Some(text),
            _ => None,
        }
    }

    /// Returns the failure.
    pub fn failure(&self) -> Option<&CallerFailure> {
        match self {
            Self::Failure(failure) => Some(failure),
            _ => None,
        }
    }

    /// Returns what the caller knows about whether the request ran; `None` for a complete answer.
    pub fn run_outcome(&self) -> Option<codes::RunOutcome> {
        match self {
            Self::Answer(_text) => None,
            Self::Failure(failure) => Some(failure.outcome),
            Self::ConnectionLost => Some(codes::RunOutcome::Unknown),
        }
    }

    /// Joins the tokens of a stream; panics when they are out of order or the end is missing.
    fn read_stream(status: u16, text: &str) -> Self {
        let mut answer = String::new();
        let mut next = 0;
        for event in text.split("\n\n").filter(|event| !event.is_empty()) {
            if let Some(data) = event.strip_prefix("event: error\ndata: ") {
                return Self::Failure(read_failure(status, &serde_json::from_str(data).unwrap()));
            }
            let data = event.strip_prefix("data: ");
            let data = data.unwrap_or_else(|| panic!("unknown event {event:?}"));
            if data == "[DONE]" {
                return Self::Answer(answer);
            }
            let value: Value = serde_json::from_str(data).unwrap();
            assert_eq!(value["index"], next, "tokens out of order");
            next += 1;
            answer.push_str(value["choices"][0]["text"].as_str().unwrap());
        }
        panic!("the stream of {next} tokens stopped without an end mark or an error")
    }
}

fn read_failure(status: u16, body: &Value) -> CallerFailure {
    let error = &body["error"];
    CallerFailure {
        status,
        code: serde_json::from_value(error["code"].clone()).unwrap(),
        outcome: serde_json::from_value(error["outcome"].clone()).unwrap(),
    }
}
