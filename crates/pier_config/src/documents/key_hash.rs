//! The hash of a bearer key.

use std::{fmt, str};

use sha2::Digest;

/// Length of a SHA-256 hash in bytes.
const HASH_BYTES: usize = 32;

/// SHA-256 of a bearer key; the document never holds the key itself.
///
/// ```
/// use pier_config::documents;
///
/// let hash = documents::KeyHash::of("a bearer key");
/// assert_eq!(hash.to_string().parse(), Ok(hash));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Hashes a bearer key.
    pub fn of(key: &str) -> Self {
        Self(sha2::Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl str::FromStr for KeyHash {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // The error leaves the text out: it may be the key itself, pasted by mistake.
        let parse_error = || "not 64 hexadecimal digits".to_owned();
        if text.len() != 2 * HASH_BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(parse_error());
        }
        let mut bytes = [0; HASH_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = text.get(2 * index..2 * index + 2).ok_or_else(parse_error)?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_error| parse_error())?;
        }
        Ok(Self(bytes))
    }
}
