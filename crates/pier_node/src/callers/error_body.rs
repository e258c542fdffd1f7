//! The body of every refusal and failure.

use pier_types::codes;

/// What a caller is told when its request got no answer.
///
/// ```
/// use pier_node::callers;
/// use pier_types::codes;
///
/// let error = callers::ErrorBody::new(codes::ResultCode::Overloaded, "all targets are full")
///     .retry_after_ms(250);
/// assert!(error.to_json().contains("\"outcome\":\"not-run\""));
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ErrorBody {
    /// The numbered result.
    pub code: codes::ResultCode,
    /// Whether the request ran.
    pub outcome: codes::RunOutcome,
    /// One sentence for a person.
    pub message: String,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl ErrorBody {
    /// Makes a body with the code's own outcome.
    pub fn new(code: codes::ResultCode, message: impl Into<String>) -> Self {
        Self {
            code,
            outcome: code.outcome(),
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Sets another outcome than the code's own.
    #[must_use]
    pub fn outcome(mut self, outcome: codes::RunOutcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Sets when to come back, in milliseconds.
    #[must_use]
    pub fn retry_after_ms(mut self, millis: u64) -> Self {
        self.retry_after_ms = Some(millis);
        self
    }

    /// Returns the JSON text.
    pub fn to_json(&self) -> String {
        let mut error = serde_json::json!({
            "code": self.code.number(),
            "name": format!("{:?}", self.code),
            "outcome": self.outcome.to_string(),
            "message": self.message,
        });
        if let Some(millis) = self.retry_after_ms {
            error["retry_after_ms"] = millis.into();
        }
        serde_json::json!({ "error": error }).to_string()
    }

    /// Returns the last event of a stream that failed after it had begun.
    pub fn to_event(&self) -> String {
        format!("event: error\ndata: {}\n\n", self.to_json())
    }
}
