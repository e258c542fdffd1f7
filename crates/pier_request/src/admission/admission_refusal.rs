//! Why a request was not admitted.

use std::{error, fmt, time};

use pier_types::codes;

/// A refusal and when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// The result code; its outcome is "not run".
    pub code: codes::ResultCode,
    /// When to come back; nothing when coming back can not help.
    pub retry_after: Option<time::Duration>,
}

impl fmt::Display for AdmissionRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code.meaning())
    }
}

impl error::Error for AdmissionRefusal {}
