//! Where news of the configuration arrives.

use std::net;

use pier_config::watches;
use pier_types::{epochs, ids};
use tokio::sync::mpsc;

/// News that may wait for the loop; more are dropped and told again by their senders.
const INBOX_LENGTH: usize = 256;

/// News of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigEvent {
    /// A peer holds a version in force.
    Hint {
        /// The peer.
        node: ids::NodeName,
        /// Where it accepts other nodes.
        address: net::SocketAddr,
        /// The version.
        version: epochs::ConfigVersion,
    },
    /// A copy arrived.
    Copy(watches::ConfigCopy),
    /// The platform has no document.
    Absent,
    /// The platform stopped answering, or answers again.
    PlatformUnavailable(bool),
}

/// Takes news for the loop; a clone is cheap.
#[derive(Debug, Clone)]
pub struct ConfigInbox {
    sender: mpsc::Sender<ConfigEvent>,
}

impl ConfigInbox {
    /// Makes an inbox and the end that the loop reads.
    pub(super) fn open() -> (Self, mpsc::Receiver<ConfigEvent>) {
        let (sender, receiver) = mpsc::channel(INBOX_LENGTH);
        (Self { sender }, receiver)
    }

    /// Tells that a peer holds a version in force; never waits.
    pub fn hint(
        &self,
        node: ids::NodeName,
        address: net::SocketAddr,
        version: epochs::ConfigVersion,
    ) {
        let event = ConfigEvent::Hint {
            node,
            address,
            version,
        };
        // A hint that finds no room comes again with the peer's next sign of life.
        let _dropped = self.sender.try_send(event);
    }

    /// Hands news over, waiting for room.
    pub(super) async fn send(&self, event: ConfigEvent) {
        // The loop ends with the runtime alone.
        let _ended = self.sender.send(event).await;
    }
}
