//! The hash that identifies a prompt's prefix.

use std::{fmt, num, str};

use xxhash_rust::xxh3;

/// Length of the prefix of a prompt, in bytes.
const PREFIX_BYTES: usize = 256;

/// Identifies the start of a prompt by the same hash as the cache events of the engines.
///
/// ```
/// use pier_request::routing;
///
/// let hash = routing::PrefixHash::of_prompt("user: summarise this record\n");
/// assert_eq!(hash.to_string().parse(), Ok(hash));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PrefixHash(u64);

impl PrefixHash {
    /// Hashes the start of a request's prompt. `text` is the prompt's text followed by a line
    /// `ROLE: CONTENT` for each chat message.
    pub fn of_prompt(text: &str) -> Self {
        let bytes = text.as_bytes();
        let start = &bytes[..bytes.len().min(PREFIX_BYTES)];
        Self(xxh3::xxh3_64(start))
    }

    /// Returns the number of the shard for this hash in an index with `shards` shards.
    pub(super) const fn shard(self, shards: u64) -> u64 {
        self.0 % shards
    }
}

impl fmt::Display for PrefixHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl str::FromStr for PrefixHash {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
