//! The error body of refusals and failures.

use pier_types::codes;

/// The error that a caller gets when its request has no answer.
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
    /// The result code.
    pub code: codes::ResultCode,
    /// Whether the request ran.
    pub outcome: codes::RunOutcome,
    /// A sentence for people.
    pub message: String,
    /// Retry-after hint in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl ErrorBody {
    /// Creates an error with the default outcome of its code.
    pub fn new(code: codes::ResultCode, message: impl Into<String>) -> Self {
        Self {
            code,
            outcome: code.outcome(),
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Overrides the default outcome of the code.
    #[must_use]
    pub fn outcome(mut self, outcome: codes::RunOutcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Sets the retry-after hint in milliseconds.
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
