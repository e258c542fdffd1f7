//! The role of a member in its group.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The phases of inference that a member runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberRole {
    /// Both prefill and decode.
    Unified,
    /// Prefill only.
    Prefill,
    /// Decode only.
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
