//! Detects targets that are stuck: they hold requests and make no progress.

mod progress_facts;
mod stall_detector;

pub use progress_facts::ProgressFacts;
pub use stall_detector::StallDetector;
