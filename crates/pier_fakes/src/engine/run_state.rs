//! The life of one request in an engine.

use pier_types::{epochs, ids};

/// Why a request ended before its answer was whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunLoss {
    /// The node cancelled it.
    Cancelled,
    /// The engine came down.
    EngineDown,
    /// The engine was given another group or generation.
    Regrouped,
    /// Nobody waits for it any more.
    Disconnected,
}

impl RunLoss {
    /// Returns the reason in a few words.
    pub fn text(self) -> &'static str {
        match self {
            Self::Cancelled => "cancelled",
            Self::EngineDown => "engine down",
            Self::Regrouped => "regrouped",
            Self::Disconnected => "disconnected",
        }
    }
}

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// Waits for a place.
    Queued,
    /// Produces tokens.
    Running,
    /// Ended without ever having run.
    Dropped(RunLoss),
    /// Ended while it ran.
    Lost(RunLoss),
}

/// What a request says of where it should run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRequest {
    /// Its place in the record.
    pub sequence: u64,
    /// The attempt, if named.
    pub attempt: Option<String>,
    /// Greater runs first.
    pub priority: u8,
    /// The group that it was sent to.
    pub group: Option<ids::GroupId>,
    /// The generation that the sender believes in.
    pub generation: Option<epochs::GroupGeneration>,
    /// The model that it asks for.
    pub model: Option<ids::ModelName>,
    /// The prompt's prefix, by its hash.
    pub prefix: String,
}

/// Why an engine did not start a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmitRefusal {
    /// It holds no weights yet.
    NotLoaded,
    /// It belongs to another group or generation, or is not its first member.
    WrongGroup,
    /// It holds another model.
    WrongModel,
}

impl AdmitRefusal {
    /// Returns the reason in a few words.
    pub fn text(self) -> &'static str {
        match self {
            Self::NotLoaded => "not loaded",
            Self::WrongGroup => "wrong group",
            Self::WrongModel => "wrong model",
        }
    }
}
