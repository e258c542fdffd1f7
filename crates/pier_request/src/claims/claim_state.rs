//! What became of a claimed request.

use serde::{Deserialize, Serialize};

use crate::claims;

/// The state that a claim records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum ClaimState {
    /// The owner may dispatch it, or has done so.
    Claimed,
    /// The owner gave the claim up before any byte could run; the key may be claimed again.
    Released,
    /// It ran, and this is its answer.
    Finished {
        /// The answer, replayed to each re-send.
        answer: claims::StoredAnswer,
    },
    /// It ran, and the answer is too large to be kept.
    FinishedUnkept,
    /// It was dispatched, and its outcome is unknown.
    Lost,
}
