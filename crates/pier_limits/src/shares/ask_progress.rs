//! How much of a node's ask has arrived.

/// Counts the received entries of a node's latest ask, which may be split over several datagrams.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct AskProgress {
    round: u64,
    received: u32,
    /// Whether a complete ask has arrived since this node gained the lease.
    pub(crate) reported: bool,
}

impl AskProgress {
    /// Counts new entries of a round; returns whether the round is complete.
    pub(crate) const fn add_entries(&mut self, round: u64, entries: u32, total: u32) -> bool {
        if round < self.round {
            return false;
        }
        if round > self.round {
            self.round = round;
            self.received = 0;
        }
        self.received = self.received.saturating_add(entries);
        let whole = self.received >= total;
        self.reported |= whole;
        whole
    }
}
