//! The fields that later formats add to messages.

use pier_types::{epochs, sizes};
use serde::{Deserialize, Serialize};

/// Fields that follow a message of the unnumbered format. New ones are added at the end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MessageExtension {
    /// In heartbeats, the processor share of the sender's VM; 0 if unknown.
    pub cores: sizes::CoreShare,
    /// In relay messages, the version of the document that the steward has in force.
    pub document: epochs::ConfigVersion,
}
