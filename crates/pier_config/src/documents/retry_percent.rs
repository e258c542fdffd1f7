//! The size of a retry budget.

use std::{fmt, str};

/// Largest retry budget, in percent of first attempts.
const MAX_PERCENT: u8 = 100;

/// A retry budget, in percent of first attempts: 0 to 100.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryPercent(u8);

impl RetryPercent {
    /// Wraps a percentage; values above 100 are clamped to 100.
    pub const fn new(percent: u8) -> Self {
        if percent > MAX_PERCENT {
            return Self(MAX_PERCENT);
        }
        Self(percent)
    }

    /// Returns the percentage.
    pub const fn get(self) -> u8 {
        self.0
    }
}

impl fmt::Display for RetryPercent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl str::FromStr for RetryPercent {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.parse::<u8>() {
            Ok(percent) if percent <= MAX_PERCENT => Ok(Self(percent)),
            _ => Err(format!("{text:?} is not a whole number from 0 to 100")),
        }
    }
}
