//! The reason that no target was chosen.

use std::{error, fmt};

use pier_types::codes;

/// Why an attempt got no target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteRefusal {
    /// No target of the pool accepts requests, or all of them were tried.
    NoTarget,
    /// Every target that could serve the attempt has its share in use.
    AllFull,
}

impl RouteRefusal {
    /// Returns the result code.
    pub const fn code(self) -> codes::ResultCode {
        match self {
            Self::NoTarget => codes::ResultCode::NoServingTarget,
            Self::AllFull => codes::ResultCode::Overloaded,
        }
    }
}

impl fmt::Display for RouteRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code().meaning())
    }
}

impl error::Error for RouteRefusal {}
