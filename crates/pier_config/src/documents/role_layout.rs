//! How prefill and decode are divided among the members of a group.

use std::{fmt, str};

use pier_types::sizes;

/// The roles of a group's members.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RoleLayout {
    /// Every member does both prefill and decode.
    #[default]
    Unified,
    /// Disaggregated: the first members do prefill, the rest decode.
    Split {
        /// Number of prefill members.
        prefill: sizes::VmCount,
        /// Number of decode members.
        decode: sizes::VmCount,
    },
}

impl fmt::Display for RoleLayout {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unified => f.write_str("unified"),
            Self::Split { prefill, decode } => write!(f, "prefill:{prefill} decode:{decode}"),
        }
    }
}

impl str::FromStr for RoleLayout {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text == "unified" {
            return Ok(Self::Unified);
        }
        let parse_error = || format!("{text:?} is neither unified nor prefill:N decode:M");
        let (prefill, decode) = text.split_once(' ').ok_or_else(parse_error)?;
        let count = |part: &str, prefix: &str| {
            let number = part.trim().strip_prefix(prefix)?.parse::<u32>().ok()?;
            (number > 0).then_some(sizes::VmCount::new(number))
        };
        Ok(Self::Split {
            prefill: count(prefill, "prefill:").ok_or_else(parse_error)?,
            decode: count(decode, "decode:").ok_or_else(parse_error)?,
        })
    }
}
