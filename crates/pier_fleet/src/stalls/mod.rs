//! When a target that stays silent counts as stuck.

mod progress_facts;
mod stall_judge;

pub use progress_facts::ProgressFacts;
pub use stall_judge::StallJudge;
