//! Why an edit was refused.

use std::{error, fmt};

use pier_types::ids;

use crate::faults;

/// Why an edit was refused; nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditError {
    /// The document to be edited does not parse.
    BaseInvalid(faults::DocumentError),
    /// The edited text does not parse.
    ResultInvalid(faults::DocumentError),
    /// The edit would not change just what it is meant to.
    ResultUnexpected,
    /// There is no document yet.
    NoDocument,
    /// The document names no such data centre.
    UnknownDataCentre {
        /// The name asked for.
        name: ids::DataCentreName,
        /// The names that exist.
        known: Vec<ids::DataCentreName>,
    },
    /// No other data centre would be left in service.
    LastDataCentre(ids::DataCentreName),
    /// The target was not drained.
    NotDrained(ids::VmName),
}

impl fmt::Display for EditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BaseInvalid(error) => write!(f, "the document in place is refused: {error}"),
            Self::ResultInvalid(error) => write!(f, "the edited document is refused: {error}"),
            Self::ResultUnexpected => f.write_str(
                "the text can not be edited safely by line; edit it and use `config apply`",
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
