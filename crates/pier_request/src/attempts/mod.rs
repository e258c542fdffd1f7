//! Keeps the promise that each caller gets the whole answer to its own request.
//!
//! Parts of an answer are taken only from the attempt that is awaited, in the order of their
//! positions, up to an explicit end; and a request that got none is told truthfully whether it ran.

mod attempt_end;
mod part_status;
mod reorder_buffer;
mod stream_end;
mod worst_outcome;

pub use attempt_end::AttemptEnd;
pub use part_status::PartStatus;
pub use reorder_buffer::ReorderBuffer;
pub use stream_end::StreamEnd;
pub use worst_outcome::WorstOutcome;
