//! The fingerprint of a request's content.

use std::{fmt, num, str};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Hash of a request's customer, route and body; a retry by the same customer has the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// Hashes the customer, the route and the body.
    pub fn of(customer: &str, route: &str, body: &[u8]) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        for part in [customer.as_bytes(), route.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }

    /// Returns the hash as a number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl str::FromStr for RequestFingerprint {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
