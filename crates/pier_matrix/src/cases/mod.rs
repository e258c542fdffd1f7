//! Parsing of case files.

mod case_error;
mod fault_case;
mod play_line;

pub use case_error::CaseError;
pub use fault_case::FaultCase;
pub use play_line::PlayLine;
