//! Numbered results and the three outcomes of a request that was not answered.

mod result_code;
mod run_outcome;

pub use result_code::ResultCode;
pub use run_outcome::RunOutcome;
