//! One entry of a record.

use pier_types::times;
use serde::{Deserialize, Serialize};

/// The final state of a call, or `Active` before it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// Refused before it had any effect.
    Refused,
    /// Queued or running.
    Active,
    /// Ran to completion.
    Finished,
    /// Started and then aborted: by a fault, a cancellation or the caller's disconnect.
    Broken,
}

/// One call that reached a fake server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordEntry {
    /// Position in the record, from 1.
    pub sequence: u64,
    /// When it arrived, in microseconds since boot.
    pub arrived_at: times::BootTime,
    /// When it ended, in microseconds since boot.
    pub ended_at: Option<times::BootTime>,
    /// The method.
    pub method: String,
    /// The path without its leading slash.
    pub path: String,
    /// `X-Attempt-Id`, if sent.
    pub attempt: Option<String>,
    /// `Idempotency-Key`, if sent.
    pub key: Option<String>,
    /// Hash of the body, 16 hexadecimal digits.
    pub body_hash: String,
    /// The first characters of the body, at most 200.
    pub body_prefix: String,
    /// Whether the call took effect: a run began, or an object changed.
    pub started: bool,
    /// Its state.
    pub end: RunEnd,
    /// Tokens produced.
    pub tokens: u64,
    /// What the fake server did, in a few words.
    pub effect: String,
}
