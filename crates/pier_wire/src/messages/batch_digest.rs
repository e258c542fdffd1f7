//! A digest of the parts of a probe batch that rarely change.

use std::{fmt, num, str};

use serde::{de, ser};
use xxhash_rust::xxh3;

use crate::seals;

/// An 8-byte hash of a batch's VMs, incarnations, groups, generations, models, states, leaving
/// flags and failures. Ages, latencies and loads are not part of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchDigest(u64);

impl BatchDigest {
    /// Hashes the encoded batch, whose ages, latencies and loads are set to zero.
    pub(crate) fn of(encoded: &[u8]) -> Self {
        Self(xxh3::xxh3_64(encoded))
    }

    /// Returns the hash.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for BatchDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl str::FromStr for BatchDigest {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl ser::Serialize for BatchDigest {
    fn serialize<S: ser::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        seals::write_fixed(self.0.to_le_bytes(), serializer)
    }
}

impl<'de> de::Deserialize<'de> for BatchDigest {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        seals::read_fixed(deserializer).map(|bytes| Self(u64::from_le_bytes(bytes)))
    }
}
