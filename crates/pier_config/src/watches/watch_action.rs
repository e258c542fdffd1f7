//! What a node does next about its configuration.

use pier_types::ids;

use crate::watches;

/// An action that [`watches::ConfigWatcher`] requests from its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchAction {
    /// Bring a version into force; it is higher than all earlier ones.
    Apply(watches::ParsedConfig),
    /// Ask a peer for its copy.
    AskPeer(ids::NodeName),
    /// Read the document from the platform now.
    ReadPlatform,
    /// Log an error for operators.
    Report(watches::WatchReport),
}
