//! One event of a target's stream.

use serde::Deserialize;
use serde::de::IgnoredAny;

/// The mark that ends a stream.
const DONE_MARK: &[u8] = b"[DONE]";

/// The content of an event of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TokenEvent {
    /// A token.
    Token {
        /// Its position in the complete answer, from 0.
        index: u64,
        /// Whether it is the last one.
        last: bool,
    },
    /// The mark that ends the stream.
    Done,
    /// A comment or an empty event.
    Empty,
    /// Anything else.
    Unreadable,
}

/// The fields of a token that the node reads.
#[derive(Debug, Deserialize)]
struct TokenFields {
    index: u64,
    #[serde(default)]
    finish_reason: Option<IgnoredAny>,
}

impl TokenEvent {
    /// Parses an event without its blank line.
    pub(super) fn read(event: &[u8]) -> Self {
        let mut lines = event.split(|byte| *byte == b'\n');
        let Some(data) = lines.find_map(|line| line.strip_prefix(b"data:")) else {
            let is_named = event.starts_with(b"event:");
            return if is_named {
                Self::Unreadable
            } else {
                Self::Empty
            };
        };
        let data = data.trim_ascii();
        if data == DONE_MARK {
            return Self::Done;
        }
        match serde_json::from_slice::<TokenFields>(data) {
            Ok(fields) => Self::Token {
                index: fields.index,
                last: fields.finish_reason.is_some(),
            },
            Err(_unreadable) => Self::Unreadable,
        }
    }
}
