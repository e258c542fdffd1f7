//! The head of a caller's request.

use std::time;

use pier_types::ids;

/// The parts of a request's head that decide how the request is handled.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Host that the request names.
    pub host: String,
    /// The caller's id of this attempt.
    pub attempt: String,
    /// How long the caller waits for an answer.
    pub timeout: Option<time::Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// Model that the request is for.
    pub model: Option<ids::ModelName>,
    /// Tokens of the prompt, 0 if not stated.
    pub prompt_tokens: u64,
    /// Greatest number of tokens of the answer, 0 if not stated.
    pub answer_tokens: u64,
    /// Parts of the prompt that other requests may share: all but the last one, which is the
    /// request's own. Empty if none are stated or they cannot be read.
    pub shared_parts: Vec<ids::PromptPart>,
    /// Id of the last event that the caller received of a stream which it resumes.
    pub last_event: Option<String>,
}

/// Returns parts of a prompt as text for a log line.
pub(crate) fn parts_text(parts: &[ids::PromptPart]) -> String {
    let parts = parts.iter().map(ToString::to_string);
    parts.collect::<Vec<_>>().join(",")
}
