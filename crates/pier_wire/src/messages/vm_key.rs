//! A short key of a VM.

use std::{fmt, num, str};

use pier_types::ids;
use serde::{de, ser};
use xxhash_rust::xxh3;

use crate::seals;

/// An 8-byte hash of a VM's name. The receiver looks the name up in its own VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VmKey(u64);

impl VmKey {
    /// Hashes a name.
    pub fn of(vm: &ids::VmName) -> Self {
        Self(xxh3::xxh3_64(vm.as_str().as_bytes()))
    }

    /// Returns the hash.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for VmKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl str::FromStr for VmKey {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl ser::Serialize for VmKey {
    fn serialize<S: ser::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        seals::write_fixed(self.0.to_le_bytes(), serializer)
    }
}

impl<'de> de::Deserialize<'de> for VmKey {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        seals::read_fixed(deserializer).map(|bytes| Self(u64::from_le_bytes(bytes)))
    }
}
