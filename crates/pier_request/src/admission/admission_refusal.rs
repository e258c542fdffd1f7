//! The reason that a request was not admitted.

use std::{error, fmt, time};

use pier_types::codes;

/// The result code of a refusal and when to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// The result code; its outcome is "not run".
    pub code: codes::ResultCode,
    /// How long to wait before a retry; `None` when a retry cannot help.
    pub retry_after: Option<time::Duration>,
}

impl fmt::Display for AdmissionRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code.meaning())
    }
}

impl error::Error for AdmissionRefusal {}
