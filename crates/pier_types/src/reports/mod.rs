//! What engines and services report of themselves.

mod engine_report;
mod engine_state;

pub use engine_report::EngineReport;
pub use engine_state::EngineState;
