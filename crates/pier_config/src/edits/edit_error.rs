//! The error for an edit that cannot be made.

use std::{error, fmt};

use pier_types::ids;

use crate::faults;

/// The reason that an edit was refused; nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditError {
    /// The document to be edited is invalid.
    BaseInvalid(faults::DocumentError),
    /// The edited document would be invalid.
    ResultInvalid(faults::DocumentError),
    /// Editing the text by line would not change the intended entry alone.
    ResultUnexpected,
    /// There is no document yet.
    NoDocument,
    /// The document does not name the data centre.
    UnknownDataCentre {
        /// The requested name.
        name: ids::DataCentreName,
        /// The names in the document.
        known: Vec<ids::DataCentreName>,
    },
    /// No data centre would be left in service.
    LastDataCentre(ids::DataCentreName),
    /// The target is not drained.
    NotDrained(ids::VmName),
}

impl fmt::Display for EditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BaseInvalid(error) => write!(f, "the current document is invalid: {error}"),
            Self::ResultInvalid(error) => write!(f, "the edited document is invalid: {error}"),
            Self::ResultUnexpected => f.write_str(
                "the text cannot be edited safely by line; edit it and use `config apply`",
            ),
            Self::NoDocument => f.write_str("there is no document yet; use `config apply`"),
            Self::UnknownDataCentre { name, known } => {
                let known = known.iter().map(ids::DataCentreName::as_str);
                let known = known.collect::<Vec<_>>().join(", ");
                write!(f, "data centre: found {name}; allowed: {known}")
            }
            Self::LastDataCentre(name) => {
                write!(f, "data centre {name} is the last one in service")
            }
            Self::NotDrained(vm) => write!(f, "target {vm} is not drained"),
        }
    }
}

impl error::Error for EditError {}
