//! Reads the entries of one section.

use std::{collections, fmt, ops, str};

use crate::faults;

/// Longest excerpt of a refused value in a fault, in characters.
const MAX_EXCERPT_CHARS: usize = 80;

/// Longest free text, in bytes.
const MAX_TEXT_BYTES: usize = 200;
/// The rules of [`plain_text`], for error messages.
pub(crate) const TEXT_ALLOWED: &str = "1 to 200 bytes without backslashes and control characters";

/// Reads one section's entries; collects faults and the keys that were read.
pub(crate) struct SectionReader<'a> {
    section: String,
    entries: collections::BTreeMap<&'a str, &'a str>,
    faults: &'a mut Vec<faults::EntryFault>,
    known_keys: Vec<&'static str>,
}

impl<'a> SectionReader<'a> {
    /// Reads a section's entries; a duplicate key is a fault.
    pub(crate) fn new(
        section: &str,
        properties: &'a ini::Properties,
        faults: &'a mut Vec<faults::EntryFault>,
    ) -> Self {
        let mut reader = Self {
            section: section.to_owned(),
            entries: collections::BTreeMap::new(),
            faults,
            known_keys: Vec::new(),
        };
        for (key, value) in properties {
            if reader.entries.insert(key, value).is_some() {
                reader.add_fault(key, "the key twice".to_owned(), "each key once");
            }
        }
        reader
    }

    /// Adds a fault.
    pub(crate) fn add_fault(&mut self, key: &str, found: String, allowed: &str) {
        self.faults.push(faults::EntryFault {
            section: self.section.clone(),
            key: key.to_owned(),
            found,
            allowed: allowed.to_owned(),
        });
    }

    /// Takes the text of an entry.
    pub(crate) fn take(&mut self, key: &'static str) -> Option<&'a str> {
        self.known_keys.push(key);
        self.entries.remove(key)
    }

    /// Takes a required entry.
    pub(crate) fn required<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let Some(text) = self.take(key) else {
            self.add_fault(key, "nothing".to_owned(), allowed);
            return None;
        };
        self.accept(key, text, allowed, parse)
    }

    /// Takes an entry, or the default if it is absent.
    pub(crate) fn optional<T>(
        &mut self,
        key: &'static str,
        default: T,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        match self.take(key) {
            None => Some(default),
            Some(text) => self.accept(key, text, allowed, parse),
        }
    }

    /// Takes a required free text.
    pub(crate) fn text(&mut self, key: &'static str) -> Option<String> {
        self.required(key, TEXT_ALLOWED, plain_text)
    }

    /// Takes a whole number within a range; required if there is no default.
    pub(crate) fn number(
        &mut self,
        key: &'static str,
        range: ops::RangeInclusive<u64>,
        default: Option<u64>,
    ) -> Option<u64> {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let parse = |text: &str| {
            let number = text.parse::<u64>().ok()?;
            range.contains(&number).then_some(number)
        };
        match default {
            Some(default) => self.optional(key, default, &allowed, parse),
            None => self.required(key, &allowed, parse),
        }
    }

    /// Takes a whole number that fits into 32 bits.
    pub(crate) fn small_number(
        &mut self,
        key: &'static str,
        range: ops::RangeInclusive<u32>,
        default: Option<u32>,
    ) -> Option<u32> {
        let range = u64::from(*range.start())..=u64::from(*range.end());
        let number = self.number(key, range, default.map(u64::from))?;
        u32::try_from(number).ok()
    }

    /// Takes a comma-separated list of names; empty if absent.
    pub(crate) fn names<T>(&mut self, key: &'static str) -> Vec<T>
    where
        T: str::FromStr,
        T::Err: fmt::Display,
    {
        let text = self.take(key).unwrap_or_default();
        let mut names = Vec::new();
        for part in text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
        {
            match part.parse() {
                Ok(name) => names.push(name),
                Err(_) => self.add_fault(key, quote(part), "names parted by commas"),
            }
        }
        names
    }

    /// Takes all entries whose key starts with a prefix; returns the key suffixes and the values.
    pub(crate) fn take_prefixed(&mut self, prefix: &str) -> Vec<(&'a str, &'a str)> {
        let entries = self.entries.iter();
        let found = entries
            .filter_map(|(key, value)| Some((key.strip_prefix(prefix)?, *value)))
            .collect::<Vec<_>>();
        self.entries.retain(|key, _value| !key.starts_with(prefix));
        found
    }

    /// Ends the section: each entry that was not taken is a fault.
    ///
    /// `more_keys` names the keys that were taken by prefix, for the fault's list of allowed keys.
    pub(crate) fn finish(mut self, more_keys: &str) {
        let mut allowed = self.known_keys.join(", ");
        if !more_keys.is_empty() {
            let comma = if allowed.is_empty() { "" } else { ", " };
            allowed = format!("{allowed}{comma}{more_keys}");
        }
        let unknown_keys = std::mem::take(&mut self.entries);
        for key in unknown_keys.into_keys() {
            self.add_fault(key, "an unknown key".to_owned(), &allowed);
        }
    }

    fn accept<T>(
        &mut self,
        key: &str,
        text: &str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let value = parse(text);
        if value.is_none() {
            self.add_fault(key, quote(text), allowed);
        }
        value
    }
}

/// Accepts a text that can be written and read back unchanged: a backslash could join two lines.
pub(crate) fn plain_text(text: &str) -> Option<String> {
    let is_allowed = |character: char| character != '\\' && !character.is_control();
    let fits = (1..=MAX_TEXT_BYTES).contains(&text.len());
    (fits && text.chars().all(is_allowed)).then(|| text.to_owned())
}

/// Quotes the beginning of a refused value.
pub(crate) fn quote(text: &str) -> String {
    let excerpt = text.chars().take(MAX_EXCERPT_CHARS).collect::<String>();
    format!("{excerpt:?}")
}
