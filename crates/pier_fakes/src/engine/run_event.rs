//! The events that a run sends to its reply.

/// One event of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RunEvent {
    /// The run started; tokens follow.
    Started,
    /// One token.
    Token {
        /// Its position in the whole answer.
        index: u64,
        /// Its text.
        text: String,
        /// Whether it is the last.
        last: bool,
    },
    /// The answer is complete.
    Done,
    /// The run never started.
    Dropped,
    /// The run ended before its answer was complete.
    Lost,
}
