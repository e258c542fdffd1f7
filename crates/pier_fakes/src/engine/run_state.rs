//! A request in an engine: its state, and why it was refused or lost.

use pier_types::{epochs, ids};

/// Why a request ended before its answer was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunLoss {
    /// The node cancelled it.
    Cancelled,
    /// The engine crashed or restarted.
    EngineDown,
    /// The engine was given another group or generation.
    Regrouped,
    /// The caller disconnected.
    Disconnected,
}

impl RunLoss {
    /// Returns the reason as it appears in the record.
    pub fn text(self) -> &'static str {
        match self {
            Self::Cancelled => "cancelled",
            Self::EngineDown => "engine down",
            Self::Regrouped => "regrouped",
            Self::Disconnected => "disconnected",
        }
    }
}

/// The state of an admitted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// Waits for a free running slot.
    Queued,
    /// Produces tokens.
    Running,
    /// Ended before it ran.
    Dropped(RunLoss),
    /// Ended while it was running.
    Lost(RunLoss),
}

/// The properties of a request that decide whether and when it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRequest {
    /// Its sequence in the record.
    pub sequence: u64,
    /// The attempt id, if sent.
    pub attempt: Option<String>,
    /// Higher priorities run first.
    pub priority: u8,
    /// The group that it was sent to.
    pub group: Option<ids::GroupId>,
    /// The group generation that the sender knows.
    pub generation: Option<epochs::GroupGeneration>,
    /// The model that it asks for.
    pub model: Option<ids::ModelName>,
    /// The hash of the prompt's prefix.
    pub prefix: String,
}

/// Why an engine did not start a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmitRefusal {
    /// No weights are loaded.
    NotLoaded,
    /// The request names another group or generation, or the engine does not have rank 0.
    WrongGroup,
    /// Another model is loaded.
    WrongModel,
}

impl AdmitRefusal {
    /// Returns the reason as it appears in the record.
    pub fn text(self) -> &'static str {
        match self {
            Self::NotLoaded => "not loaded",
            Self::WrongGroup => "wrong group",
            Self::WrongModel => "wrong model",
        }
    }
}
