//! What a member does for its group.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The phase that a member works on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberRole {
    /// Reads prompts and writes tokens.
    Unified,
    /// Reads prompts.
    Prefill,
    /// Writes tokens.
    Decode,
}

impl fmt::Display for MemberRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unified => "unified",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        })
    }
}
