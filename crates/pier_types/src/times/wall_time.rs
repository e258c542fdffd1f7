//! Time of day.

use std::{fmt, num, str, time};

use serde::{Deserialize, Serialize};

/// Milliseconds since 1970-01-01 UTC by this VM's clock, which may jump.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(u64);

impl WallTime {
    /// Wraps milliseconds since 1970.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns milliseconds since 1970.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time after a duration, saturating at the maximum.
    #[must_use]
    pub fn after(self, duration: time::Duration) -> Self {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }

    /// Returns the duration since an earlier time; zero if that time is later than this one.
    pub const fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for WallTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl str::FromStr for WallTime {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
