//! What became of a call.

/// What a caller was left with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The whole answer to its own request.
    Complete,
    /// An answer that is not the one to its request.
    Wrong {
        /// What came.
        text: String,
    },
    /// An explicit refusal or failure.
    Refused {
        /// The numbered result code.
        code: u64,
        /// Whether it says that the request did not run.
        is_not_run: bool,
        /// Whether it says when to come back.
        has_retry_after: bool,
    },
    /// Neither a whole answer nor an explicit failure.
    Broken {
        /// What went wrong.
        cause: String,
    },
}

impl CallOutcome {
    /// Reads the body of a refusal, or the last event of a stream that failed.
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
