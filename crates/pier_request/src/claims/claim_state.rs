//! The state of a claimed request.

use serde::{Deserialize, Serialize};

use crate::claims;

/// The state that a claim records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum ClaimState {
    /// The owner may dispatch the request or has dispatched it.
    Claimed,
    /// The request certainly did not run; the key may be claimed again.
    Released,
    /// The request ran, and its answer is stored.
    Finished {
        /// The answer, replayed when the caller sends the request again.
        answer: claims::StoredAnswer,
    },
    /// The request ran, and its answer was too large to store.
    FinishedUnkept,
    /// The request was dispatched, and its outcome is unknown.
    Lost,
}
