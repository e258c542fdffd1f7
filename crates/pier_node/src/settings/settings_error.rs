//! The faults of a settings file.

use std::{error, fmt};

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFault {
    /// The section, without brackets.
    pub section: String,
    /// The key.
    pub key: String,
    /// The value in the file; empty when the key is missing.
    pub found: String,
    /// The allowed values, in words.
    pub allowed: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            section,
            key,
            found,
            allowed,
        } = self;
        write!(
            f,
            "section={section} key={key} found={found:?} allowed={allowed:?}"
        )
    }
}

/// All faults of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The faults, in the order in which the keys are read; unknown keys come last.
    pub faults: Vec<SettingsFault>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} faults in the settings", self.faults.len())?;
        for fault in &self.faults {
            write!(f, "\n{fault}")?;
        }
        Ok(())
    }
}

impl error::Error for SettingsError {}
