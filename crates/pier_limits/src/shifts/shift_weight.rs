//! The part of its usual load that a data centre gets.

use std::{fmt, num, str};

/// A part of the usual load in thousandths, at most 1,000.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShiftWeight(u16);

impl ShiftWeight {
    /// No new work.
    pub const NONE: Self = Self(0);

    /// The full usual load.
    pub const WHOLE: Self = Self(1_000);

    /// Wraps a number of thousandths, limited to the whole.
    pub const fn from_thousandths(thousandths: u16) -> Self {
        if thousandths > Self::WHOLE.0 {
            return Self::WHOLE;
        }
        Self(thousandths)
    }

    /// Returns `part` as a part of `whole`; the whole if `whole` is 0.
    pub fn from_ratio(part: u64, whole: u64) -> Self {
        if part >= whole {
            return Self::WHOLE;
        }
        let thousandths = u128::from(part) * 1_000 / u128::from(whole);
        Self(u16::try_from(thousandths).unwrap_or(Self::WHOLE.0))
    }

    /// Returns the thousandths.
    pub const fn get(self) -> u16 {
        self.0
    }

    /// Returns whether the request with a fingerprint is in this part. A request that is in one
    /// part is also in each larger one.
    pub fn includes(self, fingerprint: u64) -> bool {
        fingerprint % u64::from(Self::WHOLE.0) < u64::from(self.0)
    }
}

impl fmt::Display for ShiftWeight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl str::FromStr for ShiftWeight {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self::from_thousandths)
    }
}
