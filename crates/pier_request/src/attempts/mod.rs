//! Keeps the promise that each caller gets the whole answer to its own request.
//!
//! Parts of an answer are taken only from the attempt that is awaited, in the order of their
//! positions, up to an explicit end; and a request that got none is told truthfully whether it ran.

mod attempt_end;
mod attempt_tracker;
mod outcome_ledger;
mod part_verdict;
mod stream_end;

pub use attempt_end::AttemptEnd;
pub use attempt_tracker::AttemptTracker;
pub use outcome_ledger::OutcomeLedger;
pub use part_verdict::PartVerdict;
pub use stream_end::StreamEnd;
