//! The outcome of a call.

/// The outcome of a call, as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The complete answer to its own request.
    Complete,
    /// An answer that does not belong to its request.
    Wrong {
        /// The text received.
        text: String,
    },
    /// An explicit refusal or failure.
    Refused {
        /// The numbered result code.
        code: u64,
        /// Whether the error says that the request did not run.
        is_not_run: bool,
        /// Whether the error says when to retry.
        has_retry_after: bool,
    },
    /// Neither a complete answer nor an explicit failure.
    Broken {
        /// What went wrong.
        cause: String,
    },
}

impl CallOutcome {
    /// Parses the body of an error answer, or the error event of a stream that failed.
    pub(super) fn of_error(error: &serde_json::Value) -> Self {
        let error = &error["error"];
        let Some(code) = error["code"].as_u64() else {
            let cause = format!("no error body: {error}");
            return Self::Broken { cause };
        };
        Self::Refused {
            code,
            is_not_run: error["outcome"] == "not-run",
            has_retry_after: !error["retry_after_ms"].is_null(),
        }
    }
}
