//! Time since boot.

use std::{fmt, num, str, time};

use serde::{Deserialize, Serialize};

/// Time since boot in microseconds, including the time that the VM was suspended.
///
/// ```
/// use std::time;
/// use pier_types::times;
///
/// let start = times::BootTime::from_micros(5_000);
/// let end = start.after(time::Duration::from_millis(2));
/// assert_eq!(end.since(start), time::Duration::from_millis(2));
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BootTime(u64);

impl BootTime {
    /// Wraps microseconds since boot.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Wraps milliseconds since boot.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns microseconds since boot.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time after a duration, saturating at the maximum.
    #[must_use]
    pub fn after(self, duration: time::Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Returns the time before a duration, saturating at boot.
    #[must_use]
    pub fn before(self, duration: time::Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// Returns the duration since an earlier time; zero if that time is later than this one.
    pub const fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for BootTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

impl str::FromStr for BootTime {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim_end_matches("us").parse().map(Self)
    }
}
