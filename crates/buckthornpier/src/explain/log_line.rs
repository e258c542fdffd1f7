//! One line of a node's log.

use std::str;

/// A line of `key=value` pairs, with its time and its event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LogLine {
    /// The node whose log it stands in.
    pub node: String,
    /// When it was written; times of one format are in order as texts.
    pub time: String,
    /// What happened.
    pub event: String,
    /// The other pairs, in their order.
    pub pairs: Vec<(String, String)>,
}

impl LogLine {
    /// Reads a line; none when it has no time or no event. Collectors put words of their own before the
    /// time, of which the last one names the node; without one it is `node`.
    pub(crate) fn parse(node: &str, text: &str) -> Option<Self> {
        let start = text.find("time=")?;
        let mut pairs = read_pairs(&text[start..])?.into_iter();
        let (_key, time) = pairs.next()?;
        let words = text[..start].split_whitespace();
        let mut pairs: Vec<_> = pairs.filter(|(key, _value)| key != "level").collect();
        let at = pairs.iter().position(|(key, _value)| key == "event")?;
        let (_key, event) = pairs.remove(at);
        Some(Self {
            node: words.last().unwrap_or(node).to_owned(),
            time,
            event,
            pairs,
        })
    }

    /// Returns the value of a key.
    pub(crate) fn value(&self, key: &str) -> Option<&str> {
        let mut pairs = self.pairs.iter();
        let found = pairs.find(|(known, _value)| known == key);
        found.map(|(_key, value)| value.as_str())
    }
}

/// Reads all pairs; none when a quote does not end.
fn read_pairs(text: &str) -> Option<Vec<(String, String)>> {
    let mut pairs = Vec::new();
    let mut rest = text.trim_start();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, after) = match after.strip_prefix('"') {
            Some(quoted) => read_quoted(quoted)?,
            None => match after.split_once(' ') {
                Some((value, after)) => (value.to_owned(), after),
                None => (after.to_owned(), ""),
            },
        };
        pairs.push((key.to_owned(), value));
        rest = after.trim_start();
    }
    Some(pairs)
}

/// Reads up to the closing quote, and returns what stands behind it.
fn read_quoted(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut chars: str::CharIndices<'_> = text.char_indices();
    while let Some((at, char)) = chars.next() {
        match char {
            '"' => return Some((value, &text[at + 1..])),
            '\\' => value.push(chars.next()?.1),
            char => value.push(char),
        }
    }
    None
}
