//! What a caller's request says of itself.

use std::time;

use pier_types::ids;

/// The parts of a request's head that decide what becomes of it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Host that the caller named.
    pub host: String,
    /// Id that the caller gave to this attempt.
    pub attempt: String,
    /// How long the caller waits.
    pub timeout: Option<time::Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// Model that is to answer.
    pub model: Option<ids::ModelName>,
    /// Tokens of the prompt, 0 when not said.
    pub prompt_tokens: u64,
    /// Most tokens of the answer, 0 when not said.
    pub answer_tokens: u64,
    /// Last event of a stream that the caller continues.
    pub last_event: Option<String>,
}
