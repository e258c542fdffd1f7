//! Compares what callers received with what the engines recorded.

mod call_review;
mod drive_phase;
mod engine_review;
mod phase_review;

pub use call_review::CallReview;
pub use drive_phase::{DrivePhase, PhaseTimes};
pub use engine_review::EngineReview;
pub use phase_review::PhaseReview;
