//! Reads typed values and collects all faults.

use std::{collections, str};

use crate::settings;

/// A settings file being read; records which keys are known.
#[derive(Debug)]
pub(super) struct SettingsReader<'a> {
    file: &'a ini::Ini,
    known: collections::BTreeSet<(&'static str, &'static str)>,
    faults: Vec<settings::SettingsFault>,
}

impl<'a> SettingsReader<'a> {
    /// Creates a reader for a file.
    pub(super) fn new(file: &'a ini::Ini) -> Self {
        Self {
            file,
            known: collections::BTreeSet::new(),
            faults: Vec::new(),
        }
    }

    /// Reads a required key. Faults are kept for [`SettingsReader::finish`].
    pub(super) fn required<T: str::FromStr>(
        &mut self,
        section: &'static str,
        key: &'static str,
        allowed: &str,
    ) -> Option<T> {
        let found = self.text(section, key);
        if found.is_none() {
            self.refuse(section, key, "", allowed);
        }
        self.parse(section, key, found?, allowed)
    }

    /// Reads an optional key.
    pub(super) fn optional<T: str::FromStr>(
        &mut self,
        section: &'static str,
        key: &'static str,
        allowed: &str,
    ) -> Option<T> {
        let found = self.text(section, key)?;
        self.parse(section, key, found, allowed)
    }

    /// Reads a comma-separated list; a missing key is an empty list.
    pub(super) fn list<T: str::FromStr>(
        &mut self,
        section: &'static str,
        key: &'static str,
        allowed: &str,
    ) -> Vec<T> {
        let Some(found) = self.text(section, key) else {
            return Vec::new();
        };
        let items = found
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty());
        items
            .filter_map(|item| self.parse(section, key, item, allowed))
            .collect()
    }

    /// Adds a fault.
    pub(super) fn refuse(&mut self, section: &str, key: &str, found: &str, allowed: &str) {
        self.faults.push(settings::SettingsFault {
            section: section.to_owned(),
            key: key.to_owned(),
            found: found.to_owned(),
            allowed: allowed.to_owned(),
        });
    }

    /// Checks for unknown keys.
    ///
    /// # Errors
    ///
    /// Fails with all faults if there are any; an unknown key is a fault.
    pub(super) fn finish(mut self) -> Result<(), settings::SettingsError> {
        self.refuse_unknown_keys();
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(settings::SettingsError {
            faults: self.faults,
        })
    }

    fn refuse_unknown_keys(&mut self) {
        for (section, properties) in self.file {
            let section = section.unwrap_or("");
            for (key, found) in properties {
                let known = self.known.iter().any(|entry| *entry == (section, key));
                if !known {
                    self.refuse(
                        section,
                        key,
                        found,
                        "a key of docs/operators/install-and-settings.md",
                    );
                }
            }
        }
    }

    fn text(&mut self, section: &'static str, key: &'static str) -> Option<&'a str> {
        self.known.insert((section, key));
        self.file.get_from(Some(section), key).map(str::trim)
    }

    fn parse<T: str::FromStr>(
        &mut self,
        section: &str,
        key: &str,
        found: &str,
        allowed: &str,
    ) -> Option<T> {
        let parsed = found.parse().ok();
        if parsed.is_none() {
            self.refuse(section, key, found, allowed);
        }
        parsed
    }
}
