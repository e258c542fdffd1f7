//! A number of replicas.

use std::{fmt, num, str};

/// The desired number of replica groups of a model in a data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaCount(u32);

impl ReplicaCount {
    /// Wraps a plain number.
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// Returns the plain number.
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for ReplicaCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl str::FromStr for ReplicaCount {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
