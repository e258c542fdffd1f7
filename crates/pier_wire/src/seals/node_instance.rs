//! One run of a node's process.

use std::{fmt, num, str};

use serde::{de, ser};

use crate::seals;

/// 128 random bits that identify one run of a node. They are drawn at each start, so that two runs
/// differ even if they have the same name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeInstance(u128);

impl NodeInstance {
    /// Creates an instance from 128 random bits.
    pub const fn new(bits: u128) -> Self {
        Self(bits)
    }

    /// Returns the bits.
    pub const fn get(self) -> u128 {
        self.0
    }
}

impl fmt::Display for NodeInstance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl str::FromStr for NodeInstance {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl ser::Serialize for NodeInstance {
    fn serialize<S: ser::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        seals::write_fixed(self.0.to_le_bytes(), serializer)
    }
}

impl<'de> de::Deserialize<'de> for NodeInstance {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        seals::read_fixed(deserializer).map(|bytes| Self(u128::from_le_bytes(bytes)))
    }
}
