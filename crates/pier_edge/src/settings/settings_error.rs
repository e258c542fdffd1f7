//! Why settings were refused.

use std::{error, fmt};

/// A fault in the settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// The file can not be read or is no INI file.
    Unreadable(String),
    /// A value is missing.
    Missing {
        /// Section of the file.
        section: &'static str,
        /// Key in the section.
        key: &'static str,
    },
    /// A value has another form than the key asks for.
    Malformed {
        /// Section of the file.
        section: &'static str,
        /// Key in the section.
        key: &'static str,
        /// The value that was found.
        value: String,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(reason) => write!(f, "settings can not be read: {reason}"),
            Self::Missing { section, key } => write!(f, "[{section}] {key} is missing"),
            Self::Malformed {
                section,
                key,
                value,
            } => write!(f, "[{section}] {key} = {value:?} is malformed"),
        }
    }
}

impl error::Error for SettingsError {}
