//! The error for an invalid document.

use std::{error, fmt};

use crate::faults;

/// The error for a refused document, with every fault in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentError {
    /// The faults in the order in which they were found; never empty.
    pub faults: Vec<faults::EntryFault>,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} fault(s) in the document", self.faults.len())?;
        for fault in &self.faults {
            write!(f, "\n{fault}")?;
        }
        Ok(())
    }
}

impl error::Error for DocumentError {}
