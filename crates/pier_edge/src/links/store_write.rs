//! How a write ended.

use pier_types::epochs;

use crate::links;

/// What is known of a write.
#[derive(Debug, Clone)]
pub enum StoreWrite {
    /// It took effect and made this version.
    Written(epochs::ObjectVersion),
    /// The record is another one now.
    Conflict(Option<links::StoreRecord>),
    /// It had no effect, or its effect is not known.
    Failed(links::StoreError),
}
