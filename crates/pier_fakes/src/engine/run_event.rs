//! What a run hands to its reply.

/// One step of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RunEvent {
    /// The run got a place; tokens follow.
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
    /// The answer is whole.
    Done,
    /// The run never started.
    Dropped,
    /// The run broke off.
    Lost,
}
