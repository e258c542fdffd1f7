//! Numbered result codes, and whether a failed request ran.

mod result_code;
mod run_outcome;

pub use result_code::ResultCode;
pub use run_outcome::RunOutcome;
