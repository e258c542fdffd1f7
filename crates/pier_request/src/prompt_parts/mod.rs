//! Quarantine of parts of prompts: stops sending requests with a part that crashes targets, whatever
//! else they hold.
//!
//! The crash of a target implicates the shared parts of every request that was lost with it. Parts
//! of answers that were completed are sound; what is left on several crashes is held. While several
//! parts were on the same crashes, only requests with all of them are held, so that the others show
//! which part it is. See `docs/design/retries-and-quarantine.md`.

mod part_evidence;
mod part_history;
mod part_mark;
mod part_quarantine;

use part_evidence::PartEvidence;
pub use part_history::PartHistory;
pub use part_mark::{PartDelta, PartMark};
pub use part_quarantine::PartQuarantine;
use part_quarantine::{CrashId, HeldParts};
