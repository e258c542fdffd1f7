//! The outcome of a write to the store.

use pier_types::epochs;

use crate::links;

/// What is known about a write after the call.
#[derive(Debug, Clone)]
pub enum StoreWrite {
    /// The record was written and has this version.
    Written(epochs::ObjectVersion),
    /// The record has another version; its current content, if known.
    Conflict(Option<links::StoreRecord>),
    /// The write had no effect, or whether it took effect is unknown.
    Failed(links::StoreError),
}
