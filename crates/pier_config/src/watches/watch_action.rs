//! What a node is to do about its configuration.

use pier_types::ids;

use crate::watches;

/// The next step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchAction {
    /// Bring a version into force; it is higher than all before.
    Apply(watches::ParsedConfig),
    /// Ask a peer for its copy.
    AskPeer(ids::NodeName),
    /// Read the document from the platform now.
    ReadPlatform,
    /// Say it loudly.
    Report(watches::WatchReport),
}
