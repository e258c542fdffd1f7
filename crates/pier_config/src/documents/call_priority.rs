//! How urgent a call is.

use std::{fmt, str};

/// The priority of a call; a customer's section sets the highest that its callers may ask for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallPriority {
    /// Gives way to all others.
    Low,
    /// What a call has that asks for nothing.
    #[default]
    Normal,
    /// Goes before all others.
    High,
}

impl fmt::Display for CallPriority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Low => "low",
            Self::Normal => "normal",
            Self::High => "high",
        })
    }
}

impl str::FromStr for CallPriority {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "low" => Ok(Self::Low),
            "normal" => Ok(Self::Normal),
            "high" => Ok(Self::High),
            other => Err(format!("{other:?} is not one of low, normal, high")),
        }
    }
}
