//! Bytes that a node sent, by kind.

use std::ops;

use pier_wire::messages;

/// Bytes of the IP and UDP headers of each datagram.
pub const HEADER_BYTES: usize = 28;

/// The bytes that a node sent.
#[derive(Debug, Clone, Copy, Default)]
pub struct SentBytes {
    /// Gossip and heartbeats.
    pub members: usize,
    /// Pulls of probe results.
    pub pulls: usize,
    /// Probe results.
    pub results: usize,
    /// The VM list.
    pub list: usize,
    /// Asks for shares, and grants.
    pub shares: usize,
    /// All datagrams as sealed.
    pub datagrams: usize,
    /// Number of datagrams.
    pub count: usize,
}

impl SentBytes {
    /// Counts a message before it is sealed.
    pub fn count_message(&mut self, message: &messages::PeerMessage) {
        let bytes = message.encoded_bytes();
        match message {
            messages::PeerMessage::Beat(_)
            | messages::PeerMessage::Members(_)
            | messages::PeerMessage::Crashes(_)
            | messages::PeerMessage::ConfigHint(_) => self.members += bytes,
            messages::PeerMessage::ProbePull(_) => self.pulls += bytes,
            messages::PeerMessage::ProbeBatch(_) | messages::PeerMessage::LoadBatch(_) => {
                self.results += bytes;
            }
            messages::PeerMessage::ListPull(_) | messages::PeerMessage::ListNote(_) => {
                self.list += bytes;
            }
            messages::PeerMessage::ShareAsk(_) | messages::PeerMessage::ShareGrant(_) => {
                self.shares += bytes;
            }
        }
    }

    /// Counts a sealed datagram.
    pub const fn count_datagram(&mut self, datagram: &[u8]) {
        self.datagrams += datagram.len();
        self.count += 1;
    }

    /// Returns the bytes that sealing adds to the messages: names, numbers and authentication
    /// tags.
    pub const fn envelopes(&self) -> usize {
        let messages = self.members + self.pulls + self.results + self.list + self.shares;
        self.datagrams.saturating_sub(messages)
    }
}

impl ops::Add for SentBytes {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self {
            members: self.members + rhs.members,
            pulls: self.pulls + rhs.pulls,
            results: self.results + rhs.results,
            list: self.list + rhs.list,
            shares: self.shares + rhs.shares,
            datagrams: self.datagrams + rhs.datagrams,
            count: self.count + rhs.count,
        }
    }
}
