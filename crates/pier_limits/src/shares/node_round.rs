//! How much of a node's ask has arrived.

/// Counts the received entries of a node's latest ask, which may be split over several datagrams.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct NodeRound {
    round: u64,
    arrived: u32,
    /// Whether a complete ask has arrived since this node gained the lease.
    pub(crate) heard: bool,
}

impl NodeRound {
    /// Counts new entries of a round; returns whether the round is complete.
    pub(crate) const fn arrive(&mut self, round: u64, entries: u32, total: u32) -> bool {
        if round < self.round {
            return false;
        }
        if round > self.round {
            self.round = round;
            self.arrived = 0;
        }
        self.arrived = self.arrived.saturating_add(entries);
        let whole = self.arrived >= total;
        self.heard |= whole;
        whole
    }
}
