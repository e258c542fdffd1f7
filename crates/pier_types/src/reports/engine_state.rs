//! The states of an engine.

use serde::{Deserialize, Serialize};

/// How far an engine is from full speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineState {
    /// Holds no weights.
    Empty,
    /// Reads weights from the store.
    Loading,
    /// Can serve a little; full load would bring it down.
    Cold,
    /// Can serve up to its full limit.
    Warm,
}
