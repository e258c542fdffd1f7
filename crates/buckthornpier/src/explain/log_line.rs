//! A parsed line of a node's log.

use std::str;

/// A line of `key=value` pairs, with its time and its event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LogLine {
    /// The node that logged it.
    pub node: String,
    /// When it was logged; the fixed-width format makes times sort as strings.
    pub time: String,
    /// Name of the event.
    pub event: String,
    /// The other pairs, in the order of the line, without the level.
    pub pairs: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line; `None` when it has no time or no event.
    ///
    /// Log collectors put words of their own before the time, the last of which is the node's name.
    /// Without such words, the line is taken as logged by `node`.
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

/// Parses all pairs; `None` when a quoted value is not closed.
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

/// Parses up to the closing quote and returns the value and the rest of the text.
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
