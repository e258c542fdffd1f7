//! Errors in the settings.

use std::{error, fmt};

/// Why a settings file was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read or is not an INI file.
    Unreadable(String),
    /// A value is missing.
    Missing {
        /// Section of the file.
        section: &'static str,
        /// Key in the section.
        key: &'static str,
    },
    /// A value does not have the form that its key requires.
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
            Self::Unreadable(reason) => write!(f, "settings cannot be read: {reason}"),
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
