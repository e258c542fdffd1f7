//! The shared secret of all nodes.

use std::{fmt, str};

use hmac::Mac;
use sha2::Digest;

use crate::seals;

/// Minimum number of characters of a key; the settings of a node require a longer one.
const MIN_KEY_CHARS: usize = 16;

pub(crate) type KeyedHash = hmac::Hmac<sha2::Sha256>;

/// The key that authenticates datagrams and streams; its `Debug` output does not show it.
///
/// ```
/// use pier_wire::seals;
///
/// let key = "a-key-of-enough-characters".parse::<seals::WireKey>()?;
/// assert_eq!(format!("{key:?}"), "WireKey(..)");
/// assert!("short".parse::<seals::WireKey>().is_err());
/// # Ok::<(), seals::KeyError>(())
/// ```
#[derive(Clone)]
pub struct WireKey(KeyedHash);

impl WireKey {
    /// Returns a new HMAC-SHA256 hasher with this key.
    pub(crate) fn hasher(&self) -> KeyedHash {
        self.0.clone()
    }
}

impl fmt::Debug for WireKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("WireKey(..)")
    }
}

impl str::FromStr for WireKey {
    type Err = seals::KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let length = text.chars().count();
        if length < MIN_KEY_CHARS {
            return Err(seals::KeyError {
                length,
                min_length: MIN_KEY_CHARS,
            });
        }
        let digest = sha2::Sha256::digest(text.as_bytes());
        KeyedHash::new_from_slice(&digest)
            .map(Self)
            .map_err(|_error| seals::KeyError {
                length,
                min_length: MIN_KEY_CHARS,
            })
    }
}
