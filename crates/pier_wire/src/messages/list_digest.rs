//! A digest of a VM list.

use std::{fmt, num, str};

use pier_types::vms;
use serde::{de, ser};
use xxhash_rust::xxh3;

use crate::seals;

/// An 8-byte hash of the content of a data centre's VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListDigest(u64);

impl ListDigest {
    /// Hashes entries, which must be sorted by name.
    pub fn of<'a>(entries: impl Iterator<Item = &'a vms::VmEntry>) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        for entry in entries {
            // Encoding names, numbers and addresses cannot fail.
            let encoded = postcard::to_stdvec(entry).unwrap_or_default();
            hasher.update(&encoded);
        }
        Self(hasher.digest())
    }

    /// Returns the hash.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ListDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl str::FromStr for ListDigest {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl ser::Serialize for ListDigest {
    fn serialize<S: ser::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        seals::write_fixed(self.0.to_le_bytes(), serializer)
    }
}

impl<'de> de::Deserialize<'de> for ListDigest {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        seals::read_fixed(deserializer).map(|bytes| Self(u64::from_le_bytes(bytes)))
    }
}
