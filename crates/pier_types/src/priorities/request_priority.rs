//! The priority of a request.

use std::{fmt, str};

use serde::{Deserialize, Serialize};

/// Decides which requests are admitted first when a pool is nearly full; each customer has a
/// maximum.
///
/// ```
/// use pier_types::priorities;
///
/// let asked: priorities::RequestPriority = "high".parse()?;
/// let allowed = asked.min(priorities::RequestPriority::Normal);
/// assert_eq!(allowed.to_string(), "normal");
/// # Ok::<(), String>(())
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RequestPriority {
    /// Yields to the other priorities.
    Low,
    /// The default priority.
    #[default]
    Normal,
    /// Takes precedence over the other priorities.
    High,
}

impl fmt::Display for RequestPriority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Low => "low",
            Self::Normal => "normal",
            Self::High => "high",
        })
    }
}

impl str::FromStr for RequestPriority {
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
