//! Why a send brought no answer.

/// How far a send came that brought no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum SendFault {
    /// No connection came about.
    Unreached(String),
    /// The connection ended before any byte of the request was written.
    NotSent(String),
    /// The request may have run.
    MayHaveRun(String),
    /// The target was found stuck, or its group broke.
    Stuck,
    /// The time for this send is over.
    TimedOut,
}

impl SendFault {
    /// Tells whether a byte of the request may have reached the target.
    pub(super) const fn may_have_run(&self) -> bool {
        matches!(self, Self::MayHaveRun(_) | Self::Stuck | Self::TimedOut)
    }
}
