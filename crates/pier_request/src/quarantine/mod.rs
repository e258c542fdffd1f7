//! Keeps the promise that a request which crashes its targets is kept away after few of them.
//!
//! A crash implicates every request that ran there. The crashes of several targets together tell
//! the cause from those that were only beside it. See `docs/design/retries-and-quarantine.md`.

mod crash_delta;
mod crash_evidence;
mod crash_history;
mod crash_mark;
mod loss_cause;
mod quarantine_set;

pub use crash_delta::CrashDelta;
use crash_evidence::CrashEvidence;
pub use crash_history::CrashHistory;
pub use crash_mark::CrashMark;
pub use loss_cause::LossCause;
pub use quarantine_set::QuarantineSet;
