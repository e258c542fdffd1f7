//! What the peer loop shares with other parts of the node.

use pier_wire::messages;
use tokio::sync::mpsc;

/// Batches of crashes that may wait; more are dropped and told again by their senders.
const CRASH_BATCHES: usize = 64;

/// The other parts' ends.
#[derive(Debug)]
pub struct PeerLinks {
    /// Takes crashes that this node saw or heard of; they are told to all peers once.
    pub crashes_out: mpsc::Sender<Vec<messages::CrashDelta>>,
    /// Brings crashes that peers told of.
    pub crashes_in: mpsc::Receiver<Vec<messages::CrashDelta>>,
}

/// The loop's ends.
#[derive(Debug)]
pub(super) struct LoopLinks {
    pub(super) crashes_out: mpsc::Receiver<Vec<messages::CrashDelta>>,
    pub(super) crashes_in: mpsc::Sender<Vec<messages::CrashDelta>>,
}

impl PeerLinks {
    /// Makes both ends.
    pub(super) fn open() -> (Self, LoopLinks) {
        let (out_sender, out_receiver) = mpsc::channel(CRASH_BATCHES);
        let (in_sender, in_receiver) = mpsc::channel(CRASH_BATCHES);
        let links = Self {
            crashes_out: out_sender,
            crashes_in: in_receiver,
        };
        let ends = LoopLinks {
            crashes_out: out_receiver,
            crashes_in: in_sender,
        };
        (links, ends)
    }
}
