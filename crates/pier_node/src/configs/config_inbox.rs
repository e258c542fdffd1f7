//! The queue of events for the configuration loop.

use std::net;

use pier_config::watches;
use pier_types::{epochs, ids};
use tokio::sync::mpsc;

/// Maximum number of queued events; hints beyond it are dropped and repeated by their senders.
const INBOX_LENGTH: usize = 256;

/// An event for the configuration loop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigEvent {
    /// A peer reported the version that it has in force.
    Hint {
        /// The peer.
        node: ids::NodeName,
        /// The address on which the peer accepts other nodes.
        address: net::SocketAddr,
        /// The version.
        version: epochs::ConfigVersion,
    },
    /// A copy of the document arrived.
    Copy(watches::ConfigCopy),
    /// The platform has no document.
    Absent,
    /// The platform stopped answering (true), or answers again (false).
    PlatformUnavailable(bool),
}

/// The sending end of the loop's event queue; cheap to clone.
#[derive(Debug, Clone)]
pub struct ConfigInbox {
    sender: mpsc::Sender<ConfigEvent>,
}

impl ConfigInbox {
    /// Creates an inbox and the receiver for the loop.
    pub(super) fn open() -> (Self, mpsc::Receiver<ConfigEvent>) {
        let (sender, receiver) = mpsc::channel(INBOX_LENGTH);
        (Self { sender }, receiver)
    }

    /// Reports the version that a peer has in force; never waits.
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
        // A hint dropped because the queue is full is repeated by the peer's next heartbeat.
        let _dropped = self.sender.try_send(event);
    }

    /// Sends an event, waiting while the queue is full.
    pub(super) async fn send(&self, event: ConfigEvent) {
        // Sending fails only when the runtime is shutting down and the loop has ended.
        let _ended = self.sender.send(event).await;
    }
}
