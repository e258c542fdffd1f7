//! One call of a play.

/// What a caller of a play sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallEntry {
    /// The node that the caller reaches.
    pub node: String,
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// Bearer key.
    pub bearer: String,
    /// The body.
    pub body: String,
    /// Text found in the stand-ins' record of this call and no other.
    pub mark: String,
    /// Time the caller waits, in milliseconds.
    pub deadline_ms: u64,
}
