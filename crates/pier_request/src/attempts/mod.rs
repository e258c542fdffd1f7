//! Attempts of one request: ordering the parts of its answer and tracking whether it ran.
//!
//! Parts of an answer are accepted only from the current attempt and are relayed in the order of
//! their positions up to an explicit end. When no complete answer arrives, the caller is told
//! whether the request may have run.

mod attempt_end;
mod body_end;
mod part_status;
mod reorder_buffer;
mod stream_end;
mod unread_pause;
mod worst_outcome;

pub use attempt_end::AttemptEnd;
pub use body_end::{BodyEnd, BodyFraming, ContentEnd, EndEvidence, LifeSign};
pub use part_status::PartStatus;
pub use reorder_buffer::ReorderBuffer;
pub use stream_end::StreamEnd;
pub use unread_pause::UnreadPause;
pub use worst_outcome::WorstOutcome;
