//! A short key of a target in one generation.

use std::{fmt, num, str};

use pier_types::ids;
use serde::{de, ser};
use xxhash_rust::xxh3;

use crate::seals;

/// An 8-byte hash of a target and its generation. A new generation or incarnation has another key,
/// so that no share of an earlier one applies to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShareKey(u64);

impl ShareKey {
    /// Hashes a target and its epoch: the generation of a group or the incarnation of a VM.
    pub fn of(target: &ids::TargetId, epoch: u64) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        hasher.update(target.to_string().as_bytes());
        hasher.update(&epoch.to_le_bytes());
        Self(hasher.digest())
    }

    /// Returns the hash.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ShareKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl str::FromStr for ShareKey {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl ser::Serialize for ShareKey {
    fn serialize<S: ser::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        seals::write_fixed(self.0.to_le_bytes(), serializer)
    }
}

impl<'de> de::Deserialize<'de> for ShareKey {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        seals::read_fixed(deserializer).map(|bytes| Self(u64::from_le_bytes(bytes)))
    }
}
