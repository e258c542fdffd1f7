//! Quarantine: stops sending a request to targets after it crashed a few of them.
//!
//! The crash of a target implicates every request that was running on it. The crashes of several
//! targets together separate the request that caused them from those that only ran alongside. A
//! suspected request is held back briefly and may then run once more: one that completes is
//! cleared, one that crashes a further target is quarantined. See
//! `docs/design/retries-and-quarantine.md`.

mod crash_delta;
mod crash_evidence;
mod crash_history;
mod crash_mark;
mod loss_cause;
mod marked_request;
mod quarantine_set;

pub use crash_delta::CrashDelta;
use crash_evidence::{CrashEvidence, CrashVerdict, QUARANTINE_CRASHES};
pub use crash_history::CrashHistory;
pub use crash_mark::CrashMark;
pub use loss_cause::LossCause;
use marked_request::{CrashKey, MarkedRequest, SuspectCount};
pub use quarantine_set::QuarantineSet;
