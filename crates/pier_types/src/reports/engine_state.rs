//! The states of an engine.

use serde::{Deserialize, Serialize};

/// How far an engine is from full capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineState {
    /// Has no model loaded.
    Empty,
    /// Is reading weights from the weight store.
    Loading,
    /// Can serve a few requests; full load would crash it.
    Cold,
    /// Can serve up to its full limit.
    Warm,
}
