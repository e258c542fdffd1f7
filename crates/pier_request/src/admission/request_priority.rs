//! The priority of a request.

use std::{fmt, str};

use serde::{Deserialize, Serialize};

/// Which requests go first when a pool is nearly full.
///
/// ```
/// use pier_request::admission;
///
/// let asked: admission::RequestPriority = "high".parse()?;
/// let allowed = asked.min(admission::RequestPriority::Normal);
/// assert_eq!(allowed.to_string(), "normal");
/// # Ok::<(), String>(())
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RequestPriority {
    /// Gives way to the others.
    Low,
    /// The ordinary priority.
    #[default]
    Normal,
    /// Goes first.
    High,
}

impl RequestPriority {
    /// Returns the hundredths of a full pool that are left to higher priorities.
    pub(super) const fn headroom_percent(self) -> u32 {
        match self {
            Self::Low => 20,
            Self::Normal => 5,
            Self::High => 0,
        }
    }
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
