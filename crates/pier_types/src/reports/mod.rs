//! Status reports of engines and plain services.

mod engine_report;
mod engine_state;

pub use engine_report::EngineReport;
pub use engine_state::EngineState;
