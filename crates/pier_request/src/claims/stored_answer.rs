//! The answer that is stored with its claim.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

/// A complete answer of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body.
    pub body: StoredBody,
}

/// A body in a form that JSON can represent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoredBody {
    /// Valid UTF-8.
    Text(String),
    /// Bytes that are not valid UTF-8, as two hexadecimal digits each.
    Hex(String),
}

impl StoredBody {
    /// Copies the bytes into the form that fits them.
    pub fn of(bytes: &[u8]) -> Self {
        match str::from_utf8(bytes) {
            Ok(text) => Self::Text(text.to_owned()),
            Err(_not_text) => Self::Hex(to_hex(bytes)),
        }
    }

    /// Returns the bytes, or `None` when the hexadecimal digits are invalid.
    pub fn to_bytes(&self) -> Option<Vec<u8>> {
        match self {
            Self::Text(text) => Some(text.as_bytes().to_vec()),
            Self::Hex(digits) => from_hex(digits),
        }
    }
}

fn to_hex(bytes: &[u8]) -> String {
    let mut digits = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a `String` never fails.
        let _ = write!(digits, "{byte:02x}");
    }
    digits
}

fn from_hex(digits: &str) -> Option<Vec<u8>> {
    let pairs = digits.as_bytes().chunks(2);
    pairs
        .map(|pair| u8::from_str_radix(str::from_utf8(pair).ok()?, 16).ok())
        .collect()
}
