//! The prompt of a model request.

use std::fmt::{self, Write as _};

use serde::{Deserialize, Deserializer as _, de};
use serde_json::value::RawValue;

/// Bytes of the messages that are kept: more than the prefix that engines hash.
const KEPT_BYTES: usize = 1 << 10;

/// The fields that make up a prompt; values of an unexpected form count as empty text.
///
/// They are kept as they were sent, as a body of allowed size can hold millions of values.
#[derive(Debug)]
pub(super) struct PromptFields<'a> {
    prompt: Option<&'a RawValue>,
    messages: Option<&'a RawValue>,
}

/// The fields of a message.
#[derive(Debug, Default, Deserialize)]
struct MessageFields<'a> {
    #[serde(borrow, default)]
    role: Option<&'a RawValue>,
    #[serde(borrow, default)]
    content: Option<&'a RawValue>,
}

impl<'a> PromptFields<'a> {
    /// Wraps the fields; `None` stands for a missing field and null.
    pub(super) const fn new(prompt: Option<&'a RawValue>, messages: Option<&'a RawValue>) -> Self {
        Self { prompt, messages }
    }

    /// Returns whether there is an array of chat messages.
    pub(super) fn has_messages(&self) -> bool {
        let messages = self.messages.map(RawValue::get);
        messages.is_some_and(|messages| messages.starts_with('['))
    }

    /// Returns whether there is a plain prompt.
    pub(super) fn has_prompt(&self) -> bool {
        self.prompt.is_some()
    }

    /// Returns the beginning of the prompt as one text, in the form in which engines hash its prefix.
    pub(super) fn text(&self) -> String {
        let mut text = text_of(self.prompt);
        let messages = self.messages.map(RawValue::get).unwrap_or_default();
        let lines = serde_json::Deserializer::from_str(messages).deserialize_seq(LineVisitor);
        text += &lines.unwrap_or_default();
        text
    }
}

fn text_of(value: Option<&RawValue>) -> String {
    let text = value.and_then(|value| serde_json::from_str(value.get()).ok());
    text.unwrap_or_default()
}

/// Reads an array of messages, and keeps the lines of the first ones.
struct LineVisitor;

impl<'de> de::Visitor<'de> for LineVisitor {
    type Value = String;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an array of messages")
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<String, A::Error> {
        let mut lines = String::new();
        while let Some(message) = seq.next_element::<&RawValue>()? {
            if lines.len() < KEPT_BYTES {
                let fields: MessageFields<'_> =
                    serde_json::from_str(message.get()).unwrap_or_default();
                let (role, content) = (text_of(fields.role), text_of(fields.content));
                // Writing to a string never fails.
                let _ = writeln!(lines, "{role}: {content}");
            }
        }
        Ok(lines)
    }
}
