//! One line of a record.

use pier_types::times;
use serde::{Deserialize, Serialize};

/// How far a call got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// It was refused before it had any effect.
    Refused,
    /// It waits or runs.
    Active,
    /// It ran to its end.
    Finished,
    /// It began and was cut off: by a fault, a cancel or the caller's disconnect.
    Broken,
}

/// One call that reached a stand-in, in the order of arrival.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordEntry {
    /// Position in the record, from 1.
    pub sequence: u64,
    /// When it arrived, in microseconds since boot.
    pub arrived_at: times::BootTime,
    /// When it was over.
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
    /// The body's first characters.
    pub body_prefix: String,
    /// Whether the call took effect: a run began, or an object changed.
    pub started: bool,
    /// How far it got.
    pub end: RunEnd,
    /// Tokens produced.
    pub tokens: u64,
    /// What the stand-in did, in a few words.
    pub effect: String,
}
