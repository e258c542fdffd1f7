//! The recent demand of one class.

use std::time;

/// What requests of one urgency asked for lately and what they got, as one node saw it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassDemand {
    /// Requests that arrived, in thousandths of those of all classes that were sent to a target.
    pub wanted_permille: u32,
    /// Requests that were sent to a target, in thousandths of those of all classes.
    pub sent_permille: u32,
    /// Requests that were answered within their objective, in thousandths of those that were
    /// answered or refused.
    pub served_permille: u32,
    /// Prompt tokens that were sent to targets, in thousandths of those of all classes.
    pub work_permille: u32,
    /// Mean prompt tokens.
    pub prompt: u64,
    /// The shortest objective; `None` if no request arrived lately.
    pub objective: Option<time::Duration>,
}
