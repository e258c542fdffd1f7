//! The idempotency key that makes a request one-time.

use std::{fmt, str, sync};

use pier_types::{codes, times};

/// Fewest characters of the unique part.
const MIN_UNIQUE_CHARS: usize = 8;

/// Most characters of the unique part.
const MAX_UNIQUE_CHARS: usize = 64;

/// Most digits of the time of issue.
const MAX_ISSUED_DIGITS: usize = 15;

/// A caller's key in the form `ISSUED-UNIQUE`.
///
/// `ISSUED` is the time of issue in milliseconds since the Unix epoch, `UNIQUE` a text of letters,
/// digits and underscores.
///
/// ```
/// use pier_request::claims;
///
/// let key: claims::IdempotencyKey = "1764800000000-lodge_0042".parse()?;
/// assert_eq!(key.issued().as_millis(), 1_764_800_000_000);
/// # Ok::<(), pier_types::codes::ResultCode>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdempotencyKey {
    issued: times::WallTime,
    text: sync::Arc<str>,
}

impl IdempotencyKey {
    /// Returns when the caller issued the key.
    pub const fn issued(&self) -> times::WallTime {
        self.issued
    }

    /// Returns the key as the caller sent it.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl str::FromStr for IdempotencyKey {
    type Err = codes::ResultCode;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = codes::ResultCode::MalformedKey;
        let (issued, unique) = text.split_once('-').ok_or(malformed)?;
        let digits = issued.bytes().all(|byte| byte.is_ascii_digit()) && !issued.starts_with('0');
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_';
        let lengths = (1..=MAX_ISSUED_DIGITS).contains(&issued.len())
            && (MIN_UNIQUE_CHARS..=MAX_UNIQUE_CHARS).contains(&unique.len());
        if !digits || !lengths || !unique.bytes().all(allowed) {
            return Err(malformed);
        }
        let issued = issued.parse().map_err(|_error| malformed)?;
        Ok(Self {
            issued,
            text: text.into(),
        })
    }
}
